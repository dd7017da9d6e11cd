//! Order in which steps are scheduled.

use overload::Class;

use crate::Ms;
use crate::job::{Job, JobKey, Occurrence, Step, StepRef, TaskRef};
use crate::millis::{to_float, to_ms};
use crate::model::JobSpec;
use crate::overload::Places;
use crate::state::Shard;

/// Multiple of its objective up to which a late job still has value.
const LATE_FACTOR: f64 = 3.0;
/// Added to the key of a job without a place while a pool is short; above any job's size.
const UNPLACED: Ms = 1 << 61;
/// Added to the key of a job whose customer uses more than its share while the pool is short; above any job's size.
const BEYOND: Ms = 1 << 62;
/// Weight of the newest task in the moving average of durations.
const DURATION_WEIGHT: f64 = 0.05;

/// First key of the scheduling order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// Long-running tasks that reserve capacity.
    LongRunning,
    /// Jobs that can still meet their objective.
    OnTime,
    /// Jobs that do not fit with the others while their pool is short.
    Deferred,
    /// Late jobs that still have value.
    Late,
    /// Jobs too late to have any value.
    Expired,
}

/// Sort key of a step: rank, priority of the queue, then deadline or time of acceptance.
pub(crate) type RankKey = (Rank, u32, Ms);

/// Key of the occurrence that was ranked last. A key takes time in proportion to the job's steps, and the steps of an
/// occurrence follow each other, so it is computed once for all of them.
#[derive(Debug, Default)]
pub(crate) struct LastRank(Option<(JobKey, u32, RankKey)>);

/// Times by which a job is ranked, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    /// End of the objective.
    pub due: f64,
    /// When a late result loses its value.
    pub late_limit: f64,
    /// Expected length of the rest of the critical path.
    pub remaining: f64,
}

impl Shard {
    /// Steps with tasks to start, in scheduling order.
    pub(crate) fn ranked_steps(&mut self) -> Vec<StepRef> {
        self.triage_waiting();
        let places = self.overload.places();
        let mut last = LastRank::default();
        let mut steps: Vec<(RankKey, StepRef)> = self
            .ready_steps
            .iter()
            .filter_map(|&step_ref| {
                Some((self.rank(self.jobs.get(&step_ref.job)?, step_ref, &mut last), step_ref))
            })
            .map(|(rank, step_ref)| (adjust(rank, step_ref, places), step_ref))
            .collect();
        steps.sort_unstable();
        steps.into_iter().map(|(_, step_ref)| step_ref).collect()
    }

    /// Key of a step, which is that of its occurrence unless it is long-running.
    pub(crate) fn rank(&self, job: &Job, step_ref: StepRef, last: &mut LastRank) -> RankKey {
        let spec = &job.spec;
        if spec.steps.get(step_ref.step as usize).is_some_and(|s| s.long_running && !s.best_effort) {
            return (Rank::LongRunning, spec.priority, job.queued_since);
        }
        match last.0 {
            Some((key, number, rank)) if (key, number) == (step_ref.job, step_ref.occurrence) => rank,
            _ => {
                let rank = self.occurrence_rank(job, step_ref.occurrence);
                last.0 = Some((step_ref.job, step_ref.occurrence, rank));
                rank
            }
        }
    }

    fn occurrence_rank(&self, job: &Job, number: u32) -> RankKey {
        let spec = &job.spec;
        let times = self.times(spec, job.queued_since, job.occurrence(number));
        let end = to_float(self.now) + times.remaining;
        let rank = if end <= times.due {
            Rank::OnTime
        } else if end <= times.late_limit {
            Rank::Late
        } else {
            Rank::Expired
        };
        (rank, spec.priority, to_ms(times.due))
    }

