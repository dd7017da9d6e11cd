//! A repeated job with tens of thousands of occurrences beside the jobs of others in the same pool.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::fleet::{Fleet, ZONES, job, route};
use crate::worker::Kind;
use crate::{Finding, trouble};

/// Id of the repeated job, and its occurrences with and without the disruption.
const ID: &str = "00000000000000a1";
const COUNT: u32 = 60_000;
const FEW: u32 = 100;
/// Id of another caller's job: steps of 5 s, one after the other.
const CHAIN: &str = "00000000000000b1";
const CHAIN_STEPS: u32 = 16;
/// Time for which nothing runs before the check: `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// Longest time of the check.
const END: Duration = Duration::from_secs(98);

pub fn play(fleet: &Arc<Fleet>) -> Finding {
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
    std::thread::sleep(Duration::from_secs(4));
    if !fleet.warm_up(&["/desk/"]) {
        return Finding::NotRun("no first job was completed".into());
    }
    let step = |ms: u32, after: &[u32]| json!({ "count": 1, "cpu": 500, "memMb": 10, "estimatedMs": ms, "after": after });
    let steps: Vec<Value> =
        (0..CHAIN_STEPS).map(|n| if n == 0 { step(5_000, &[]) } else { step(5_000, &[n - 1]) }).collect();
    let first = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let count = if trouble() { COUNT } else { FEW };
    let (chain, repeated) =
        (job("ms=5000", &steps, None), job("ms=5", &[step(5, &[])], Some((count, first, 1))));
    for (id, body) in [(CHAIN, &chain), (ID, &repeated)] {
        let answer = fleet.call_any("POST", &format!("/desk/{id}"), body, Duration::from_secs(5));
        if answer.is_none_or(|(status, _)| status != 200) {
            return Finding::NotRun("a job was not accepted".into());
        }
    }
    let (start, mut idle_since, mut turn, mut refused) = (Instant::now(), Instant::now(), 0, 0);
    let ordinary = job("ms=200", &[step(200, &[])], None);
    while start.elapsed() < END && idle_since.elapsed() < FINISH {
        std::thread::sleep(Duration::from_millis(1_000));
        let (runs, open) = {
            let runs = fleet.runs.lock().unwrap();
            (runs.len(), runs.iter().filter(|r| r.ended.is_none()).count())
        };
        fleet.record.note(&format!("{runs} runs so far, {open} of them in progress"));
        if open > 0 {
            idle_since = Instant::now();
        }
        // Other callers' jobs.
        turn += 1;
        let answer = fleet.call(turn % 6, "POST", &format!("/desk/{:016x}", 0xe000 + turn), &ordinary);
        refused += usize::from(answer.is_none_or(|(status, _)| status != 200));
        let state = |id: &str| {
            let answer = fleet.call((turn + 1) % 6, "GET", &format!("/desk/{id}"), "");
            answer.is_some_and(|(_, body)| body["state"] == "completed")
        };
        if state(CHAIN) && state(ID) {
            return Finding::Held;
        }
    }
    if idle_since.elapsed() < FINISH {
        return Finding::NotRun("the occurrences took too long on this machine".into());
    }
    let runs = fleet.runs.lock().unwrap();
    let done = |id: &str| {
        runs.iter().filter(|r| r.task.starts_with(id) && r.ended.is_some_and(|e| e.1 == "done")).count()
    };
    Finding::Broken(format!(
        "LOST: nothing has run for {} s and the whole pool is free; {} of {CHAIN_STEPS} steps of job {CHAIN} and {} of \
         {count} occurrences of job {ID} are done; {refused} of {turn} other jobs were refused",
        idle_since.elapsed().as_secs(),
        done(CHAIN),
        done(ID),
    ))
}
