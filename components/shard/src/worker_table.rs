//! The workers of a shard by key. Keys rise and are never used again, so a key that outlives its worker finds
//! nothing; rows of workers that are gone are dropped, as each move of a machine adds a worker.

use std::collections::HashMap;
use std::ops::{Index, IndexMut};

use crate::worker::{Worker, WorkerKey};

/// Table of workers.
#[derive(Debug, Default)]
pub(crate) struct WorkerTable {
    /// Rows by key; a dropped row leaves an empty place of the size of a pointer.
    rows: Vec<Option<Box<Worker>>>,
    /// Keys by id.
    keys: HashMap<String, WorkerKey>,
}

impl WorkerTable {
    /// Adds a worker; its id then finds this row.
    pub fn insert(&mut self, worker: Worker) -> WorkerKey {
        let key = WorkerKey::try_from(self.rows.len()).unwrap_or(WorkerKey::MAX);
        self.keys.insert(worker.info.id.clone(), key);
        self.rows.push(Some(Box::new(worker)));
        key
    }

    /// Drops the rows for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(WorkerKey, &Worker) -> bool) {
        for (key, row) in (0..).zip(&mut self.rows) {
            if row.as_ref().is_some_and(|worker| !keep(key, worker))
                && let Some(worker) = row.take()
                && self.keys.get(&worker.info.id) == Some(&key)
            {
                self.keys.remove(&worker.info.id);
            }
        }
    }

    pub fn key(&self, id: &str) -> Option<WorkerKey> {
        self.keys.get(id).copied()
    }

    pub fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.rows.get(key as usize)?.as_deref()
    }

    pub fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.rows.get_mut(key as usize)?.as_deref_mut()
    }

    /// Workers with their keys, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        (0..).zip(&self.rows).filter_map(|(key, row)| Some((key, row.as_deref()?)))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (WorkerKey, &mut Worker)> {
        (0..).zip(&mut self.rows).filter_map(|(key, row)| Some((key, row.as_deref_mut()?)))
    }

    pub fn values(&self) -> impl Iterator<Item = &Worker> {
        self.rows.iter().filter_map(Option::as_deref)
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        self.rows.iter_mut().filter_map(Option::as_deref_mut)
    }
}

impl Index<WorkerKey> for WorkerTable {
    type Output = Worker;
    fn index(&self, key: WorkerKey) -> &Worker {
        self.get(key).expect("a key taken from the table in the same step")
    }
}

impl IndexMut<WorkerKey> for WorkerTable {
    fn index_mut(&mut self, key: WorkerKey) -> &mut Worker {
        self.get_mut(key).expect("a key taken from the table in the same step")
    }
}
