//! An in-memory platform: a store with a group and operators' documents, beside workers and machines.

mod workers;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use edge::{Call, Fault};
use parking_lot::Mutex;
use relay::platform::{AppendReply, Assignment, AssignmentTopic, Changes, Document, KeyedRecords, Store};
use relay::{Configuration, Customer, Pool, Queue, Role, Wave, monotonic_ms};
use shard::{Record, Resources, WorkerInfo};
use tokio::time::Instant;
pub use workers::Worker;
use workers::info;

/// Time after which a call without an answer fails.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(600);
/// Last appends of an epoch that the store answers again, without storing anything, when they are repeated.
const REPEATED_APPENDS: u64 = 5;
/// Number of partitions; the last one is the coordinator's.
pub const PARTITIONS: u32 = 4;
/// Pool whose machines are off.
const SPARE_POOL: &str = "spare";
/// Run time of a task in milliseconds.
pub const TASK_MS: u64 = 60;

/// The in-memory platform.
#[derive(Debug, Default)]
pub struct Platform {
    pub state: Mutex<State>,
}

#[derive(Debug, Default)]
pub struct State {
    pub generation: u64,
    /// Members with the end of their membership and their role.
    pub members: BTreeMap<String, (u64, Role)>,
    pub partitions: HashMap<u32, BTreeMap<String, Vec<u8>>>,
    /// Epoch and next sequence number of each partition.
    pub epochs: HashMap<u32, (u64, u64)>,
    /// Members whose calls the store rejects.
    pub rejected: HashSet<String>,
    /// Number of appends whose answers are lost.
    pub lost_answers: u32,
    /// Time that the store takes for an append. Those of a partition are handled one after another.
    pub append_time: Duration,
    /// When the store has handled the appends of each partition that it has received.
    pub handled_at: HashMap<u32, Instant>,
    /// Appends that the store has received: partition, sequence number and number of records.
    pub received: Vec<(u32, u64, usize)>,
    /// Version of the configuration.
    pub version: u64,
    /// Configuration in place of [`config`], which has its own version.
    pub config: Option<Configuration>,
    /// Records of the topic with the partitions of services.
    pub assignments: Vec<Vec<u8>>,
    pub workers: HashMap<String, Worker>,
    /// Started runs, as task and run number.
    pub starts: Vec<(String, u32)>,
    /// Task and worker of each started run.
    pub start_workers: Vec<(String, String)>,
    /// Members that have read the list of workers.
    pub readers: HashSet<String>,
    /// Machines of the spare pool.
    pub spare_machines: Vec<String>,
    /// Ordered moves, as machine and pool.
    pub moves: Vec<(String, String)>,
    /// Maintenance waves that operators have published.
    pub waves: Vec<Wave>,
    /// Orders for maintenance that get no answer and are not carried out.
    pub lost_orders: u32,
    /// Begun maintenance, as machine and wave.
    pub maintenance: Vec<(String, u64)>,
    /// Until when machines are down for maintenance.
    pub down_until: HashMap<String, Instant>,
    /// Machines without their maintenance when a wave was published as complete, by wave.
    pub missing: BTreeMap<u64, Vec<String>>,
}

impl State {
    /// Assigns the partitions evenly to the members that are owners.
    pub fn assignment(&self, member: &str) -> Assignment {
        let names = self.owners();
        let assigned = |p: &u32| names.get(*p as usize % names.len().max(1)).is_some_and(|n| *n == member);
        Assignment { generation: self.generation, partitions: (0..PARTITIONS).filter(assigned).collect() }
    }

    /// Members in the role of an owner.
    pub fn owners(&self) -> Vec<&String> {
        self.members.iter().filter(|(_, (_, role))| *role == Role::Owner).map(|(name, _)| name).collect()
    }

    /// Removes the members whose membership has expired.
    fn expire(&mut self) {
        let now = monotonic_ms();
        let before = self.members.len();
        self.members.retain(|_, (until, _)| *until > now);
        self.generation += u64::from(self.members.len() != before);
    }
}

/// One daemon's client of the platform.
#[derive(Debug)]
pub struct PlatformClient {
    pub platform: Arc<Platform>,
    pub member: String,
}

impl PlatformClient {
    /// Access to the store, unless it rejects this member.
    fn store(&self) -> std::result::Result<parking_lot::MutexGuard<'_, State>, Fault> {
        let state = self.platform.state.lock();
        if state.rejected.contains(&self.member) {
            return Err(Fault::not_run("rejected"));
        }
        Ok(state)
    }
}

impl PlatformClient {
    /// Waits until the store has handled the appends before one and then this one.
    async fn handle_append(&self, partition: u32, sequence: u64, records: &[Record]) {
        let handled = {
            let mut state = self.platform.state.lock();
            state.received.push((partition, sequence, records.len()));
            let begin = state.handled_at.get(&partition).copied().unwrap_or_else(Instant::now);
            let handled = begin.max(Instant::now()) + state.append_time;
            state.handled_at.insert(partition, handled);
            handled
        };
        tokio::time::sleep_until(handled).await;
    }

