//! Placement of tasks on workers.

use crate::binding::Binding;
use crate::candidates::Pass;
use crate::job::{StepRef, TaskRef, TaskState};
use crate::model::{Resources, StepSpec, Verdict};
use crate::state::{QuotaShortage, Shard};
use crate::worker::{RunPhase, WorkerKey};

/// Run numbers set aside for each epoch: an owner starts numbering at the distance between its epoch and the
/// job's, times this, so that its runs come after those of earlier owners.
const RUNS_PER_EPOCH: u64 = 16;
/// Most runs on one worker. One record of the log lists them all, at up to 50 bytes each of the 262,144 that a record
/// may have.
const MAX_RUNS_PER_WORKER: usize = 4_000;
/// Most workers that a pass keeps free for steps that lack capacity.
const MAX_RESERVED_WORKERS: usize = 24;

/// Cost of a worker for a task, the most significant part first: the task failed there, other rack than
/// preferred, due for maintenance, runs that interfere, free processor time.
type Cost = (bool, bool, bool, u64, u64);

/// Result of placing one task.
enum Placement {
    Placed,
    NoCapacity,
    /// Only the customer's quota keeps the task from starting.
    OverQuota,
    /// The quota is too small, and more of it would not start the task.
    Unplaceable,
    /// The only worker that may take it, for some seconds, cannot do so now.
    Held,
}

impl Shard {
    /// Places waiting tasks, in scheduling order. Returns the state of the pass, if there was one.
    pub(crate) fn place_tasks(&mut self) -> Option<Pass> {
        if self.ready_steps.is_empty() {
            return None;
        }
        let mut pass = self.placement_pass();
        for step_ref in self.ranked_steps() {
            if self.may_fit(step_ref, &pass) {
                self.place_step(step_ref, &mut pass);
            }
        }
        Some(pass)
    }

    /// Workers that can take tasks now.
    pub(crate) fn placement_pass(&self) -> Pass {
        let mut pass = Pass::default();
        for (key, worker) in self.workers.iter() {
            if worker.schedulable(self.now) && !self.zones_out.contains(&worker.info.zone) {
                pass.add(key, worker);
            }
        }
        pass
    }

    /// False for a step whose tasks no worker could take, or that lacks room as steps before it did. Such steps keep
    /// no others waiting and cost no scan of the workers.
    fn may_fit(&self, step_ref: StepRef, pass: &Pass) -> bool {
        let Some(job) = self.jobs.get(&step_ref.job) else { return true };
        let Some(spec) = job.spec.steps.get(step_ref.step as usize) else { return true };
        let Some(candidates) = pass.candidates(&job.spec.service) else { return false };
        let has_label = |key: WorkerKey| self.workers[key].info.labels.contains(&spec.label);
        candidates.may_fit(&spec.reservation())
            && (spec.label.is_empty() || candidates.emptiest().any(has_label))
    }

    /// Places the waiting tasks of a step.
    fn place_step(&mut self, step_ref: StepRef, pass: &mut Pass) {
        let Some(job) = self.jobs.get(&step_ref.job).filter(|j| j.verdict == Verdict::Open) else {
            self.ready_steps.remove(&step_ref);
            return;
        };
        let Some(spec) = job.spec.steps.get(step_ref.step as usize).cloned() else { return };
        let Some(step) =
            job.occurrence(step_ref.occurrence).and_then(|o| o.steps.get(step_ref.step as usize))
        else {
            return;
        };
        if step.waiting_count == 0 {
            self.ready_steps.remove(&step_ref);
            return;
        }
        let tasks: Vec<u32> = (0..)
            .zip(&step.tasks)
            .filter(|(_, t)| t.state == TaskState::Waiting && t.not_before <= self.now)
            .map(|(i, _)| i)
            .collect();
        if spec.gang {
            self.place_gang(step_ref, &spec, &tasks, pass);
            return;
        }
        for index in tasks {
            match self.place_task(TaskRef { step_ref, index }, &spec, pass) {
                Placement::Placed | Placement::Held => {}
                Placement::OverQuota => {
                    self.note_quota_shortage(step_ref, spec.charge());
                    return;
                }
                Placement::Unplaceable => return,
                Placement::NoCapacity => {
                    self.reserve_worker(step_ref, &spec, pass);
                    self.note_full(step_ref, &spec, pass);
                    return;
                }
            }
        }
    }

