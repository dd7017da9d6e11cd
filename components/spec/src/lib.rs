//! Placeholder until its first use.
