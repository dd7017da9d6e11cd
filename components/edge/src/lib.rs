//! Clients of the services outside the process: the platform's log, its host list, and the workers.
//!
//! Each service is a small trait with an HTTP implementation. Support for another platform is a further
//! implementation in this crate; the other crates depend only on the traits. Every failed call carries a
//! [`Verdict`], so that callers know whether the call may have taken effect.

mod connection;
mod host_list;
mod http_client;
mod log;
mod verdict;
mod worker;

use std::pin::Pin;

pub use host_list::{HostInfo, HostList, HostState, HttpHostList};
pub use http_client::{Fetch, Fetched, Fetcher, TimeoutScope};
pub use log::{HttpLog, Log, LogEntry, LogPage};
pub use verdict::{Fault, VERDICT_HEADER, Verdict};
pub use worker::{
    Answer, HttpWorkers, LeasedTask, REFUSED_FULL, REFUSED_SEEN, RESUME_HEADER, RUNNING_HEADER, StartOrder,
    TASK_HEADER, TaskKind, TaskState, Usage, Workers,
};

/// Boxed future of a call, so that the traits can be used as trait objects.
pub type Call<'a, T> = Pin<Box<dyn Future<Output = Result<T, Fault>> + Send + 'a>>;

/// Identifies one run of an entry host; a restarted host has a new incarnation.
pub type Incarnation = u64;

/// Milliseconds since the Unix epoch, from this machine's wall clock.
#[must_use]
pub fn wall_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
