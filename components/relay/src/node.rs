//! One daemon: starts its tasks, serves the requests of callers and forwards them to the owners of shards.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use quota::Broker;
use shard::{JobState, Timing};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::configuration::Configuration;
use crate::desired_state::DesiredState;
use crate::membership::{self, Membership};
use crate::mesh::{self, Mesh, MeshError};
use crate::message::{Reply, ReplyKind, Request, RequestBody};
use crate::owner::ShardHandle;
use crate::partition_map::PartitionLog;
use crate::platform::{Machines, Store, Workers};
use crate::standby::{self, Role};
use crate::worker_list::{self, WorkerList};

mod assignment;
mod coordination;
mod documents;
mod jobs;
mod ownership;

pub(crate) use ownership::{EPOCHS_PER_GENERATION, token_limit};

/// Most peers that are remembered; peers that were replaced stay in the set until the process ends.
const MAX_KNOWN_PEERS: usize = 1_024;

/// Identity, dependencies and settings of a daemon.
#[derive(Debug)]
pub struct NodeOptions {
    /// Name of the daemon, which the platform's machines get with each order.
    pub name: String,
    /// Address at which other daemons reach this one.
    pub mesh_addr: SocketAddr,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The platform's workers.
    pub workers: Arc<dyn Workers>,
    /// The platform's machines.
    pub machines: Arc<dyn Machines>,
    /// Timing of the shards.
    pub timing: Timing,
    /// Milliseconds for which an order for a machine excludes orders of other coordinators for it.
    pub lease_ms: u64,
    /// Milliseconds that a machine takes to join another pool.
    pub move_ms: u64,
    /// Orders for machines that the platform accepts per second.
    pub orders_per_s: f64,
    /// Number of partitions of the shards' topic. The owner of the last one is the coordinator.
    pub partitions: u32,
    /// Memory in bytes for the large jobs of each shard that this daemon owns.
    pub large_job_bytes: u64,
    /// Its shards defer and refuse work of pools that are short of capacity.
    pub overload_control: bool,
    /// Owns shards whenever it runs; other daemons are on standby as long as preferred ones run.
    pub preferred: bool,
}

/// Result of a call to a [`Node`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Done and stored.
    Done,
    /// Not done; it will never take effect.
    Refused {
        /// Milliseconds until the caller may return; 0 for the usual time.
        retry_ms: u64,
    },
    /// It is unknown whether it was done.
    Uncertain,
    /// There is no such job.
    NotFound,
    /// State of the job.
    State(JobState),
    /// Number of waiting jobs.
    Count(u64),
}

/// A running daemon.
#[derive(Debug)]
pub struct Node {
    options: NodeOptions,
    mesh: Mesh,
    /// Peers that have sent requests to this daemon.
    known_peers: Mutex<BTreeSet<SocketAddr>>,
    /// Owner of each partition, as last read from the store.
    owners: watch::Sender<HashMap<u32, SocketAddr>>,
    /// Shards that this daemon owns, by partition.
    owned: Mutex<HashMap<u32, ShardHandle>>,
    /// Notified when an owner could not be reached.
    owners_stale: Notify,
    membership: watch::Receiver<Membership>,
    desired: watch::Receiver<DesiredState>,
    worker_list: watch::Receiver<WorkerList>,
    /// True while this daemon owns a shard, so that the worker list is read.
    workers_needed: watch::Sender<bool>,
    stopping: watch::Sender<bool>,
    role: watch::Sender<Role>,
    draining: AtomicBool,
    /// Highest epoch that this daemon has used, by partition.
    last_epochs: Mutex<HashMap<u32, u64>>,
    /// Time until which requests are served during a drain.
    drain_deadline: Mutex<Option<Instant>>,
    /// The coordinator, if this daemon runs it.
    coordinator: Mutex<Option<Coordination>>,
    /// Broker of customers' limits, and the coordinator's epoch that it belongs to.
    broker: Mutex<(u64, Broker)>,
    /// Partitions of services.
    partitions: PartitionLog,
    /// Notified when the partitions read last are too old.
    partitions_stale: Notify,
}

/// The coordinator that this daemon runs.
#[derive(Debug)]
struct Coordination {
    epoch: u64,
    /// Monotonic time of its start.
    started_at: u64,
    task: tokio::task::JoinHandle<()>,
}

