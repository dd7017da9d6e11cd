//! Experiments on real processes; each prints JSON rows and, on standard error, what it does.
//!
//! Not a test: figures depend on the machine. The program under test is taken from beside this one, so build
//! the workspace with the same profile first.

#![expect(missing_docs, reason = "the macro of the command line writes its types without docs")]

mod experiments;

use std::path::PathBuf;
use std::process::ExitCode;

use experiments::Settings;

xflags::xflags! {
    /// Experiments on real processes.
    cmd experiment {
        /// Seed of the load.
        optional --seed seed: u64
        /// Trials or repetitions.
        optional --trials trials: u32
        /// latency, in-force, outage, shares, shares-skewed, zone, recovery, slopes or slopes-largest.
        required name: String
    }
}

fn main() -> ExitCode {
    let flags = Experiment::from_env_or_exit();
    let Some(program) = program() else {
        eprintln!("experiment: build the lagoonrelay program first");
        return ExitCode::FAILURE;
    };
    let settings = Settings { program, seed: flags.seed.unwrap_or(1), trials: flags.trials.unwrap_or(20) };
    let Ok(runtime) = tokio::runtime::Builder::new_multi_thread().enable_all().build() else {
        return ExitCode::FAILURE;
    };
    if runtime.block_on(experiments::run(&flags.name, &settings)) {
        return ExitCode::SUCCESS;
    }
    eprintln!("experiment: there is no {}", flags.name);
    ExitCode::FAILURE
}

fn program() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    let program = own.parent()?.join("lagoonrelay");
    program.exists().then_some(program)
}