    /// Stores records; a repeated append is answered like the first.
    fn store_records(
        &self,
        partition: u32,
        epoch: u64,
        sequence: u64,
        records: &[Record],
    ) -> Result<AppendReply, Fault> {
        let mut state = self.store()?;
        let (last, next) = state.epochs.get(&partition).copied().unwrap_or_default();
        if epoch < last {
            return Ok(AppendReply::Fenced);
        }
        if epoch == last && sequence < next && sequence + REPEATED_APPENDS >= next {
            return Ok(AppendReply::Stored);
        }
        if epoch == last && sequence != next {
            return Ok(AppendReply::WrongSequence(next));
        }
        state.epochs.insert(partition, (epoch, sequence + 1));
        let table = state.partitions.entry(partition).or_default();
        for record in records {
            match &record.value {
                Some(value) => drop(table.insert(record.key.clone(), value.clone())),
                None => drop(table.remove(&record.key)),
            }
        }
        Ok(AppendReply::Stored)
    }
}

impl Store for PlatformClient {
    fn join<'a>(&'a self, member: &'a str, _generation: u64, role: Role) -> Call<'a, Assignment> {
        Box::pin(async move {
            let mut state = self.store()?;
            state.expire();
            let until = monotonic_ms() + relay::MEMBER_TTL_MS;
            let before = state.members.insert(member.to_owned(), (until, role));
            state.generation += u64::from(before.is_none_or(|(_, r)| r != role));
            Ok(state.assignment(member))
        })
    }

    fn leave<'a>(&'a self, member: &'a str) -> Call<'a, ()> {
        Box::pin(async move {
            let mut state = self.store()?;
            if state.members.remove(member).is_some() {
                state.generation += 1;
            }
            Ok(())
        })
    }

    fn owners(&self) -> Call<'_, Vec<(u32, Option<String>)>> {
        Box::pin(async move {
            let mut state = self.store()?;
            state.expire();
            let names = state.owners();
            let owner = |p: u32| names.get(p as usize % names.len().max(1)).map(|n| (*n).clone());
            Ok((0..PARTITIONS).map(|p| (p, owner(p))).collect())
        })
    }

    fn append<'a>(
        &'a self,
        partition: u32,
        epoch: u64,
        sequence: u64,
        records: &'a [Record],
    ) -> Call<'a, AppendReply> {
        Box::pin(async move {
            let lost = {
                let mut state = self.store()?;
                let lost = state.lost_answers > 0 && !records.is_empty();
                state.lost_answers -= u32::from(lost);
                lost
            };
            self.handle_append(partition, sequence, records).await;
            let answer = self.store_records(partition, epoch, sequence, records)?;
            if lost {
                tokio::time::sleep(STORE_TIMEOUT).await;
                return Err(Fault::may_have_run("no answer"));
            }
            Ok(answer)
        })
    }

    fn read_partition(&self, partition: u32) -> Call<'_, KeyedRecords> {
        Box::pin(async move {
            let state = self.store()?;
            let table = state.partitions.get(&partition).cloned().unwrap_or_default();
            Ok(table.into_iter().collect())
        })
    }

    fn read_assignments(&self) -> Call<'_, AssignmentTopic> {
        Box::pin(async move {
            let records = self.store()?.assignments.clone();
            Ok(AssignmentTopic { end: records.len() as u64, records })
        })
    }

    fn append_assignments<'a>(&'a self, _: &'a str, value: &'a [u8], end: u64) -> Call<'a, bool> {
        Box::pin(async move {
            let mut state = self.store()?;
            let ends_there = state.assignments.len() as u64 == end;
            if ends_there {
                state.assignments.push(value.to_vec());
            }
            Ok(ends_there)
        })
    }

    fn read_documents(&self, from: Option<u64>) -> Call<'_, Changes<Document>> {
        Box::pin(async move {
            let (version, document, waves) = {
                let state = self.store()?;
                let document = state.config.clone().unwrap_or_else(|| config(state.version));
                (document.version, Document::Configuration(document), state.waves.clone())
            };
            if from == Some(version) {
                tokio::time::sleep(Duration::from_millis(20)).await;
                return Ok(Changes { next_offset: version, snapshot: false, entries: Vec::new() });
            }
            let waves = waves.into_iter().map(|w| (format!("wave/{}", w.number), Some(Document::Wave(w))));
            let entries = waves.chain([("config".into(), Some(document))]).collect();
            Ok(Changes { next_offset: version, snapshot: true, entries })
        })
    }

    fn publish_wave(&self, wave: u64, complete: bool) -> Call<'_, ()> {
        Box::pin(async move {
            let mut state = self.store()?;
            let spec = state.waves.iter().find(|w| w.number == wave).filter(|_| complete);
            let machines = spec.map(|w| w.machines.clone());
            let begun = |m: &String| state.maintenance.contains(&(m.clone(), wave));
            let missing = machines.map(|all| all.into_iter().filter(|m| !begun(m)).collect());
            state.missing.extend(missing.map(|m| (wave, m)));
            Ok(())
        })
    }

    fn read_workers(&self, _from: Option<u64>) -> Call<'_, Changes<WorkerInfo>> {
        Box::pin(async move {
            let mut state = self.store()?;
            state.readers.insert(self.member.clone());
            let items = state.workers.iter().map(|(id, w)| (id.clone(), Some(info(id, w)))).collect();
            Ok(Changes { next_offset: 1, snapshot: true, entries: items })
        })
    }
}

pub fn config(version: u64) -> Configuration {
    Configuration {
        version,
        queues: vec![Queue {
            name: "q".into(),
            service: "quotes".into(),
            max_attempts: 3,
            ..Queue::default()
        }],
        pools: vec![
            Pool { name: "quotes".into(), spare: false },
            Pool { name: SPARE_POOL.into(), spare: true },
        ],
        customers: vec![Customer {
            name: "acme".into(),
            limit: Resources { cpu: 8_000, mem: 8_000, gpu: 0 },
            ..Customer::default()
        }],
        ..Configuration::default()
    }
}