    /// Notes that no worker has room for tasks as large as those of a step that any worker could run.
    fn note_full(&self, step_ref: StepRef, spec: &StepSpec, pass: &mut Pass) {
        let Some(job) = self.jobs.get(&step_ref.job) else { return };
        self.note_short(step_ref, spec, pass);
        if spec.label.is_empty() && spec.max_colocated == 0 {
            pass.note_full(&job.spec.service, spec.reservation());
        }
    }

    /// Notes that a task of a service waits for room that present tasks occupy, so that no copies start there.
    fn note_short(&self, step_ref: StepRef, spec: &StepSpec, pass: &mut Pass) {
        let Some(job) = self.jobs.get(&step_ref.job) else { return };
        let Some(candidates) = pass.candidates(&job.spec.service) else { return };
        let waits_for = |k: WorkerKey| {
            spec.reservation().fits(&self.workers[k].capacity_in_time())
                && self.eligible(k, &step_ref, spec, &job.spec.service)
        };
        if !pass.is_short(&job.spec.service) && candidates.emptiest().any(waits_for) {
            pass.note_short(&job.spec.service);
        }
    }

    /// Places all tasks of a gang, or none.
    fn place_gang(&mut self, step_ref: StepRef, spec: &StepSpec, tasks: &[u32], pass: &mut Pass) {
        if tasks.len() < spec.count as usize {
            return;
        }
        let mut placed = Vec::new();
        for &index in tasks {
            let task = TaskRef { step_ref, index };
            match self.place_task(task, spec, pass) {
                Placement::Placed => placed.push(task),
                failure => {
                    if matches!(failure, Placement::OverQuota) {
                        self.note_quota_shortage(step_ref, spec.charge().times(u64::from(spec.count)));
                    } else if matches!(failure, Placement::NoCapacity) {
                        self.note_short(step_ref, spec, pass);
                    }
                    for task in placed {
                        if let Some(TaskState::Placed(key)) = self.task_state(&task) {
                            self.remove_run(key, &task);
                            self.requeue(task, self.now);
                            pass.refresh(key, &self.workers[key]);
                        }
                    }
                    return;
                }
            }
        }
        self.align_gang(&placed);
    }

    /// Gives all members of a gang the same run number and checkpoint, the highest of each.
    fn align_gang(&mut self, placed: &[TaskRef]) {
        let mut run = 0;
        let mut checkpoint = String::new();
        for task in placed {
            self.with_task(task, |t| {
                run = run.max(t.last_run);
                if t.checkpoint > checkpoint {
                    checkpoint.clone_from(&t.checkpoint);
                }
            });
        }
        for task in placed {
            self.with_task(task, |t| {
                t.last_run = run;
                t.checkpoint.clone_from(&checkpoint);
            });
            if let Some(TaskState::Placed(key)) = self.task_state(task)
                && let Some(entry) = self.workers[key].runs.get_mut(task)
            {
                entry.number = run;
            }
        }
    }

    fn place_task(&mut self, task: TaskRef, spec: &StepSpec, pass: &mut Pass) -> Placement {
        if !self.within_quota(&task, spec) {
            return self.classify_quota_shortage(&task, spec, pass);
        }
        match self.binding(&task) {
            Binding::Free => {}
            Binding::To(key) | Binding::Preferred(key) if self.has_room(key, &task, spec, pass) => {
                self.plan_run(task, key);
                pass.refresh(key, &self.workers[key]);
                return Placement::Placed;
            }
            Binding::Preferred(_) => {}
            Binding::To(_) | Binding::Held => return Placement::Held,
        }
        match self.choose_candidate(&task, spec, pass) {
            Some(key) => {
                debug_assert_eq!(
                    Some(key),
                    self.choose_worker(&task, spec, Some(pass)),
                    "as without the index"
                );
                self.plan_run(task, key);
                pass.refresh(key, &self.workers[key]);
                Placement::Placed
            }
            None => {
                debug_assert_eq!(None, self.choose_worker(&task, spec, Some(pass)), "as without the index");
                Placement::NoCapacity
            }
        }
    }

