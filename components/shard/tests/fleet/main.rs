//! The shard in a fleet in memory.

mod jobs;
mod losses;
mod storms;
mod support;
