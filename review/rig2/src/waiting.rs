//! The number of waiting jobs while one worker of a pool has fallen silent.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::json;

use crate::fleet::{Fleet, ZONES, job, route};
use crate::worker::Kind;
use crate::{Finding, trouble};

/// Workers of the pool, one of which falls silent.
const WORKERS: usize = 9;
/// Time for which it is silent.
const SILENT: Duration = Duration::from_millis(7_000);
/// Jobs accepted longer ago have to be counted while they have not begun: `visible_ms` + 2 s.
const COUNTED_MS: u64 = 5_000;
/// Fewest jobs that a wrong count is judged by.
const LEAST_JOBS: usize = 4;

pub fn play(fleet: &Arc<Fleet>) -> Finding {
    fleet.configure(1, &[route("desk", "/desk/", "desk")], &["desk"]);
    for n in 0..WORKERS {
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
    let (stop, accepted) = (AtomicBool::new(false), Mutex::new(Vec::<(String, u64)>::new()));
    let mut broken = Vec::new();
    std::thread::scope(|scope| {
        scope.spawn(|| submit(fleet, &stop, &accepted));
        std::thread::sleep(Duration::from_secs(4));
        let last = fleet.runs.lock().unwrap().last().map(|r| r.worker.clone());
        let workers = fleet.workers.lock().unwrap().clone();
        let worker = workers.iter().find(|w| Some(&w.kind.id) == last.as_ref());
        if let Some(worker) = worker.filter(|_| trouble()) {
            worker.go_dark();
        }
        let silent_at = fleet.record.now();
        let mut turn = 0;
        while fleet.record.now() < silent_at + 14_000 {
            if let Some(worker) =
                worker.filter(|_| fleet.record.now() >= silent_at + SILENT.as_millis() as u64)
            {
                worker.dark.store(false, Ordering::SeqCst);
            }
            turn += 1;
            let asked = fleet.record.now();
            let answer = fleet.call(turn % 6, "GET", "/desk/", "");
            let Some(count) = answer.and_then(|(_, body)| body["waiting"].as_u64()) else { continue };
            let begun: HashSet<String> = fleet
                .runs
                .lock()
                .unwrap()
                .iter()
                .map(|r| r.task.split('.').next().unwrap_or("").to_owned())
                .collect();
            let waits = |(id, at): &&(String, u64)| at + COUNTED_MS < asked && !begun.contains(id);
            let waiting = accepted.lock().unwrap().iter().filter(waits).count();
            if waiting >= LEAST_JOBS && (count as usize) * 2 < waiting {
                broken.push(format!(
                    "MIXED: `waiting` is {count} at {asked} ms, while {waiting} jobs accepted over {COUNTED_MS} ms before have not begun"
                ));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        stop.store(true, Ordering::SeqCst);
    });
    if accepted.lock().unwrap().len() < 50 {
        return Finding::NotRun("too few jobs were accepted".into());
    }
    match broken.first() {
        None => Finding::Held,
        Some(first) => Finding::Broken(format!("{first} ({} answers)", broken.len())),
    }
}

fn submit(fleet: &Fleet, stop: &AtomicBool, accepted: &Mutex<Vec<(String, u64)>>) {
    let step = json!({ "count": 1, "cpu": 1_000, "memMb": 500, "estimatedMs": 1_000 });
    let body = job("ms=1000", &[step], None);
    let mut n = 0;
    while !stop.load(Ordering::SeqCst) {
        n += 1;
        let id = format!("{:016x}", 0xd000 + n);
        let answer = fleet.call(n % 6, "POST", &format!("/desk/{id}"), &body);
        if answer.is_some_and(|(status, _)| status == 200) {
            accepted.lock().unwrap().push((id, fleet.record.now()));
        }
        std::thread::sleep(Duration::from_millis(90));
    }
}