    /// Whether a schedulable worker can take a task now.
    fn has_room(&self, key: WorkerKey, task: &TaskRef, spec: &StepSpec, pass: &Pass) -> bool {
        let service = self.jobs.get(&task.step_ref.job).map(|j| j.spec.service.as_str());
        service.is_some_and(|s| self.eligible(key, &task.step_ref, spec, s))
            && spec.reservation().fits(&self.workers[key].available())
            && !pass.reserved.contains(&key)
            && !self.probe_in_progress(key)
    }

    /// Whether more quota would start a task. Looks for a worker only until a shortage of the customer is known.
    fn classify_quota_shortage(&self, task: &TaskRef, spec: &StepSpec, pass: &Pass) -> Placement {
        let Some(job) = self.jobs.get(&task.step_ref.job) else { return Placement::Unplaceable };
        let allowed = self.limits.get(&job.spec.tenant).is_none_or(|limit| spec.charge().fits(limit));
        let shortage = self.quota_shortages.get(&job.spec.tenant);
        let known = shortage.is_some_and(|s| s.least.cpu <= spec.cpu);
        if allowed && (known || self.choose_candidate(task, spec, pass).is_some()) {
            Placement::OverQuota
        } else {
            Placement::Unplaceable
        }
    }

    /// Notes what a customer's tasks need that only quota keeps from starting.
    fn note_quota_shortage(&mut self, step_ref: StepRef, needed: Resources) {
        let Some(job) = self.jobs.get(&step_ref.job) else { return };
        let shortage = self
            .quota_shortages
            .entry(job.spec.tenant.clone())
            .or_insert(QuotaShortage { first: needed, least: needed });
        if (needed.cpu, needed.mem) < (shortage.least.cpu, shortage.least.mem) {
            shortage.least = needed;
        }
    }

    pub(crate) fn within_quota(&self, task: &TaskRef, spec: &StepSpec) -> bool {
        let Some(job) = self.jobs.get(&task.step_ref.job) else { return false };
        let tenant = &job.spec.tenant;
        if tenant.is_empty() {
            return true;
        }
        let Some(quotas) = self.quotas.get(tenant) else { return false };
        let charged = self.quota_used.get(tenant).copied().unwrap_or_default();
        (charged + spec.charge()).fits(quotas)
    }

    /// Returns the worker with the lowest cost that has capacity for a task, out of the candidates of a pass.
    fn choose_candidate(&self, task: &TaskRef, spec: &StepSpec, pass: &Pass) -> Option<WorkerKey> {
        if spec.long_running || spec.best_effort || spec.latency_target > 0 {
            return self.choose_worker(task, spec, Some(pass));
        }
        let job = self.jobs.get(&task.step_ref.job)?;
        let avoided = &self.task(task)?.avoided_workers;
        let candidates = pass.candidates(&job.spec.service)?;
        let reservation = spec.reservation();
        let suits = |key: &WorkerKey| {
            !pass.reserved.contains(key)
                && reservation.fits(&self.workers[*key].available())
                && self.eligible(*key, &task.step_ref, spec, &job.spec.service)
                && !self.probe_in_progress(*key)
        };
        let in_rack = || candidates.tightest_in_rack(&spec.preferred_rack, reservation.cpu);
        let anywhere = || candidates.tightest(reservation.cpu);
        let first = in_rack().find(|k| !avoided.contains(k) && suits(k));
        let first = first.or_else(|| anywhere().find(|k| !avoided.contains(k) && suits(k)));
        if first.is_some() || avoided.is_empty() {
            return first;
        }
        in_rack().find(suits).or_else(|| anywhere().find(suits))
    }

