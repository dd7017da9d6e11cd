//! Log output as text or JSON lines: to standard error, or to standard output for a daemon on the platform.

use std::io::IsTerminal;
use std::str::FromStr;

use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

/// Maximum number of lines queued for the writer thread; a line has a few hundred bytes.
const MAX_QUEUED_LINES: usize = 8_192;
/// Log levels of a daemon on the platform, and of other commands unless `RUST_LOG` sets them.
const DEFAULT_LEVELS: &str = "info,poem=warn";

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("expected text or json".into()),
        }
    }
}

/// Logs to standard error, with levels from `RUST_LOG`.
pub fn init_stderr(format: LogFormat) {
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

/// Logs to standard output, which the platform collects. A separate thread writes the lines, and drops them if it
/// cannot keep up, so that logging never blocks. Dropping the returned guard flushes the queue.
pub fn init_stdout(format: LogFormat) -> WorkerGuard {
    let filter = EnvFilter::new(DEFAULT_LEVELS);
    let (lines, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(std::io::stdout());
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(false)
        .with_target(false)
        .with_writer(lines);
    match format {
        LogFormat::Text => logs.init(),
        LogFormat::Json => logs.json().init(),
    }
    guard
}
