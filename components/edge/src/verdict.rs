//! Verdict on a request: whether it may have run.

use serde::{Deserialize, Serialize};

/// Response header with the verdict.
pub const VERDICT_HEADER: &str = "x-verdict";

/// Whether a request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It did not run and will not.
    NotRun,
    /// It ran and its response is known.
    Ran,
    /// Unknown; it may have run or may still run.
    MayHaveRun,
}

impl Verdict {
    /// Value of the verdict header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::MayHaveRun => "may-have-run",
        }
    }

    /// Parses the value of the verdict header.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        [Self::NotRun, Self::Ran, Self::MayHaveRun].into_iter().find(|v| v.as_str() == text)
    }
}

/// A failed call, with its verdict and a human-readable reason.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason} ({})", verdict.as_str())]
pub struct Fault {
    /// Whether the call may have taken effect.
    pub verdict: Verdict,
    /// Why the call failed.
    pub reason: String,
}

impl Fault {
    /// A call that certainly had no effect.
    pub fn not_run(reason: impl Into<String>) -> Self {
        Self { verdict: Verdict::NotRun, reason: reason.into() }
    }

    /// A call whose effect is unknown.
    pub fn may_have_run(reason: impl Into<String>) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason: reason.into() }
    }
}