    /// Returns the worker with the lowest cost that has capacity for a task.
    pub(crate) fn choose_worker(
        &self,
        task: &TaskRef,
        spec: &StepSpec,
        pass: Option<&Pass>,
    ) -> Option<WorkerKey> {
        let job = self.jobs.get(&task.step_ref.job)?;
        let entry = self.task(task)?;
        let reservation = spec.reservation();
        let mut best: Option<(Cost, WorkerKey)> = None;
        for (key, worker) in self.workers.iter() {
            if !worker.schedulable(self.now)
                || !reservation.fits(&worker.available())
                || pass.is_some_and(|p| p.reserved.contains(&key))
            {
                continue;
            }
            if !self.eligible(key, &task.step_ref, spec, &job.spec.service) || self.probe_in_progress(key) {
                continue;
            }
            let avoided = entry.avoided_workers.contains(&key);
            let other_rack = !spec.preferred_rack.is_empty() && worker.rack != spec.preferred_rack;
            // A long-running task would soon have to move again.
            let due = spec.long_running && worker.maintenance_due;
            // Tasks are bin-packed, so that whole machines stay free for other pools.
            let interference = if spec.best_effort {
                worker.runs.values().filter(|r| r.latency_target > 0).count() as u64
            } else if spec.latency_target > 0 {
                worker.runs.values().filter(|r| r.best_effort).count() as u64
            } else {
                0
            };
            let cost = (avoided, other_rack, due, interference, worker.available().cpu);
            if best.as_ref().is_none_or(|(c, _)| cost < *c) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Whether constraints other than capacity allow a further task of the step on a worker.
    pub(crate) fn eligible(
        &self,
        key: WorkerKey,
        step_ref: &StepRef,
        spec: &StepSpec,
        service: &str,
    ) -> bool {
        let worker = &self.workers[key];
        if !self.suitable(key, spec, service) || worker.runs.len() >= MAX_RUNS_PER_WORKER {
            return false;
        }
        spec.max_colocated == 0
            || worker.runs.keys().filter(|t| t.step_ref == *step_ref).count() < spec.max_colocated as usize
    }

    /// Whether a worker is of the kind and in a place where tasks of the step may run.
    pub(crate) fn suitable(&self, key: WorkerKey, spec: &StepSpec, service: &str) -> bool {
        let info = &self.workers[key].info;
        info.service == service
            && !self.zones_out.contains(&info.zone)
            && (spec.label.is_empty() || info.labels.contains(&spec.label))
    }

    /// Whether a worker that failed recently has a start pending. It gets one start at a time until a task
    /// completes.
    pub(crate) fn probe_in_progress(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        worker.failure_streak >= 2
            && worker.runs.values().any(|r| matches!(r.phase, RunPhase::Planned | RunPhase::Sent))
    }

    /// Reserves the worker with the most free capacity that could run the step once its present tasks have ended, for
    /// the rest of the pass. Half of the workers stay open to other steps.
    fn reserve_worker(&self, step_ref: StepRef, spec: &StepSpec, pass: &mut Pass) {
        let Some(job) = self.jobs.get(&step_ref.job) else { return };
        let Some(candidates) = pass.candidates(&job.spec.service) else { return };
        if pass.reserved.len() >= MAX_RESERVED_WORKERS.min(candidates.len().div_ceil(2)) {
            return;
        }
        let best = candidates.emptiest().find(|k| {
            spec.reservation().fits(&self.workers[*k].capacity_in_time())
                && !pass.reserved.contains(k)
                && self.eligible(*k, &step_ref, spec, &job.spec.service)
        });
        pass.reserved.extend(best);
    }

    /// Plans a run. Its start request is sent once the log has recorded it.
    fn plan_run(&mut self, task: TaskRef, key: WorkerKey) {
        if self.add_run(task, key).is_some() {
            self.set_task_state(&task, TaskState::Placed(key));
        }
    }

    /// Adds a planned run to a worker's table and returns its number.
    pub(crate) fn add_run(&mut self, task: TaskRef, key: WorkerKey) -> Option<u32> {
        let job = self.jobs.get(&task.step_ref.job)?;
        let base = (self.epoch.saturating_sub(job.spec.epoch)) * RUNS_PER_EPOCH;
        let first = u32::try_from(base + 1).unwrap_or(u32::MAX);
        let mut number = 0;
        self.with_task(&task, |t| {
            t.last_run = (t.last_run + 1).max(first);
            number = t.last_run;
        });
        let mut run = self.new_run(&task, number)?;
        run.phase = RunPhase::Planned;
        run.basis = Some((0, self.now));
        // A run of the task that is being stopped there; the worker's report names it again if it goes on.
        self.remove_run(key, &task);
        self.charge(&run);
        self.workers[key].insert_run(task, run);
        self.dirty_workers.insert(key);
        Some(number)
    }
}
