//! Cases of the review that are no days of the bench: `rig2 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod fleet;
mod http;
mod record;
mod small_jobs;
mod store;
mod waiting;
mod worker;

mod cancelled;
mod counted_twice;
mod jobs_moved;
mod late_start;
mod long_repeat;
mod occurrences;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use fleet::Fleet;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(112);

/// What a case found.
pub enum Finding {
    Held,
    Broken(String),
    NotRun(String),
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: rig2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let play: fn(&Arc<Fleet>) -> Finding = match case.as_str() {
        "counted-twice" => counted_twice::play,
        "cancelled" => cancelled::play,
        "long-repeat" => long_repeat::play,
        "waiting" => waiting::play,
        "late-start" => late_start::play,
        "small-jobs" => small_jobs::play,
        "occurrences" => occurrences::play,
        "pool-added" => jobs_moved::pool_added,
        "queue-moved" => jobs_moved::queue_moved,
        _ => {
            eprintln!("unknown case {case}");
            return ExitCode::from(2);
        }
    };
    let fleet = Fleet::start();
    let watched = Arc::clone(&fleet);
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        watched.stop();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let inner = Arc::clone(&fleet);
    let finding = std::thread::spawn(move || play(&inner)).join();
    fleet.stop();
    let (code, text) = match finding {
        Ok(Finding::Held) => (0, "the rule held".to_owned()),
        Ok(Finding::Broken(why)) => (1, format!("the rule was broken: {why}")),
        Ok(Finding::NotRun(why)) => (2, format!("the case could not run: {why}")),
        Err(_) => (2, "the case could not run: it ended early".to_owned()),
    };
    fleet.record.note(&text);
    println!("{text}");
    if let Err(error) = fleet.record.write(&Path::new(&folder).join("record.txt")) {
        eprintln!("cannot write the record: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
