//! Scheduler of one shard: its jobs, their tasks and runs, and the workers that only this shard commands.
//!
//! A shard is a state machine without I/O and without a clock. Its inputs are requests of callers, replies of
//! workers, results of appends to the log and decisions of operators; each comes with the current time.
//! [`Shard::step`] returns the actions to take: append records, send requests to workers, answer callers. A
//! driver does the I/O.
//!
//! The log holds accepted jobs, cancellations and ends of runs, and each planned run before its start request
//! is sent. A new owner recovers from these records, then polls every worker that may have runs, under a
//! higher fencing token. Runs on workers that do not answer count as running until their lease has expired;
//! all other work goes on.

mod admission;
mod arrivals;
mod batch;
mod binding;
mod cancel;
mod candidates;
mod completion;
mod copies;
mod copy_odds;
mod drain;
mod health;
mod held_ends;
mod io;
mod job;
mod kept;
mod millis;
mod model;
mod overload;
mod placement;
mod ranges;
mod rank;
mod record;
mod recovery;
mod referral;
mod report;
mod second_run;
mod standstill;
mod starts;
mod state;
mod throttle;
mod view;
mod worker;
mod worker_table;

pub use drain::CORDON_MS;
pub use io::{Action, Input, Refusal, StartReply, StartRequest, Timing};
pub use model::{JobSpec, Repeat, Resources, StepSpec, TaskId, Verdict};
pub use record::{Record, RunRecord, WorkerRecord, stored_job};
pub use report::{RunEnd, RunOutcome, RunStatus, WorkerReport};
pub use second_run::CopyOutcome;
pub use standstill::{Obstacle, Standstill, WorkerCounts};
pub use state::Shard;
pub use view::{JobState, ServiceLoad, Usage};
pub use worker::{StopCause, WorkerInfo};

/// Milliseconds on the owner's monotonic clock, which also advances while the host is suspended.
pub type Ms = u64;
