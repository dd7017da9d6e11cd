//! Compares what workers recorded with what callers and operators were told.

use std::collections::BTreeMap;

use edge::Verdict;
use standin::worker::Record;

use crate::caller::Told;

/// A promise that was broken, in words.
pub type Broken = String;

/// Checks every answer against the workers' records.
#[must_use]
pub fn answers(told: &[Told], records: &[Record]) -> Vec<Broken> {
    let mut starts: BTreeMap<&str, usize> = BTreeMap::new();
    for record in records {
        *starts.entry(&record.body).or_default() += 1;
    }
    told.iter().filter_map(|t| answer(t, starts.get(t.body.as_str()).copied().unwrap_or(0))).collect()
}

fn answer(told: &Told, starts: usize) -> Option<Broken> {
    let body = &told.body;
    if told.once && starts > 1 {
        return Some(format!("{body}: started {starts} times"));
    }
    match told.verdict {
        Some(Verdict::Ran) if told.status < 500 && !told.own => {
            Some(format!("{body}: answer of another: {}", told.text))
        }
        Some(Verdict::Ran) if starts == 0 => Some(format!("{body}: told that it ran, and it did not")),
        Some(Verdict::NotRun) if starts > 0 => {
            Some(format!("{body}: told that it did not run, and it did: {}", told.text))
        }
        _ => None,
    }
}

/// Most tasks of a team that ran at the same time, as the workers recorded.
#[must_use]
pub fn most_running(records: &[Record], team: &str) -> i64 {
    let mut changes: Vec<(u64, i64)> = Vec::new();
    for record in records.iter().filter(|r| r.team == team) {
        changes.push((record.started, 1));
        let ended = if record.ended == 0 { u64::MAX } else { record.ended };
        changes.push((ended, -1));
    }
    // At the same millisecond an end comes before a start.
    changes.sort_unstable();
    let mut running = 0;
    let mut most = 0;
    for (_, change) in changes {
        running += change;
        most = most.max(running);
    }
    most
}

/// Tasks that were started within a span of time.
#[must_use]
pub fn started_between(records: &[Record], from: u64, to: u64) -> Vec<&Record> {
    records.iter().filter(|r| r.started > from && r.started < to).collect()
}
