//! Accepted jobs, and a configuration that adds a pool or gives their queue another pool.

use std::time::Duration;

use serde_json::json;

use crate::fleet::{Fleet, ZONES, job, route};
use crate::worker::Kind;
use crate::{Finding, trouble};

/// Jobs that are accepted before the change.
const JOBS: u32 = 6;
/// Longest time for a job that takes 10 s of work.
const END: Duration = Duration::from_secs(45);

/// A new pool with a queue of its own; no queue or pool that was there changes.
pub fn pool_added(fleet: &std::sync::Arc<Fleet>) -> Finding {
    let old = [route("yard", "/yard/", "yard-desk"), route("dairy", "/dairy/", "dairy-desk")];
    let new = [&old[..], &[route("auction", "/auction/", "auction-desk")]].concat();
    play(fleet, &old, |fleet| {
        add_workers(fleet, 120, "auction-desk");
        fleet.configure(3, &new, &["auction-desk", "dairy-desk", "yard-desk"]);
    })
}

/// The queue is sent to another pool, which is there already.
pub fn queue_moved(fleet: &std::sync::Arc<Fleet>) -> Finding {
    let old = [route("yard", "/yard/", "yard-desk"), route("dairy", "/dairy/", "dairy-desk")];
    let new = [route("yard", "/yard/", "dairy-desk"), route("dairy", "/dairy/", "dairy-desk")];
    play(fleet, &old, |fleet| fleet.configure(3, &new, &["dairy-desk", "yard-desk"]))
}

fn add_workers(fleet: &Fleet, host: u8, service: &str) {
    for (n, zone) in ZONES.iter().enumerate() {
        let kind = Kind {
            id: format!("{service}-{n}"),
            service: service.into(),
            zone: (*zone).into(),
            rack: format!("r{host}-{n}"),
            cpu: 16_000,
            mem: 32_768,
        };
        fleet.add_worker(host + n as u8, kind);
    }
}

fn path(n: u32) -> String {
    format!("/yard/00000000000000a{n}")
}

/// Job 0 has ended before the change; the others run, and have a second step.
fn body(n: u32) -> String {
    let step = |after: &[u32]| json!({ "count": 2, "cpu": 2_000, "memMb": 500, "estimatedMs": 5_000, "after": after });
    if n == 0 { job("ms=500", &[step(&[])], None) } else { job("ms=5000", &[step(&[]), step(&[0])], None) }
}

fn play(fleet: &Fleet, old: &[serde_json::Value], change: impl Fn(&Fleet)) -> Finding {
    fleet.configure(1, old, &["dairy-desk", "yard-desk"]);
    add_workers(fleet, 100, "yard-desk");
    add_workers(fleet, 110, "dairy-desk");
    fleet.start_daemons(6);
    std::thread::sleep(Duration::from_secs(5));
    if !fleet.warm_up(&["/yard/", "/dairy/"]) {
        return Finding::NotRun("no first job was completed".into());
    }
    for n in 0..JOBS {
        if fleet.call_any("POST", &path(n), &body(n), Duration::from_secs(5)).is_none_or(|a| a.0 != 200) {
            return Finding::NotRun("a job was not accepted".into());
        }
    }
    let accepted = fleet.record.now();
    std::thread::sleep(Duration::from_secs(3));
    let changed = fleet.record.now();
    if trouble() {
        change(fleet);
    }
    std::thread::sleep(Duration::from_secs(3));
    // The requests of jobs 0 and 1 arrive once more, seconds after their 2xx.
    for n in 0..2 {
        fleet.call_any("POST", &path(n), &body(n), Duration::from_secs(5));
    }
    let mut broken = Vec::new();
    let mut open: Vec<u32> = (0..JOBS).collect();
    while !open.is_empty() && fleet.record.now() < changed + END.as_millis() as u64 {
        open.retain(|&n| {
            let Some((status, state)) = fleet.call_any("GET", &path(n), "", Duration::from_secs(4)) else {
                return true;
            };
            let age = fleet.record.now() - accepted;
            if status == 410 && age > 3_000 {
                broken.push(format!("LOST: job {n} is answered 410, {age} ms after its ack"));
            }
            status != 410 && state["state"] != "completed"
        });
        std::thread::sleep(Duration::from_millis(1_000));
    }
    broken.extend(open.iter().map(|n| format!("LOST: job {n} did not end")));
    broken.extend(started_twice(fleet));
    if broken.is_empty() { Finding::Held } else { Finding::Broken(broken.join("; ")) }
}

/// Starts after a run of the same task has ended `done`, whose end is taken note of, and runs at the same time.
pub fn started_twice(fleet: &Fleet) -> Vec<String> {
    let runs = fleet.runs.lock().unwrap();
    let mut found = Vec::new();
    for (i, first) in runs.iter().enumerate() {
        for second in runs.iter().skip(i + 1).filter(|r| r.task == first.task) {
            let (task, at) = (&second.task, second.started);
            match first.ended {
                Some((end, "done")) if end <= at && first.noted.is_some() => {
                    found.push(format!("TWICE: {task} was started at {at} ms, done at {end} ms"));
                }
                Some((end, _)) if end <= at => {}
                _ => found.push(format!("TWICE: {task} ran twice at {at} ms")),
            }
        }
    }
    found
}
