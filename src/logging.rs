//! Logs on standard error, as text or JSON lines.

use std::str::FromStr;

use tracing_subscriber::EnvFilter;

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

/// Starts logging; the level comes from `RUST_LOG`.
pub fn start(format: LogFormat) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info,poem=warn"));
    let logs =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_target(false);
    match format {
        LogFormat::Text => logs.init(),
        LogFormat::Json => logs.json().init(),
    }
}