impl Node {
    /// Starts all tasks of a daemon.
    #[must_use]
    pub fn start(options: NodeOptions, listener: TcpListener) -> Arc<Self> {
        let (membership_tx, membership) = watch::channel(Membership::default());
        let (desired_tx, desired) = watch::channel(DesiredState::default());
        let desired_tx = Arc::new(desired_tx);
        let (worker_list_tx, worker_list) = watch::channel(None);
        let (stopping_tx, stopping) = watch::channel(false);
        let (role, role_rx) = watch::channel(if options.preferred { Role::Owner } else { Role::Standby });
        let name = standby::member_name(options.mesh_addr, options.preferred);
        tokio::spawn(membership::run(Arc::clone(&options.store), name, role_rx, membership_tx, stopping));
        tokio::spawn(crate::desired_state::run(Arc::clone(&options.store), Arc::clone(&desired_tx)));
        let (workers_needed, needed) = watch::channel(false);
        tokio::spawn(worker_list::run(Arc::clone(&options.store), worker_list_tx, needed));
        let mesh_addr = options.mesh_addr;
        let partitions = PartitionLog::new(Arc::clone(&options.store), options.partitions.saturating_sub(1));
        let node = Arc::new(Self {
            options,
            mesh: Mesh::new(mesh_addr),
            known_peers: Mutex::default(),
            owners: watch::Sender::default(),
            owned: Mutex::default(),
            owners_stale: Notify::new(),
            membership,
            desired,
            worker_list,
            workers_needed,
            stopping: stopping_tx,
            role,
            draining: AtomicBool::new(false),
            last_epochs: Mutex::default(),
            drain_deadline: Mutex::default(),
            coordinator: Mutex::default(),
            broker: Mutex::default(),
            partitions,
            partitions_stale: Notify::new(),
        });
        tokio::spawn(Arc::clone(&node).reconcile_shards());
        tokio::spawn(Arc::clone(&node).keep_partitions());
        tokio::spawn(Arc::clone(&node).track_owners());
        tokio::spawn(Arc::clone(&node).fetch_peer_documents(desired_tx));
        let handler = Arc::clone(&node);
        tokio::spawn(mesh::serve(listener, move |request| {
            let handler = Arc::clone(&handler);
            async move { handler.handle_request(request).await }
        }));
        node
    }

    /// Newest configuration; `None` until one has been read.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Configuration>> {
        self.desired.borrow().config.clone()
    }

    /// True if the load balancer may send requests to this daemon: it does not drain, has a configuration and knows
    /// which partitions hold jobs.
    #[must_use]
    pub fn ready(&self) -> bool {
        let draining = self.draining.load(Ordering::Relaxed);
        !draining && self.desired.borrow().config.is_some() && !self.partitions.newest().is_empty()
    }

    /// Gives up all shards and stops being ready. Requests are still forwarded until `timeout` has passed.
    pub fn drain(&self, timeout: Duration) {
        *self.drain_deadline.lock() = Some(Instant::now() + timeout);
        self.draining.store(true, Ordering::Relaxed);
        for owner in self.owned.lock().values() {
            owner.stop();
        }
        self.stopping.send_replace(true);
    }

    /// Sends a request once to a partition's owner, which may be this daemon. Waits for the `usual` time or, if the
    /// owner's answers take longer, up to `most`.
    async fn try_owner(
        &self,
        partition: u32,
        body: RequestBody,
        (usual, most): (Duration, Duration),
    ) -> Result<Reply, MeshError> {
        let owner = self.owners.borrow().get(&partition).copied();
        let owned_here = self.owned.lock().get(&partition).is_some_and(|o| !o.has_ended());
        if owned_here || owner == Some(self.options.mesh_addr) {
            let reply = tokio::time::timeout(most, self.handle_locally(partition, body)).await;
            return reply.map_err(|_| MeshError::NoReply);
        }
        let Some(addr) = owner else { return Err(MeshError::NotSent) };
        self.mesh.request(addr, partition, body, (usual, most)).await
    }

    /// Handles a request of another daemon.
    async fn handle_request(&self, request: Request) -> Reply {
        if let Ok(peer) = request.sender.parse() {
            let mut known = self.known_peers.lock();
            if known.len() < MAX_KNOWN_PEERS {
                known.insert(peer);
            }
        }
        match request.body {
            Some(body) => self.handle_locally(request.partition, body).await,
            None => Reply::of(ReplyKind::Unspecified),
        }
    }

    /// Handles a request at this daemon; replies with `NotOwner` if it does not own the partition.
    async fn handle_locally(&self, partition: u32, body: RequestBody) -> Reply {
        let body = match body {
            RequestBody::Quota(report) => return self.divide_quota(partition, report),
            RequestBody::Documents(offset) => return self.newer_documents(offset),
            body => body,
        };
        let owner = self.owned.lock().get(&partition).filter(|o| !o.has_ended()).cloned();
        match owner {
            Some(owner) => owner.request(body).await,
            None => Reply::of(ReplyKind::NotOwner),
        }
    }

    /// Name of the daemon.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.options.name
    }

    /// Memory in bytes for the large jobs of each owned shard.
    #[must_use]
    pub const fn large_job_bytes(&self) -> u64 {
        self.options.large_job_bytes
    }

    /// Whether its shards defer and refuse work of pools that are short.
    pub(crate) fn overload_control(&self) -> bool {
        self.options.overload_control
    }

    /// Newest desired state.
    #[must_use]
    pub fn desired_state(&self) -> DesiredState {
        self.desired.borrow().clone()
    }

    /// True if this daemon is still the coordinator under an epoch and owns the partition.
    #[must_use]
    pub fn holds_partition(&self, partition: u32, epoch: u64) -> bool {
        let membership = self.membership.borrow();
        let current = self.coordinator.lock().as_ref().is_some_and(|c| c.epoch == epoch);
        current && membership.is_valid() && membership.assignment.partitions.contains(&partition)
    }

    /// The coordinator's partition is the last one; the shards are in those before it.
    const fn coordinator_partition(&self) -> u32 {
        self.options.partitions.saturating_sub(1)
    }

    /// Partitions of services, as last read.
    pub(crate) const fn partitions(&self) -> &PartitionLog {
        &self.partitions
    }

    fn partition_of(&self, service: &str) -> Option<u32> {
        self.partitions.newest().service(service)
    }
}
