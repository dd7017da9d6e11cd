//! Take-over: what the log has stored, before the workers are asked.

use std::collections::HashMap;

use crate::job::{Stage, StepRef, TaskRef};
use crate::machine::Shard;
use crate::model::Verdict;
use crate::record::{self, Loaded, Progress};
use crate::worker::{Worker, WorkerInfo};

impl Shard {
    /// Takes the newest record of each key of the shard's partition.
    pub fn load<'a>(&mut self, items: impl Iterator<Item = (&'a str, &'a [u8])>) {
        let mut progress: HashMap<String, Progress> = HashMap::new();
        for (key, value) in items {
            match record::read(key, value) {
                Some(Loaded::Job(spec)) => {
                    let since = self.now.saturating_sub(self.wall.saturating_sub(spec.accepted));
                    let key = self.add_job(spec, since);
                    if let Some(job) = self.jobs.get_mut(&key) {
                        job.stored = true;
                    }
                }
                Some(Loaded::Progress(id, done)) => {
                    progress.insert(id, done);
                }
                Some(Loaded::Worker(worker)) => self.load_worker(worker),
                None => tracing::warn!(key, "shard: stored record is not understood"),
            }
        }
        let ids: Vec<String> = self.ids.keys().cloned().collect();
        for id in ids {
            self.restore(&id, progress.remove(&id).unwrap_or_default());
        }
    }

    fn load_worker(&mut self, worker: record::WorkerRecord) {
        let info = WorkerInfo {
            id: worker.id,
            addr: worker.addr,
            service: String::new(),
            zone: String::new(),
            labels: Vec::new(),
            room: crate::Res::default(),
            ready: false,
        };
        let key = u32::try_from(self.workers.len()).unwrap_or(u32::MAX);
        self.worker_ids.insert(info.id.clone(), key);
        let mut worker = Worker::new(info, self.now);
        worker.recorded = true;
        worker.listed = false;
        self.workers.push(worker);
    }

    fn restore(&mut self, id: &str, progress: Progress) {
        let Some(&key) = self.ids.get(id) else { return };
        let verdict = progress.verdict();
        if let Some(job) = self.jobs.get_mut(&key) {
            job.verdict = verdict;
            job.shown = verdict;
            job.ended = progress.ended;
            job.complete = progress.turns.iter().filter(|t| t.complete).map(|t| t.turn).collect();
        }
        if verdict != Verdict::Open {
            return;
        }
        self.open_job(key, Stage::Doubt);
        for turn in progress.turns.iter().filter(|t| !t.complete) {
            self.open_turn(key, turn.turn, Stage::Doubt);
            let Some(open) = self.jobs.get_mut(&key).and_then(|j| j.turn_mut(turn.turn)) else { continue };
            for (step, stored) in open.steps.iter_mut().zip(&turn.steps) {
                step.restore(stored);
            }
        }
    }

    /// All runs are known: tasks that were not found can be started.
    pub(crate) fn release_doubts(&mut self) {
        let mut tasks: Vec<TaskRef> = Vec::new();
        for (&job, entry) in &self.jobs {
            for turn in &entry.turns {
                for (step, table) in (0..).zip(&turn.steps) {
                    let at = StepRef { job, turn: turn.number, step };
                    let doubts = (0..).zip(&table.tasks).filter(|(_, t)| t.stage == Stage::Doubt);
                    tasks.extend(doubts.map(|(index, _)| TaskRef { at, index }));
                }
            }
        }
        tracing::info!(
            epoch = self.epoch,
            tasks = tasks.len(),
            jobs = self.jobs.len(),
            "shard: take-over settled"
        );
        for task in tasks {
            self.requeue(task, self.now);
        }
    }
}
