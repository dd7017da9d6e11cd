//! The daemon that runs on every entry host.
//!
//! All daemons run the same code. They join one consumer group at the platform's store, which assigns the
//! partitions of the shards' topic to its members. Each shard has one owner at a time; its epoch is derived
//! from the group's generation and fences earlier owners. A daemon forwards the requests of callers to the
//! owner of the shard over the mesh, the connections between daemons. The owner of the last partition is the
//! coordinator: it carries out maintenance waves, moves machines between pools and divides customers' limits
//! among shards.

mod answer_limit;
mod clock;
mod configuration;
mod coordinator;
mod coordinator_log;
mod desired_state;
mod in_flight;
mod membership;
mod mesh;
mod message;
mod node;
mod owner;
mod partition;
mod partition_map;
pub mod platform;
mod rate_limiter;
mod repeat;
mod shortage;
mod standby;
mod standstill;
mod worker_list;

pub use answer_limit::AnswerLimit;
pub use clock::{monotonic_ms, wall_ms};
pub use configuration::{Configuration, Customer, Pool, Queue, UNLIMITED, Wave};
pub use membership::MEMBER_TTL_MS;
pub use message::LoadReply;
pub use node::{Node, NodeOptions, Outcome};
pub use rate_limiter::RateLimiter;
pub use standby::{Role, STANDBY_WAIT_MS, StandbyPolicy};
