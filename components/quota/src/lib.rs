//! Divides customers' upper limits into quotas of shards.
//!
//! One broker at a time divides each customer's limit. The owner of each shard holds a quota of it and starts
//! nothing beyond that quota. An owner reports what it holds and what more it needs, one report at a time,
//! and receives its new quotas in reply. The broker counts a quota as held until the owner, or a later owner
//! of the same shard, reports that it holds less. Lost, late and repeated messages can therefore leave quota
//! unused, but never exceed a limit. A new broker grants nothing until every shard has reported to it.
//!
//! Parts of a limit that are each too small for a task would be of use to nobody. So an owner names what the tasks
//! need that only quota keeps from starting, and the broker grants the whole need of a task or nothing. Where the
//! need exceeds what is free, the limit is kept free for it for a while, in the order in which the shards asked, and
//! what other shards hold without using it is withdrawn. Owners give back nothing that they could use later: while
//! no broker grants, they would lose it bit by bit.
//!
//! The crate does no I/O and reads no clock.

mod broker;
mod shard_quota;

pub use broker::Broker;
use shard::Resources;
pub use shard_quota::ShardQuota;

/// Quota of one customer in a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    /// Customer.
    pub customer: String,
    /// Quota that the shard holds.
    pub held: Resources,
    /// Additional quota that the shard could use now.
    pub requested: Resources,
    /// Part of `requested` for the next task that only quota keeps from starting; zero if there is none.
    pub next: Resources,
    /// Part of `requested` for the smallest such task.
    pub least: Resources,
}

/// Report of a shard's owner to the broker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Shard.
    pub shard: u32,
    /// Epoch of the owner.
    pub epoch: u64,
    /// Sequence number, which rises with each report of an owner.
    pub sequence: u64,
    /// One claim for each customer of which the shard holds or requests quota.
    pub claims: Vec<Claim>,
}

/// Quota of one customer in the broker's reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Customer.
    pub customer: String,
    /// Quota that the shard holds from now on.
    pub quota: Resources,
}
