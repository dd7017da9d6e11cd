//! Jobs that are cancelled soon after their acknowledgement, while the store reassigns all partitions at once.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::fleet::{Fleet, ZONES, job, route};
use crate::worker::Kind;
use crate::{Finding, trouble};

/// Times that the partitions are reassigned, and the pause between.
const REASSIGNED: u32 = 5;
const PAUSE: Duration = Duration::from_secs(6);
/// Time from a reassignment to the next job.
const SUBMITTED_AFTER: Duration = Duration::from_millis(150);
/// `cancel_ms` of the settings.
const CANCEL_MS: u64 = 3_000;

/// A job whose cancellation was acknowledged.
struct Cancelled {
    id: String,
    status: u16,
    at: u64,
}

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
    let mut cancelled = Vec::new();
    for n in 0..REASSIGNED {
        match submit_and_cancel(fleet, n) {
            Some(job) => cancelled.push(job),
            None => {
                return Finding::NotRun(
                    "a job was not accepted, or its cancellation not acknowledged".into(),
                );
            }
        }
        std::thread::sleep(PAUSE);
    }
    // A job takes 10 s.
    std::thread::sleep(Duration::from_secs(8));
    for job in &cancelled {
        fleet.call_any("GET", &format!("/desk/{}", job.id), "", Duration::from_secs(4));
    }
    let runs = fleet.runs.lock().unwrap();
    let late = |c: &Cancelled| {
        let of_job = |r: &&crate::worker::Run| r.task.starts_with(&c.id) && r.started > c.at + CANCEL_MS;
        let run = runs.iter().find(of_job)?;
        let (id, status, after) = (&c.id, c.status, run.started - c.at);
        Some(format!(
            "UNASKED: {} was started {after} ms after the cancellation of {id} was answered {status}",
            run.task
        ))
    };
    let broken: Vec<String> = cancelled.iter().filter_map(late).collect();
    if broken.is_empty() { Finding::Held } else { Finding::Broken(broken.join("; ")) }
}

/// Submits a job at one daemon and cancels it at another.
fn submit_and_cancel(fleet: &Fleet, n: u32) -> Option<Cancelled> {
    let step =
        |after: &[u32]| json!({ "count": 1, "cpu": 200, "memMb": 10, "estimatedMs": 5_000, "after": after });
    let body = job("ms=5000", &[step(&[]), step(&[0])], None);
    let (id, owner) = (format!("{:016x}", 0xc000 + n), fleet.store.holder_of_key("j:0000000000000000")?);
    let first = fleet.daemon_of(&owner)?;
    let second = if trouble() {
        let next = fleet.store.deal_anew_after(&owner)?;
        fleet.record.note("store: all partitions are reassigned");
        std::thread::sleep(SUBMITTED_AFTER);
        fleet.daemon_of(&next)?
    } else {
        (first + 1) % 6
    };
    let (path, start) = (format!("/desk/{id}"), Instant::now());
    while fleet.call(second, "POST", &path, &body).is_none_or(|(status, _)| status != 200) {
        if start.elapsed() > Duration::from_secs(3) {
            return None;
        }
    }
    let (status, _) = fleet.call(first, "DELETE", &path, "")?;
    let acknowledged = (200..300).contains(&status) || status == 410;
    acknowledged.then(|| Cancelled { id, status, at: fleet.record.now() })
}
