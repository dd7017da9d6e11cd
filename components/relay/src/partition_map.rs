//! Partitions of services and queues, as the store's log has assigned them.
//!
//! The partition of a service holds the records of its jobs, so a service keeps its partition for good, whichever pools
//! come, go and return. Daemons may use different versions of the configuration at a time, and none decides alone: a
//! daemon that misses a service proposes partitions in a record of a topic of their own, and the first record that names
//! a service counts. An assignment never changes, so a daemon may use those that it has read for as long as it runs.
//!
//! The same holds for the home of a queue, the partition where its jobs are registered: that of the service which the
//! queue was sent to at first.
//!
//! Older versions derived the partitions from the names of all services. The daemon that writes the first record looks
//! for the jobs that they have stored: a service stays where most of its jobs are, and jobs in other partitions are
//! noted as strays of their queues.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use edge::Fault;
use prost::Message;
use tokio::sync::{Mutex, watch};

use crate::clock::{monotonic_ms, wall_ms};
use crate::configuration::{Configuration, Queue};
use crate::platform::{KeyedRecords, Store};

/// Most queues that are registered beside new services; with names of ordinary length they take a tenth of a record.
/// Others are registered with their first job.
const MAX_QUEUES: usize = 256;

/// A name and its partition.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Row {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint32, tag = "2")]
    partition: u32,
}

/// Assignments that a daemon proposes: a record of the topic.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Proposal {
    /// Services.
    #[prost(message, repeated, tag = "1")]
    services: Vec<Row>,
    /// Homes of queues, by address.
    #[prost(message, repeated, tag = "3")]
    queues: Vec<Row>,
    /// Queues with jobs of older versions in other partitions than that of their service.
    #[prost(message, repeated, tag = "2")]
    strays: Vec<Row>,
}

/// Assignments read from the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartitionMap {
    services: BTreeMap<String, u32>,
    /// Homes of queues, by address.
    queues: BTreeMap<String, u32>,
    strays: BTreeMap<String, BTreeSet<u32>>,
    /// Offset at which the topic ended.
    end: u64,
}

impl PartitionMap {
    /// Applies the records of the topic in the order of the log.
    fn from_records(records: &[Vec<u8>], end: u64) -> Self {
        let mut map = Self { end, ..Self::default() };
        for record in records {
            match Proposal::decode(record.as_slice()) {
                Ok(proposal) => map.apply(proposal),
                Err(error) => tracing::warn!(%error, "partitions: malformed record skipped"),
            }
        }
        map
    }

    fn apply(&mut self, proposal: Proposal) {
        for row in proposal.services {
            self.services.entry(row.name).or_insert(row.partition);
        }
        for row in proposal.queues {
            self.queues.entry(row.name).or_insert(row.partition);
        }
        for row in proposal.strays {
            self.strays.entry(row.name).or_default().insert(row.partition);
        }
    }

    /// Partition of a service.
    pub fn service(&self, name: &str) -> Option<u32> {
        self.services.get(name).copied()
    }

    /// Partition where the jobs of the queue at an address are registered.
    pub fn home(&self, address: &str) -> Option<u32> {
        self.queues.get(address).copied()
    }

    /// Partitions besides that of its service that hold jobs of a queue, stored by older versions.
    pub fn strays(&self, queue: &str) -> BTreeSet<u32> {
        self.strays.get(queue).cloned().unwrap_or_default()
    }

    /// All partitions that may hold jobs.
    pub fn partitions(&self) -> BTreeSet<u32> {
        let services = self.services.values();
        services.chain(self.queues.values()).chain(self.strays.values().flatten()).copied().collect()
    }

    /// Whether no record has been read, so that jobs may be in any partition.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Whether a service of the configuration has no partition.
    pub fn lacks(&self, config: &Configuration) -> bool {
        config.services().iter().any(|name| !self.services.contains_key(*name))
    }
}

/// Jobs that older versions have stored.
#[derive(Debug, Default)]
struct StoredJobs {
    /// Number of jobs of each service by partition.
    services: BTreeMap<String, BTreeMap<u32, usize>>,
    /// Partitions with jobs of each queue and service.
    queues: BTreeSet<(String, String, u32)>,
}

impl StoredJobs {
    fn add(&mut self, partition: u32, records: &KeyedRecords) {
        for spec in records.iter().filter_map(|(key, value)| shard::stored_job(key, value)) {
            *self.services.entry(spec.service.clone()).or_default().entry(partition).or_default() += 1;
            self.queues.insert((spec.queue, spec.service, partition));
        }
    }

    /// Partition with most of each service's jobs.
    fn homes(&self) -> BTreeMap<String, u32> {
        let home = |counts: &BTreeMap<u32, usize>| {
            counts
                .iter()
                .max_by_key(|(partition, count)| (**count, std::cmp::Reverse(**partition)))
                .map(|(p, _)| *p)
        };
        self.services.iter().filter_map(|(name, counts)| Some((name.clone(), home(counts)?))).collect()
    }
}

