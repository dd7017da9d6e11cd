//! The entry host daemon.
//!
//! Every entry host runs the same background tasks: it tails the log and applies it to tables, exchanges
//! heartbeats with the other members, admits callers' requests and starts them on workers, supervises jobs,
//! and serves operators. The tasks share one [`Node`]; most of them run periodically over its state.

mod admin;
mod admission;
mod append;
mod attempt;
mod claim_sync;
mod command;
mod drain;
mod handover;
mod heartbeat;
mod idempotency;
mod job_api;
mod jobs;
mod log_reader;
mod members;
mod node;
mod peers;
mod plans;
mod queries;
mod retry_budget;
mod serve;
mod state;
mod timer;
mod units;
mod workers;

pub use node::{Clients, Error, Listeners, Node, run};
pub use timer::Timer;
