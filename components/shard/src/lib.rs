//! One shard of the fleet: its jobs, their tasks and runs, and the workers that only this shard orders.
//!
//! A shard is a state machine without I/O and without a clock. Inputs are what callers ask, what workers
//! report, what the log has stored and what operators decide; each comes with the time. [`Shard::step`]
//! returns what to do next: append records, send orders to workers, answer callers. A driver does the I/O.
//!
//! Only facts that cannot be read back from workers are stored: accepted jobs, cancellations, ends of runs
//! and the workers in use. A new owner loads these, asks every worker in use what runs there under a higher
//! fencing token, and waits out the leases of those that do not answer.

mod cancel;
mod drain;
mod ends;
mod health;
mod intake;
mod job;
mod load;
mod machine;
mod model;
mod order;
mod pace;
mod place;
mod record;
mod report;
mod view;
mod worker;

pub use machine::{Action, Input, Limits, Phase, Shard, StartOrder, StartReply};
pub use model::{JobSpec, Repeat, Res, RunName, StepSpec, Verdict};
pub use record::{Record, WorkerRecord};
pub use report::{EndRow, How, Report, RunRow};
pub use view::{JobState, Usage};
pub use worker::{StopCause, WorkerInfo};

/// Milliseconds on the owner's steady clock, which also counts while the machine is suspended.
pub type Ms = u64;
