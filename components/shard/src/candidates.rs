//! Workers that can take tasks in one placement pass, ordered by their free processor time.
//!
//! Answers a backlog of thousands of steps on thousands of workers: the tightest worker with room is found
//! without looking at the full ones, and a step that fits nowhere costs no scan.

use std::collections::{BTreeSet, HashMap, HashSet};

use crate::model::Resources;
use crate::worker::{Worker, WorkerKey};

/// Workers by free processor time in thousandths of a core, then by key.
type ByFree = BTreeSet<(u64, WorkerKey)>;

/// Candidates of one service.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    all: ByFree,
    by_rack: HashMap<String, ByFree>,
    /// Largest amounts that a worker offers when it is empty.
    largest: Resources,
    /// Amounts for which no worker has room; none of them fits another.
    full_for: Vec<Resources>,
}

/// State of one placement pass.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    services: HashMap<String, Candidates>,
    /// Free processor time under which each worker is listed.
    free: HashMap<WorkerKey, u64>,
    /// Workers that are kept free for steps that lacked capacity.
    pub reserved: HashSet<WorkerKey>,
    /// Services with tasks that wait for room.
    short: HashSet<String>,
}

impl Candidates {
    /// Whether a worker could take the tasks if it were empty, and no smaller ones have been without room.
    pub fn may_fit(&self, reservation: &Resources) -> bool {
        reservation.fits(&self.largest) && !self.full_for.iter().any(|full| full.fits(reservation))
    }

    /// Number of workers.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Workers with at least `cpu` free, the tightest first.
    pub fn tightest(&self, cpu: u64) -> impl Iterator<Item = WorkerKey> {
        self.all.range((cpu, 0)..).map(|(_, key)| *key)
    }

    /// Those of a rack.
    pub fn tightest_in_rack(&self, rack: &str, cpu: u64) -> impl Iterator<Item = WorkerKey> {
        self.by_rack.get(rack).into_iter().flat_map(move |set| set.range((cpu, 0)..).map(|(_, key)| *key))
    }

    /// All workers, those with the most free processor time first.
    pub fn emptiest(&self) -> impl Iterator<Item = WorkerKey> {
        self.all.iter().rev().map(|(_, key)| *key)
    }
}

impl Pass {
    /// Adds a worker that can take tasks.
    pub fn add(&mut self, key: WorkerKey, worker: &Worker) {
        if !self.services.contains_key(&worker.info.service) {
            self.services.insert(worker.info.service.clone(), Candidates::default());
        }
        let Some(candidates) = self.services.get_mut(&worker.info.service) else { return };
        let entry = (worker.available().cpu, key);
        candidates.largest = candidates.largest.max(&worker.info.capacity);
        candidates.all.insert(entry);
        if !worker.rack.is_empty() {
            candidates.by_rack.entry(worker.rack.clone()).or_default().insert(entry);
        }
        self.free.insert(key, entry.0);
    }

    /// Lists a worker anew after its runs have changed.
    pub fn refresh(&mut self, key: WorkerKey, worker: &Worker) {
        let Some(old) = self.free.remove(&key) else { return };
        if let Some(candidates) = self.services.get_mut(&worker.info.service) {
            candidates.all.remove(&(old, key));
            if let Some(rack) = candidates.by_rack.get_mut(&worker.rack) {
                rack.remove(&(old, key));
            }
        }
        self.add(key, worker);
    }

    /// Notes that no worker of a service has room for a reservation. Workers only get fuller during a pass.
    pub fn note_full(&mut self, service: &str, reservation: Resources) {
        let Some(candidates) = self.services.get_mut(service) else { return };
        if candidates.may_fit(&reservation) {
            candidates.full_for.retain(|larger| !reservation.fits(larger));
            candidates.full_for.push(reservation);
        }
    }

    /// Notes that tasks of a service wait for room.
    pub fn note_short(&mut self, service: &str) {
        self.short.insert(service.to_owned());
    }

    /// Whether tasks of a service wait for room.
    pub fn is_short(&self, service: &str) -> bool {
        self.short.contains(service)
    }

    pub fn candidates(&self, service: &str) -> Option<&Candidates> {
        self.services.get(service)
    }
}
