//! Plays one case of the review: `rig CASE FOLDER`, in the root of the repository, after the build.
//!
//! Starts the platform's store, its machine list, workers and clients as stand-ins on loopback addresses, and the
//! project's daemons as processes with the command of the deploy file. Writes `record.txt` in FOLDER. Ends with 1
//! if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.

mod cases;
mod deployment;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    // A fault of the stand-ins is no break of a rule.
    let played = std::panic::catch_unwind(|| cases::play(&case, trouble, std::path::Path::new(&folder)));
    match played.unwrap_or_else(|_| Err("a stand-in panicked".into())) {
        Ok(broken) if broken.is_empty() => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            println!("{case}: broken {} times, first: {}", broken.len(), broken[0]);
            ExitCode::from(1)
        }
        Err(error) => {
            println!("{case}: not run: {error}");
            ExitCode::from(2)
        }
    }
}
