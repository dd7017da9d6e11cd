//! Many jobs of a few hundred tasks, each below the size from which a job counts as large, and the platform's limit on
//! the memory of a process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use serde_json::json;

use crate::fleet::{Fleet, ZONES, job, route};
use crate::worker::Kind;
use crate::{Finding, trouble};

/// `memoryMb` of the settings.
const MEMORY_MB: u64 = 260;
/// Tasks of a job.
const TASKS: u32 = 900;
/// Time for which the clients submit jobs, and processes that end for memory after which the case ends.
const PRESSURE_MS: u64 = 60_000;
const ENDS: usize = 6;
/// Time after which the platform starts a process again.
const RESTART: Duration = Duration::from_millis(1_000);

pub fn play(fleet: &Arc<Fleet>) -> Finding {
    fleet.others.store(5, Ordering::SeqCst);
    fleet.configure(1, &[route("desk", "/desk/", "desk")], &["desk"]);
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
    let step = json!({ "count": TASKS, "cpu": 1_000, "memMb": 100, "estimatedMs": 1_000 });
    let body = job("ms=1000", &[step], None);
    let (stop, accepted, refused) = (AtomicBool::new(false), AtomicU32::new(0), AtomicU32::new(0));
    let mut kills = Vec::new();
    std::thread::scope(|scope| {
        for client in 0..8 {
            let (body, stop, accepted, refused) = (&body, &stop, &accepted, &refused);
            scope.spawn(move || {
                let mut n = 0;
                while trouble() && !stop.load(Ordering::SeqCst) {
                    n += 1;
                    let id = format!("{:016x}", 0x1_0000 * (client + 1) + n);
                    match fleet.call((n as usize + client as usize) % 6, "POST", &format!("/desk/{id}"), body)
                    {
                        Some((200, _)) => accepted.fetch_add(1, Ordering::SeqCst),
                        _ => refused.fetch_add(1, Ordering::SeqCst),
                    };
                    std::thread::sleep(Duration::from_millis(100));
                }
            });
        }
        let begin = fleet.record.now();
        let mut tick = 0;
        while fleet.record.now() < begin + PRESSURE_MS && kills.len() < ENDS {
            std::thread::sleep(Duration::from_millis(100));
            tick += 1;
            for index in 0..6 {
                let mb = fleet.memory_mb(index);
                if tick % 20 == 0 {
                    fleet.record.note(&format!(
                        "daemon {index}: {mb} MB, accepted {accepted:?}, refused {refused:?}"
                    ));
                }
                if mb > MEMORY_MB {
                    fleet.record.note(&format!("platform: daemon {index} has {mb} MB"));
                    kills.push(index);
                    fleet.kill_daemon(index);
                    std::thread::sleep(RESTART);
                    fleet.start_daemon(index);
                }
            }
        }
        stop.store(true, Ordering::SeqCst);
    });
    if kills.is_empty() {
        Finding::Held
    } else {
        Finding::Broken(format!(
            "{} processes ended for memory: {kills:?}; {accepted:?} jobs accepted",
            kills.len()
        ))
    }
}
