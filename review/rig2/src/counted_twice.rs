//! Failures of a task with a copy, large jobs that come at once, and the end of the shard's owner.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::fleet::{Fleet, ZONES, job, route};
use crate::worker::Kind;
use crate::{Finding, trouble};

/// Ids of the jobs of which one task fails.
const IDS: [&str; 3] = ["00000000000000a1", "00000000000000a2", "00000000000000a3"];
/// Large jobs, and the bytes of the text that makes them so. `maxBodyBytes` is 262,144.
const LARGE_JOBS: u32 = 60;
const LARGE_BYTES: usize = 240_000;

pub fn play(fleet: &Arc<Fleet>) -> Finding {
    // Jobs fail with the third failure of a task.
    let mut desk = route("desk", "/desk/", "desk");
    desk["maxAttempts"] = json!(3);
    fleet.configure(1, &[desk], &["desk"]);
    for n in 0..9 {
        let kind = Kind {
            id: format!("w{n}"),
            service: "desk".into(),
            zone: ZONES[n % 3].into(),
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
    let step = json!({ "count": 4, "cpu": 1_000, "memMb": 100, "estimatedMs": 600, "speculative": true });
    let body = job("ms=600 long=3", &[step], None);
    for id in IDS {
        if fleet.call_any("POST", &path(id), &body, Duration::from_secs(5)).is_none_or(|a| a.0 != 200) {
            return Finding::NotRun("a job was not accepted".into());
        }
    }
    // Wait for the copies of the slow tasks; they fail, and later the first runs.
    for id in IDS {
        let Some(copy) = wait_for_run(fleet, id, 1) else {
            return Finding::NotRun("no copy was started".into());
        };
        std::thread::sleep(Duration::from_millis(200));
        fail(fleet, id, &copy);
    }
    std::thread::sleep(Duration::from_millis(1_000));
    let Some(owner) = fleet.owner_of(&format!("j:{}", IDS[0])) else {
        return Finding::NotRun("the owner of the shard is not known".into());
    };
    let large = json!({ "count": 1, "cpu": 100, "memMb": 10, "requirements": "x".repeat(LARGE_BYTES) });
    let large = job("ms=500", &[large], None);
    let before = fleet.store.appends();
    std::thread::scope(|scope| {
        for n in 0..LARGE_JOBS {
            let large = &large;
            scope.spawn(move || {
                fleet.call(n as usize % 6, "POST", &format!("/desk/{:016x}", 0xf000 + n), large)
            });
        }
        // The first run fails while they are being stored.
        while fleet.store.appends() < before + 2 {
            std::thread::sleep(Duration::from_millis(1));
        }
        let from = fleet.store.appends();
        for id in IDS {
            if let Some(first) = wait_for_run(fleet, id, 0) {
                fail(fleet, id, &first);
            }
        }
        if trouble() {
            let stored = || IDS.iter().any(|id| fleet.store.appended_since(from, &format!("p:{id}")));
            let start = Instant::now();
            while !stored() && start.elapsed() < Duration::from_secs(5) {
                std::thread::sleep(Duration::from_millis(1));
            }
            fleet.record.note("store: a failure is stored");
            fleet.kill_daemon(owner);
            std::thread::sleep(Duration::from_millis(1_000));
            fleet.start_daemon(owner);
        }
    });
    // The third runs of the tasks take 40 s.
    let (start, mut open) = (Instant::now(), IDS.to_vec());
    while start.elapsed() < Duration::from_secs(70) && !open.is_empty() {
        std::thread::sleep(Duration::from_millis(1_000));
        for id in open.clone() {
            let Some((_, state)) = fleet.call_any("GET", &path(id), "", Duration::from_secs(5)) else {
                continue;
            };
            let runs = fleet.runs.lock().unwrap();
            let of_task = runs.iter().filter(|r| r.task == task(id));
            let failed = of_task.filter(|r| r.ended.is_some_and(|e| e.1 == "failed")).count();
            if state["state"] == "failed" && failed < 3 {
                return Finding::Broken(format!(
                    "LOST: job {id} is shown as failed after {failed} ends `failed` of its task; `maxAttempts` is 3"
                ));
            }
            open.retain(|o| *o != id || state["state"] != "completed");
        }
    }
    if open.is_empty() { Finding::Held } else { Finding::NotRun("a job did not end".into()) }
}

fn path(id: &str) -> String {
    format!("/desk/{id}")
}

/// The task of a job that is slow.
fn task(id: &str) -> String {
    format!("{id}.0.0.3")
}

/// Worker of a run of the task, by the order of their starts.
fn wait_for_run(fleet: &Fleet, id: &str, number: usize) -> Option<String> {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(10) {
        let runs = fleet.runs.lock().unwrap();
        if let Some(run) = runs.iter().filter(|r| r.task == task(id)).nth(number) {
            return Some(run.worker.clone());
        }
        drop(runs);
        std::thread::sleep(Duration::from_millis(20));
    }
    None
}

fn fail(fleet: &Fleet, id: &str, worker: &str) {
    let workers = fleet.workers.lock().unwrap().clone();
    if let Some(worker) = workers.iter().find(|w| w.kind.id == worker) {
        worker.fail(&task(id));
    }
}