    /// Times by which a job, or an occurrence of it, is ranked.
    pub(crate) fn times(&self, spec: &JobSpec, queued_since: Ms, occurrence: Option<&Occurrence>) -> Times {
        let start = to_float(occurrence.filter(|_| spec.repeat.is_some()).map_or(queued_since, |o| o.due_at));
        let (total, remaining) = self.critical_paths(spec, occurrence);
        let objective = total * spec.stretch + to_float(spec.target);
        Times { due: start + objective, late_limit: start + objective * LATE_FACTOR, remaining }
    }

    /// Expected lengths of the critical path in milliseconds: of the whole job, and without the completed steps of
    /// `occurrence`. Called for each waiting occurrence in each pass, so both are computed in one go.
    fn critical_paths(&self, spec: &JobSpec, occurrence: Option<&Occurrence>) -> (f64, f64) {
        let average = self.average_durations.get(&spec.queue).copied();
        let mut ends: Vec<(f64, f64)> = Vec::with_capacity(spec.steps.len());
        for (n, step) in spec.steps.iter().enumerate() {
            let done = occurrence.and_then(|o| o.steps.get(n)).is_some_and(Step::complete);
            let before = step.depends_on.iter().filter_map(|&a| ends.get(a as usize));
            let (total, remaining) = before.copied().fold((0.0, 0.0), later);
            let duration = expected_duration(average, step.estimate);
            ends.push((total + duration, if done { remaining } else { remaining + duration }));
        }
        ends.into_iter().fold((0.0, 0.0), later)
    }

    /// Expected work of a job's tasks that end, in thousandths of a core times milliseconds.
    pub(crate) fn expected_work(&self, spec: &JobSpec) -> f64 {
        let average = self.average_durations.get(&spec.queue).copied();
        let ending = spec.steps.iter().filter(|s| !s.long_running && !s.best_effort);
        ending.map(|s| to_float(s.cpu) * f64::from(s.count) * expected_duration(average, s.estimate)).sum()
    }

    /// Adds the duration of a completed task to its queue's average.
    pub(crate) fn record_duration(&mut self, task: &TaskRef, planned_at: Ms) {
        let Some(job) = self.jobs.get(&task.step_ref.job) else { return };
        let took = to_float(self.now.saturating_sub(planned_at));
        match self.average_durations.get_mut(&job.spec.queue) {
            Some(average) => *average += (took - *average) * DURATION_WEIGHT,
            None => drop(self.average_durations.insert(job.spec.queue.clone(), took)),
        }
    }
}

/// Key of a step while a pool is short. Of the jobs that are kept, those that have started come first, then the small
/// ones; jobs that wait until they are due would miss their objectives when an estimate is wrong. Jobs that have no
/// place, as they are newer than the last triage or of another service, follow by objective, and then deferred jobs.
fn adjust((rank, priority, due): (Rank, u32, Ms), step_ref: StepRef, places: &Places) -> (Rank, u32, Ms) {
    if places.is_empty() || rank != Rank::OnTime {
        return (rank, priority, due);
    }
    let Some(place) = places.get(&(step_ref.job, step_ref.occurrence)) else {
        return (rank, priority, due.saturating_add(UNPLACED));
    };
    let size = if place.held { 0 } else { to_ms(place.size) };
    let key = if place.beyond { size.saturating_add(BEYOND) } else { size };
    let rank = if place.class == Class::Deferred { Rank::Deferred } else { rank };
    (rank, priority, key)
}

/// Expected duration of a task in milliseconds. Callers' estimates are far off, so this is the geometric mean of the
/// estimate and the queue's average duration, in which the average counts twice.
pub(crate) fn expected_duration(average: Option<f64>, estimate: Ms) -> f64 {
    let estimate = to_float(estimate).max(1.0);
    average.map_or(estimate, |t| (t * t * estimate).cbrt())
}

/// The later end of each of two pairs.
const fn later(a: (f64, f64), b: (f64, f64)) -> (f64, f64) {
    (a.0.max(b.0), a.1.max(b.1))
}