/// Access to the assignments in the log.
#[derive(Debug)]
pub struct PartitionLog {
    store: Arc<dyn Store>,
    /// Number of partitions for shards.
    count: u32,
    newest: watch::Sender<Arc<PartitionMap>>,
    /// Monotonic time at which the newest read began; 0 before the first one.
    read_at: AtomicU64,
    /// Held during a read.
    reading: Mutex<()>,
}

impl PartitionLog {
    pub fn new(store: Arc<dyn Store>, count: u32) -> Self {
        let newest = watch::Sender::default();
        Self { store, count, newest, read_at: AtomicU64::default(), reading: Mutex::default() }
    }

    /// The assignments read last.
    pub fn newest(&self) -> Arc<PartitionMap> {
        Arc::clone(&self.newest.borrow())
    }

    /// The assignments read last, if that read began at a monotonic time or later.
    pub fn newest_since(&self, since: u64) -> Option<Arc<PartitionMap>> {
        let read_at = self.read_at.load(Ordering::Acquire);
        (read_at > 0 && read_at >= since).then(|| self.newest())
    }

    /// Notices of new assignments.
    pub fn subscribe(&self) -> watch::Receiver<Arc<PartitionMap>> {
        self.newest.subscribe()
    }

    /// Assignments from a read that began at a monotonic time or later.
    ///
    /// # Errors
    /// The store does not answer.
    pub async fn read_since(&self, since: u64) -> Result<Arc<PartitionMap>, Fault> {
        let _reading = self.reading.lock().await;
        if let Some(map) = self.newest_since(since) {
            return Ok(map);
        }
        let began = monotonic_ms();
        let topic = self.store.read_assignments().await?;
        let map = Arc::new(PartitionMap::from_records(&topic.records, topic.end));
        self.newest.send_if_modified(|newest| {
            let changed = *newest != map;
            newest.clone_from(&map);
            changed
        });
        self.read_at.store(began, Ordering::Release);
        Ok(map)
    }

    /// Proposes partitions for the services of a configuration that have none, and reads what counts.
    ///
    /// # Errors
    /// The store does not answer.
    pub async fn assign(&self, daemon: &str, config: &Configuration) -> Result<(), Fault> {
        let map = self.newest();
        if !map.lacks(config) {
            return Ok(());
        }
        let stored = if map.is_empty() { self.find_stored_jobs().await? } else { StoredJobs::default() };
        let proposal = propose(&map, config, &stored, self.count);
        self.append(daemon, &proposal, map.end).await
    }

    /// Partition where the jobs of a queue are registered. Registers it, at the partition of its service, if it is
    /// registered nowhere.
    ///
    /// # Errors
    /// The store does not answer.
    pub async fn find_home(&self, daemon: &str, queue: (&str, &str)) -> Result<Option<u32>, Fault> {
        let (address, service) = queue;
        if let Some(home) = self.newest().home(address) {
            return Ok(Some(home));
        }
        let map = self.read_since(monotonic_ms()).await?;
        if let (None, Some(partition)) = (map.home(address), map.service(service)) {
            let queues = vec![Row { name: address.to_owned(), partition }];
            self.append(daemon, &Proposal { queues, ..Proposal::default() }, map.end).await?;
        }
        Ok(self.newest().home(address))
    }

    /// Appends a proposal if the topic still ends at an offset, and reads what counts.
    async fn append(&self, daemon: &str, proposal: &Proposal, end: u64) -> Result<(), Fault> {
        tracing::info!(?proposal, "partitions: proposed");
        // Each record has a key of its own, so that the topic keeps all of them.
        let key = format!("{daemon}/{}", wall_ms());
        let accepted = self.store.append_assignments(&key, &proposal.encode_to_vec(), end).await;
        self.read_since(monotonic_ms()).await?;
        if !accepted? {
            tracing::info!("partitions: another daemon has written first");
        }
        Ok(())
    }

    /// Reads all partitions.
    async fn find_stored_jobs(&self) -> Result<StoredJobs, Fault> {
        let reads = (0..self.count).map(|partition| self.store.read_partition(partition));
        let mut stored = StoredJobs::default();
        for (partition, records) in (0..).zip(futures_util::future::join_all(reads).await) {
            stored.add(partition, &records?);
        }
        Ok(stored)
    }
}

fn propose(map: &PartitionMap, config: &Configuration, stored: &StoredJobs, count: u32) -> Proposal {
    let mut services = map.services.clone();
    // Without assignments, these are the partitions that daemons of older versions use.
    services.extend(config.new_partitions(count, &map.services));
    services.extend(stored.homes());
    let stray = |(queue, service, partition): &(String, String, u32)| {
        (services.get(service) != Some(partition)).then(|| Row { name: queue.clone(), partition: *partition })
    };
    let strays = stored.queues.iter().filter_map(stray).collect();
    let unregistered = config.queues.iter().filter(|q| map.home(&q.address()).is_none());
    let home = |q: &Queue| Some(Row { name: q.address(), partition: *services.get(&q.service)? });
    let queues = unregistered.filter_map(home).take(MAX_QUEUES).collect();
    let new = services.into_iter().filter(|(name, _)| !map.services.contains_key(name));
    let services = new.map(|(name, partition)| Row { name, partition }).collect();
    Proposal { services, queues, strays }
}
