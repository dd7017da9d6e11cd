//! Logs as text or JSON lines: on standard error, or on standard output for a daemon of the platform.

use std::io::IsTerminal;
use std::str::FromStr;

use tracing_subscriber::EnvFilter;

/// Levels if the environment names none.
const DEFAULT_LEVELS: &str = "info,poem=warn";

/// Form of the logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for a person.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("text or json is expected".into()),
        }
    }
}

/// Starts logging on standard error; the level comes from `RUST_LOG`.
pub fn start(format: LogFormat) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_LEVELS));
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_target(false)
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Text => logs.init(),
        LogFormat::Json => logs.json().init(),
    }
}

/// Starts logging for a daemon on the platform, which collects standard output.
pub fn start_collected(format: LogFormat) {
    let filter = EnvFilter::new(DEFAULT_LEVELS);
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(false)
        .with_target(false)
        .with_writer(std::io::stdout);
    match format {
        LogFormat::Text => logs.init(),
        LogFormat::Json => logs.json().init(),
    }
}
