//! Runs one case of the review: `rig3 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run.

mod cases;
mod deployment;
mod fleet;
mod http;
mod json;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use deployment::Deployment;
use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: rig3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(case, Path::new(folder), trouble) {
        Ok(true) => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("{case}: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("{case}: could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, folder: &Path, trouble: bool) -> std::io::Result<bool> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    record.line(&format!("case {case}, trouble: {trouble}"));
    let mut deployment = Deployment::start(Arc::clone(&record))?;
    let outcome = match case {
        "gang" => cases::gang_after_hopeless_job(&mut deployment, trouble),
        "restarts" => cases::worker_after_restarts(&mut deployment, trouble),
        "kind" => cases::worker_of_another_kind(&mut deployment, trouble),
        "waves" => cases::two_waves(&mut deployment, trouble),
        "route" => cases::queue_to_another_service(&mut deployment, trouble),
        "late" => cases::late_orders(&mut deployment, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let run = deployment.daemons_run();
    let tokens = deployment.count_in_logs("restarted too often");
    let lines = deployment.count_in_logs("panicked");
    record.line(&format!(
        "daemons run to the end: {run}; panics: {lines}; notes 'restarted too often': {tokens}"
    ));
    record.line(&format!("the rule held: {outcome:?}, after {:.1} s", record.seconds()));
    outcome
}
