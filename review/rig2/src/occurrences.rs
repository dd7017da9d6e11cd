//! Occurrences of a repeated job that wait while a later one runs, and the end of their owner.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;

use std::sync::Arc;

use crate::fleet::{Fleet, ZONES, job, route};
use crate::worker::Kind;
use crate::{Finding, trouble};

/// Id of the repeated job.
const ID: &str = "00000000000000a1";
/// Its occurrences.
const COUNT: u32 = 6;
/// Time for which the whole pool is free before the check: `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

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
    std::thread::sleep(Duration::from_secs(5));
    if !fleet.warm_up(&["/desk/"]) {
        return Finding::NotRun("no first job was completed".into());
    }
    let whole =
        |count: u32, ms: u32| json!({ "count": count, "cpu": 16_000, "memMb": 1_000, "estimatedMs": ms });
    // A job that takes the whole pool for 6 s.
    let busy = job("ms=6000", &[whole(3, 6_000)], None);
    if fleet
        .call_any("POST", "/desk/00000000000000b1", &busy, Duration::from_secs(5))
        .is_none_or(|a| a.0 != 200)
    {
        return Finding::NotRun("the first job was not accepted".into());
    }
    std::thread::sleep(Duration::from_millis(500));
    let first = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64 + 300;
    let repeated = job("ms=4000", &[whole(1, 3_000)], Some((COUNT, first, 1_000)));
    let path = format!("/desk/{ID}");
    if fleet.call_any("POST", &path, &repeated, Duration::from_secs(5)).is_none_or(|a| a.0 != 200) {
        return Finding::NotRun("the repeated job was not accepted".into());
    }
    // Wait until the first of its occurrences runs.
    let started = |from: usize| {
        let runs = fleet.runs.lock().unwrap();
        runs.iter().skip(from).filter(|r| r.task.starts_with(ID)).count()
    };
    let mut waited = 0;
    while started(0) < 3 {
        std::thread::sleep(Duration::from_millis(100));
        waited += 100;
        if waited > 15_000 {
            return Finding::NotRun("no occurrence was started".into());
        }
    }
    std::thread::sleep(Duration::from_millis(1_000));
    if trouble() {
        let Some(owner) = fleet.owner_of(&format!("j:{ID}")) else {
            return Finding::NotRun("the owner of the shard is not known".into());
        };
        fleet.kill_daemon(owner);
        std::thread::sleep(Duration::from_millis(1_500));
        fleet.start_daemon(owner);
    }
    // All occurrences need two more turns of 4 s; a run that is lost lapses within 10 s.
    let start = std::time::Instant::now();
    let mut idle_since = std::time::Instant::now();
    while start.elapsed() < Duration::from_secs(60) {
        std::thread::sleep(Duration::from_millis(500));
        if fleet.runs.lock().unwrap().iter().any(|r| r.ended.is_none()) {
            idle_since = std::time::Instant::now();
        }
        let state = fleet.call_any("GET", &path, "", Duration::from_secs(3));
        if state.is_some_and(|(_, body)| body["state"] == "completed") {
            return Finding::Held;
        }
        if idle_since.elapsed() >= FINISH {
            break;
        }
    }
    let runs = fleet.runs.lock().unwrap();
    let missing: Vec<u32> = (0..COUNT)
        .filter(|k| {
            let task = format!("{ID}.{k}.0.0");
            !runs.iter().any(|r| r.task == task && r.ended.is_some_and(|e| e.1 == "done"))
        })
        .collect();
    let idle = idle_since.elapsed().as_secs();
    Finding::Broken(format!(
        "LOST: occurrences {missing:?} were never done; nothing has run for {idle} s and the whole pool is free"
    ))
}
