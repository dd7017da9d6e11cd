//! Interfaces to the platform: its store, its workers and its machines.
//!
//! The crate `platform` implements them over HTTP; tests implement them in memory.

use edge::Call;
use shard::{Record, StartReply, StartRequest, WorkerInfo, WorkerReport};

use crate::configuration::Configuration;
use crate::standby::Role;

/// Partitions assigned to a member of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// Generation of the group; rises with each change of its members.
    pub generation: u64,
    /// Partitions that the member owns.
    pub partitions: Vec<u32>,
}

/// Reply to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendReply {
    /// The records are stored.
    Stored,
    /// The partition has seen a higher epoch.
    Fenced,
    /// Another sequence number is expected.
    WrongSequence(u64),
    /// Nothing was stored; the append can be retried.
    Busy,
}

/// Newest value of each key of a partition.
pub type KeyedRecords = Vec<(String, Vec<u8>)>;

/// Changes in a topic since an offset.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes<T> {
    /// Offset to read from next.
    pub next_offset: u64,
    /// `entries` is the whole topic; a key that it lacks has been removed.
    pub snapshot: bool,
    /// Changed entries by key; `None` for a removed key.
    pub entries: Vec<(String, Option<T>)>,
}

/// The records of the topic with the partitions of services, in the order of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AssignmentTopic {
    /// Values of the records.
    pub records: Vec<Vec<u8>>,
    /// Offset after the last record.
    pub end: u64,
}

/// The platform's store.
pub trait Store: Send + Sync + std::fmt::Debug {
    /// Joins the group of daemons, or renews the membership.
    fn join<'a>(&'a self, member: &'a str, generation: u64, role: Role) -> Call<'a, Assignment>;

    /// Leaves the group.
    fn leave<'a>(&'a self, member: &'a str) -> Call<'a, ()>;

    /// Lists the partitions with the member that owns each; `None` without an owner.
    fn owners(&self) -> Call<'_, Vec<(u32, Option<String>)>>;

    /// Appends records to a shard's partition atomically.
    fn append<'a>(
        &'a self,
        partition: u32,
        epoch: u64,
        sequence: u64,
        records: &'a [Record],
    ) -> Call<'a, AppendReply>;

    /// Reads the newest value of each key of a shard's partition.
    fn read_partition(&self, partition: u32) -> Call<'_, KeyedRecords>;

    /// Reads the topic with the partitions of services.
    fn read_assignments(&self) -> Call<'_, AssignmentTopic>;

    /// Appends a record to the topic with the partitions of services, unless the topic ends elsewhere than at `end`;
    /// returns whether it was appended there.
    fn append_assignments<'a>(&'a self, key: &'a str, value: &'a [u8], end: u64) -> Call<'a, bool>;

    /// Reads the operators' documents changed since an offset and waits for a change; `None` reads all.
    fn read_documents(&self, from: Option<u64>) -> Call<'_, Changes<Document>>;

    /// Publishes to operators whether a maintenance wave is complete.
    fn publish_wave(&self, wave: u64, complete: bool) -> Call<'_, ()>;

    /// Reads the workers changed since an offset; `None` reads all.
    fn read_workers(&self, from: Option<u64>) -> Call<'_, Changes<WorkerInfo>>;
}

/// A document that operators write.
#[derive(Clone, Debug, PartialEq)]
pub enum Document {
    /// The complete configuration.
    Configuration(Configuration),
    /// An availability zone is taken out of service.
    ZoneOut(String),
    /// Machines are due for maintenance.
    Wave(crate::configuration::Wave),
}

/// The workers, which run tasks.
pub trait Workers: Send + Sync + std::fmt::Debug {
    /// Starts a run.
    fn start<'a>(&'a self, order: &'a StartRequest) -> Call<'a, StartReply>;

    /// Stops a run, or prevents it from starting; false if the worker has seen a higher fencing token.
    fn stop<'a>(
        &'a self,
        worker: &'a str,
        addr: &'a str,
        run: (&'a str, u32),
        fencing_token: u64,
    ) -> Call<'a, bool>;

    /// Throttles a run to a percentage of its full speed.
    fn throttle<'a>(
        &'a self,
        worker: &'a str,
        addr: &'a str,
        run: (&'a str, u32),
        percent: u32,
        fencing_token: u64,
    ) -> Call<'a, ()>;

    /// Polls a worker: renews its lease, acknowledges ended runs and may wait for one to end.
    fn poll<'a>(&'a self, poll: Poll<'a>) -> Call<'a, PollReply>;
}

/// A poll of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Poll<'a> {
    /// Id of the worker.
    pub worker: &'a str,
    /// Address of the worker.
    pub addr: &'a str,
    /// Fencing token.
    pub fencing_token: u64,
    /// New end of the lease on the worker's clock; `None` while that clock is unknown.
    pub lease_until: Option<u64>,
    /// Number of the last ended run that is acknowledged.
    pub acked: u64,
    /// Longest time to wait for a run to end.
    pub wait_ms: u64,
}

/// Reply to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollReply {
    /// Running and ended runs.
    Report(WorkerReport),
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another incarnation of a worker answers at the address.
    OtherIncarnation,
}

/// Reply to an order for a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// Carried out, now or by an earlier order.
    Done,
    /// Not carried out because the machine is not up; it can be ordered again.
    NotReady,
    /// Not carried out; the order can never succeed.
    Invalid,
}

/// The platform's machines.
pub trait Machines: Send + Sync + std::fmt::Debug {
    /// Lists all machines.
    fn list(&self) -> Call<'_, Vec<maintenance::Machine>>;

    /// Orders that a machine moves to another pool.
    fn move_to_pool<'a>(
        &'a self,
        machine: &'a str,
        pool: &'a str,
        coordinator: &'a str,
        fencing_token: u64,
    ) -> Call<'a, OrderReply>;

    /// Orders the maintenance of a machine in a wave, which takes it down.
    fn start_maintenance<'a>(
        &'a self,
        machine: &'a str,
        wave: u64,
        coordinator: &'a str,
        fencing_token: u64,
    ) -> Call<'a, OrderReply>;
}
