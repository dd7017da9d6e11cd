//! Binary of lagoonrelay, a shared fleet capacity and maintenance manager.

mod cli;
mod cmd;
mod logging;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = cli::Lagoonrelay::parse_or_exit();
    let format = flags.log_format.unwrap_or_default();
    // Flushes queued log lines when it is dropped at the end.
    let _guard = match flags.subcommand {
        cli::LagoonrelayCmd::Relay(_) => Some(logging::init_stdout(format)),
        _ => {
            logging::init_stderr(format);
            None
        }
    };
    match cmd::run(flags.subcommand) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lagoonrelay: {error}");
            ExitCode::from(error.code())
        }
    }
}
