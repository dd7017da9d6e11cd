//! Replicated state of the entry hosts, as a deterministic fold of the log into tables.
//!
//! Every host reads the same entries in the same order and applies them with [`Tables::apply`], so all hosts
//! reach the same tables. Every host refuses the same operations: those that lose a race, name an outdated
//! version, come from a fenced incarnation or would exceed an availability budget. An entry that was appended
//! twice is applied once.

mod apply;
mod change;
mod checkpoint;
mod plan;
mod record;
mod tables;

pub use checkpoint::{CheckpointAssembler, split_checkpoint};
pub use record::{ConfigChange, Entry, JobOutcome, Operation, OrphanedTask, Place, PlanState, TeamUnits};
pub use tables::{
    Host, Job, JobPhase, Key, Member, MemberState, Outcome, Plan, Pool, Queue, Refusal, Tables, Team,
};

/// Identifies one run of one entry host.
pub type Incarnation = u64;
