//! Settings of an entry host, read from JSON5.
//!
//! Unknown keys are errors. Every number has a range, listed in [`RANGES`]. Every address is an IP address
//! with a port; host names are rejected. Secrets are never printed.

use std::net::SocketAddr;

use serde::Deserialize;

mod ranges;

pub use ranges::{RANGES, Range};

/// A secret; its `Debug` output hides the text.
#[derive(Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// The secret as plain text.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Order in which queued requests are admitted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admission {
    /// The team furthest below its share goes first.
    #[default]
    Fair,
    /// First come, first served.
    Fifo,
}

/// How the worker of a task is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// The less loaded of two workers picked at random.
    #[default]
    TwoChoices,
    /// The least loaded worker.
    LeastLoaded,
    /// A worker picked at random.
    Random,
}

/// Settings of an entry host.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Host name, unique among entry hosts.
    pub name: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators and metrics.
    pub admin: SocketAddr,
    /// Address for other entry hosts.
    pub peer: SocketAddr,
    /// Address that other entry hosts connect to, if it differs from `peer`.
    pub advertise: Option<SocketAddr>,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's host list.
    pub list: SocketAddr,
    /// Secret shared by all entry hosts.
    pub secret: Secret,
    /// Operator key that is always valid, also before any key is granted.
    pub operator: Secret,
    /// Intervals and timeouts.
    #[serde(default)]
    pub timing: Timing,
    /// Size and count limits.
    #[serde(default)]
    pub limits: Limits,
    /// Order in which queued requests are admitted.
    #[serde(default)]
    pub admission: Admission,
    /// How the worker of a task is chosen.
    #[serde(default)]
    pub placement: Placement,
}

/// Intervals and timeouts in milliseconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval between heartbeats to peers.
    pub beat_ms: u64,
    /// Maximum age of the confirmed log offset; with an older one the host starts no work.
    pub fresh_ms: u64,
    /// Time without a heartbeat after which a peer is fenced.
    pub dead_ms: u64,
    /// Interval between reads of the log.
    pub poll_ms: u64,
    /// Interval between reads of the host list.
    pub list_ms: u64,
    /// Timeout of calls to the platform and of control calls to workers.
    pub call_ms: u64,
    /// Time without a response after which the worker is asked for the task's state over a new connection.
    pub probe_ms: u64,
    /// Time limit of a request whose caller sets none.
    pub deadline_ms: u64,
    /// Maximum time to drain after the stop signal.
    pub drain_ms: u64,
    /// Minimum interval between appends to the log.
    pub append_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            beat_ms: 200,
            fresh_ms: 1500,
            dead_ms: 5000,
            poll_ms: 100,
            list_ms: 1000,
            call_ms: 1000,
            probe_ms: 1000,
            deadline_ms: 10_000,
            drain_ms: 30_000,
            append_ms: 25,
        }
    }
}

/// Size and count limits.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum number of queued requests of one team.
    pub queue_length: usize,
    /// Maximum time in a queue, in milliseconds.
    pub queue_ms: u64,
    /// Maximum number of claims kept in memory.
    pub claims: usize,
    /// Maximum number of events kept for the time line.
    pub events: usize,
    /// Retry budget per hundred requests.
    pub retry_percent: u32,
    /// Maximum attempts of one idempotent request.
    pub tries: u32,
    /// Log entries between checkpoints.
    pub checkpoint_entries: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1024 * 1024,
            queue_length: 256,
            queue_ms: 2000,
            claims: 200_000,
            events: 4096,
            retry_percent: 20,
            tries: 3,
            checkpoint_entries: 2000,
        }
    }
}

/// Why settings are rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON5, a key is unknown or missing, or a value has the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// A value is outside its range.
    #[error("{field}: {value} is out of range; expected {min} to {max} {unit}")]
    OutOfRange {
        /// Field path.
        field: &'static str,
        /// Rejected value.
        value: u64,
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
        /// Unit of the value.
        unit: &'static str,
    },
    /// A value is empty or conflicts with another one.
    #[error("{field}: {reason}")]
    Invalid {
        /// Field path.
        field: &'static str,
        /// Why the value is rejected.
        reason: String,
    },
}

/// Parses and validates settings.
///
/// # Errors
/// The syntax error, or every validation error.
pub fn parse(text: &str) -> Result<Settings, Vec<SettingsError>> {
    let settings = deserialize(text).map_err(|error| vec![error])?;
    let errors = settings.validate();
    if errors.is_empty() { Ok(settings) } else { Err(errors) }
}

fn deserialize(text: &str) -> Result<Settings, SettingsError> {
    let mut source = json5::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut source)
        .map_err(|e| SettingsError::Syntax(format!("{}: {}", e.path(), e.inner())))
}

impl Settings {
    /// All validation errors of the values.
    #[must_use]
    pub fn validate(&self) -> Vec<SettingsError> {
        let mut errors: Vec<SettingsError> = RANGES.iter().filter_map(|range| range.check(self)).collect();
        errors.extend(self.empty_text_errors());
        errors.extend(self.timing_errors());
        errors
    }

    /// Address that other entry hosts connect to.
    #[must_use]
    pub fn advertised_addr(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peer)
    }

    fn empty_text_errors(&self) -> Vec<SettingsError> {
        let fields = [
            ("name", self.name.as_str()),
            ("zone", &self.zone),
            ("secret", self.secret.expose()),
            ("operator", self.operator.expose()),
        ];
        let empty = fields.into_iter().filter(|(_, value)| value.is_empty());
        empty.map(|(field, _)| SettingsError::Invalid { field, reason: "must not be empty".into() }).collect()
    }

    fn timing_errors(&self) -> Vec<SettingsError> {
        let mut errors = Vec::new();
        if self.timing.fresh_ms < 3 * self.timing.beat_ms {
            let reason = format!("must be at least three times timing.beat_ms ({})", 3 * self.timing.beat_ms);
            errors.push(SettingsError::Invalid { field: "timing.fresh_ms", reason });
        }
        if self.timing.dead_ms < 2 * self.timing.fresh_ms {
            let reason = format!("must be at least twice timing.fresh_ms ({})", 2 * self.timing.fresh_ms);
            errors.push(SettingsError::Invalid { field: "timing.dead_ms", reason });
        }
        errors
    }
}
