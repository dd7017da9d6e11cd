//! Subcommands, one module each.

mod check;
mod check_config;
mod ctl;
mod demo;
mod relay;
mod serve;
mod standin;
mod timeline;

use std::path::{Path, PathBuf};

use crate::cli::LagoonrelayCmd;

/// Errors of the commands.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The settings are invalid.
    #[error("invalid settings in {}:\n{}", path.display(), format_errors(errors))]
    Settings {
        /// The file.
        path: PathBuf,
        /// All errors found in it.
        errors: Vec<config::SettingsError>,
    },
    /// A configuration document cannot be read.
    #[error("cannot read {}: {reason}", path.display())]
    Document {
        /// The file.
        path: PathBuf,
        /// The cause.
        reason: String,
    },
    /// A configuration document has faults, which were printed.
    #[error("{}: {count} findings", path.display())]
    Findings {
        /// The file.
        path: PathBuf,
        /// Number of faults.
        count: usize,
    },
    /// The entry host stopped with an error.
    #[error(transparent)]
    Entry(#[from] entry::Error),
    /// An I/O operation failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The daemon on the platform stopped with an error.
    #[error(transparent)]
    Relay(#[from] platform::Error),
    /// A request to another host failed.
    #[error("{0}")]
    Request(#[from] edge::Fault),
    /// A command was refused, or its arguments are invalid.
    #[error("{0}")]
    Command(String),
}

impl Error {
    /// Exit code of the process: 2 for invalid settings or an unreadable configuration document, 3 if the entry host was fenced or fell behind the log, 1
    /// otherwise.
    pub const fn code(&self) -> u8 {
        match self {
            Self::Settings { .. } | Self::Document { .. } => 2,
            Self::Entry(entry::Error::Fenced | entry::Error::LogTruncated) => 3,
            _ => 1,
        }
    }
}

/// Runs a command.
pub fn run(command: LagoonrelayCmd) -> Result<(), Error> {
    // Machines of the platform that run a daemon have at most one core.
    let single_threaded = matches!(command, LagoonrelayCmd::Relay(_));
    let runtime = if single_threaded {
        tokio::runtime::Builder::new_current_thread().enable_all().build()?
    } else {
        tokio::runtime::Builder::new_multi_thread().enable_all().build()?
    };
    runtime.block_on(async {
        match command {
            LagoonrelayCmd::Serve(flags) => serve::run(&flags).await,
            LagoonrelayCmd::Relay(_) => relay::run().await,
            LagoonrelayCmd::Check(flags) => check::run(&flags),
            LagoonrelayCmd::CheckConfig(flags) => check_config::run(&flags),
            LagoonrelayCmd::Ctl(flags) => ctl::run(&flags).await,
            LagoonrelayCmd::Timeline(flags) => timeline::run(&flags).await,
            LagoonrelayCmd::Demo(flags) => demo::run(&flags).await,
            LagoonrelayCmd::Standin(flags) => standin::run(&flags).await,
        }
    })
}

/// Reads and validates a settings file.
fn read_settings(path: &Path) -> Result<config::Settings, Error> {
    let text =
        std::fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
    config::parse(&text).map_err(|errors| Error::Settings { path: path.to_owned(), errors })
}

/// Operator key from the flag or from LAGOONRELAY_KEY.
fn operator_key(flag: Option<&String>) -> Result<String, Error> {
    let key = flag.cloned().or_else(|| std::env::var("LAGOONRELAY_KEY").ok());
    key.ok_or_else(|| Error::Command("an operator key is needed: --key or LAGOONRELAY_KEY".into()))
}

fn format_errors(errors: &[config::SettingsError]) -> String {
    errors.iter().map(|f| format!("  {f}")).collect::<Vec<_>>().join("\n")
}
