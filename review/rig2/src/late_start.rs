//! An order to start a run that arrives late, at a worker that has started again under its id.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;

use crate::fleet::{Fleet, ZONES, job, route};
use crate::worker::Kind;
use crate::{Finding, jobs_moved, trouble};

/// Milliseconds by which the order is late, and for which the worker is down.
const LATE_MS: u64 = 2_500;
const DOWN: Duration = Duration::from_millis(1_000);

pub fn play(fleet: &Arc<Fleet>) -> Finding {
    fleet.configure(1, &[route("desk", "/desk/", "desk")], &["desk"]);
    for (n, zone) in ZONES.iter().enumerate() {
        let kind = Kind {
            id: format!("w{n}"),
            service: "desk".into(),
            zone: (*zone).into(),
            rack: format!("r1-{n}"),
            cpu: 16_000,
            mem: 32_768,
        };
        fleet.add_worker(100 + n as u8, kind);
    }
    fleet.start_daemons(6);
    std::thread::sleep(Duration::from_secs(8));
    if !fleet.warm_up(&["/desk/"]) {
        return Finding::NotRun("no first job was completed".into());
    }
    // Tasks are packed: those of the first job share a worker, those of the second are on the others, and the next small
    // task goes to the first worker, which has least free. Once that one is empty, it goes to the others.
    let step = |count: u32, cpu: u32, apart: u32| json!({ "count": count, "cpu": cpu, "memMb": 100, "estimatedMs": 12_000, "antiAffinity": apart });
    let body = job("ms=6000", &[step(1, 500, 0)], None);
    let others = [
        ("b0", job("ms=12000", &[step(10, 1_000, 0)], None)),
        ("b1", job("ms=12000", &[step(2, 9_000, 1)], None)),
    ];
    for (id, body) in &others {
        let path = format!("/desk/00000000000000{id}");
        if fleet.call_any("POST", &path, body, Duration::from_secs(5)).is_none_or(|a| a.0 != 200) {
            return Finding::NotRun("a job was not accepted".into());
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    let last = {
        let runs = fleet.runs.lock().unwrap();
        runs.iter().find(|r| r.task.starts_with("00000000000000b0")).map(|r| r.worker.clone())
    };
    let workers = fleet.workers.lock().unwrap().clone();
    let Some(worker) = workers.iter().find(|w| Some(&w.kind.id) == last.as_ref()) else {
        return Finding::NotRun("nothing was started".into());
    };
    if trouble() {
        worker.delay_start.store(LATE_MS, Ordering::SeqCst);
    }
    if fleet
        .call_any("POST", "/desk/00000000000000a1", &body, Duration::from_secs(5))
        .is_none_or(|a| a.0 != 200)
    {
        return Finding::NotRun("a job was not accepted".into());
    }
    std::thread::sleep(Duration::from_millis(200));
    if trouble() {
        if worker.delay_start.load(Ordering::SeqCst) > 0 {
            return Finding::NotRun("the start went to another worker".into());
        }
        worker.go_dark();
        std::thread::sleep(DOWN);
        worker.come_back();
    }
    std::thread::sleep(Duration::from_secs(20));
    for id in ["00000000000000b0", "00000000000000b1", "00000000000000a1"] {
        fleet.call_any("GET", &format!("/desk/{id}"), "", Duration::from_secs(4));
    }
    let broken = jobs_moved::started_twice(fleet);
    if broken.is_empty() { Finding::Held } else { Finding::Broken(broken.join("; ")) }
}
