//! Choice of the jobs that can end in time together.
//!
//! A Moore-Hodgson pass: jobs are taken in the order in which they would run, and when one would end too late, the
//! job whose delay costs least is deferred until it fits. Priorities come first: a job competes only with jobs of its
//! priority for what the more urgent ones leave. The pass runs in O(n log n), plus the number of customers for each
//! deferred job.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::share::fair_level;
use crate::{Candidate, Pool, Shares};

/// Factor on the chain of a job that has not started while the pool is short. Estimates are off by up to 2 either way;
/// a job that starts at the last moment misses its objective in half of the cases.
const SHORT_MARGIN: f64 = 1.25;

/// What becomes of a job in a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Can end in time together with the others that are kept.
    Kept,
    /// Does not fit with the others; runs in what they leave.
    Deferred,
    /// Cannot end in time any more, but still has value.
    Late,
    /// Has no value any more.
    Expired,
}

/// Result of a pass.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Triage {
    /// Class of each candidate.
    pub classes: Vec<Class>,
    /// Size of the largest kept job of the lowest priority at which a job was deferred, and that priority.
    pub limit: Option<(u32, f64)>,
    /// Fair level of the customers' running and waiting work, in thousandths of a core for a weight of 1.
    pub level: f64,
}

impl Triage {
    /// Whether a job is deferred.
    #[must_use]
    pub fn short(&self) -> bool {
        self.classes.contains(&Class::Deferred)
    }
}

/// Sorts the candidates into classes. While all that can end in time fit together, none is deferred.
#[must_use]
pub fn triage(now: f64, pool: &Pool, candidates: &[Candidate], shares: &Shares) -> Triage {
    let classes: Vec<Class> = candidates.iter().map(|c| class_alone(now, c)).collect();
    let mut order: Vec<usize> = (0..candidates.len()).filter(|&i| classes[i] == Class::Kept).collect();
    let rank = |i: usize| (candidates[i].priority, candidates[i].due);
    order.sort_unstable_by(|&a, &b| {
        let ((pa, da), (pb, db)) = (rank(a), rank(b));
        pa.cmp(&pb).then(da.total_cmp(&db)).then(a.cmp(&b))
    });
    let level = level(now, pool, candidates, &order, shares);
    let pass = Pass { now, pool, candidates, shares, level };
    let mut result = Triage { classes, limit: None, level };
    if pass.deferred(&order, 1.0).is_empty() {
        return result;
    }
    for i in pass.deferred(&order, SHORT_MARGIN) {
        result.classes[i] = Class::Deferred;
    }
    let last = order
        .iter()
        .filter(|i| result.classes[**i] == Class::Deferred)
        .map(|i| candidates[*i].priority)
        .max();
    result.limit = last.map(|priority| {
        let kept = order.iter().filter(|i| result.classes[**i] == Class::Kept).map(|i| &candidates[*i]);
        (priority, kept.filter(|c| c.priority == priority).map(|c| c.size).fold(0.0, f64::max))
    });
    result
}

/// Class of a job that has the pool for itself.
fn class_alone(now: f64, job: &Candidate) -> Class {
    let end = now + job.chain_ms;
    if end > job.late_limit.max(job.due) {
        Class::Expired
    } else if end > job.due {
        Class::Late
    } else {
        Class::Kept
    }
}

/// Fair level over the time in which the candidates are due: twice the mean of their slack by work. What customers
/// use now is taken as what they go on using, as most of it will be replaced by jobs that have not arrived.
fn level(now: f64, pool: &Pool, candidates: &[Candidate], order: &[usize], shares: &Shares) -> f64 {
    let mut waiting = vec![0.0; shares.running.len()];
    let (mut work, mut slack) = (0.0, 0.0);
    for job in order.iter().map(|&i| &candidates[i]) {
        if let Some(sum) = waiting.get_mut(job.customer) {
            *sum += job.work;
        }
        work += job.work;
        slack += job.work * (job.due - now);
    }
    if work <= 0.0 || slack <= 0.0 {
        return f64::INFINITY;
    }
    let horizon = 2.0 * slack / work;
    let demands: Vec<f64> =
        waiting.iter().zip(&shares.running).map(|(work, running)| running + work / horizon).collect();
    fair_level(pool.capacity, shares, &demands)
}

/// Inputs of a pass.
struct Pass<'a> {
    now: f64,
    pool: &'a Pool,
    candidates: &'a [Candidate],
    shares: &'a Shares,
    level: f64,
}

/// Kept jobs of one priority by customer, those to defer first on top.
#[derive(Default)]
struct Group {
    free: BinaryHeap<Entry>,
    held: BinaryHeap<Entry>,
    /// Work of the kept jobs of all priorities so far.
    work: f64,
}

impl Pass<'_> {
    /// Jobs that do not fit, out of those in `order`, if each that has not started needs `margin` times its
    /// chain.
    fn deferred(&self, order: &[usize], margin: f64) -> Vec<usize> {
        let customers = order.iter().map(|&i| self.candidates[i].customer + 1).max().unwrap_or(0);
        let mut groups: Vec<Group> = (0..customers).map(|_| Group::default()).collect();
        let mut deferred = Vec::new();
        let (mut work, mut priority) = (0.0, None);
        for &index in order {
            let job = &self.candidates[index];
            if priority != Some(job.priority) {
                priority = Some(job.priority);
                for group in &mut groups {
                    group.free.clear();
                    group.held.clear();
                }
            }
            let group = &mut groups[job.customer];
            let entry = Entry { size: job.size, due: job.due, index };
            if job.held {
                group.held.push(entry);
            } else {
                group.free.push(entry);
            }
            group.work += job.work;
            work += job.work;
            let chain_ms = if job.held { job.chain_ms } else { job.chain_ms * margin };
            let latest = job.due - self.now - chain_ms;
            while self.pool.wait(work - job.work) > latest {
                let Some(victim) = self.take_least(&mut groups, latest) else { break };
                work -= self.candidates[victim].work;
                deferred.push(victim);
                if victim == index {
                    break;
                }
            }
        }
        deferred
    }

    /// Takes the job whose delay costs least: none that is held as long as there are others, first of the customer
    /// farthest beyond its share of what can start within `span` milliseconds, else the largest.
    fn take_least(&self, groups: &mut [Group], span: f64) -> Option<usize> {
        let held = groups.iter().all(|g| g.free.is_empty());
        let heap = |g: &Group| if held { g.held.peek().copied() } else { g.free.peek().copied() };
        let mut best: Option<(f64, Entry, usize)> = None;
        for (customer, group) in groups.iter().enumerate() {
            let Some(entry) = heap(group) else { continue };
            let excess = self.excess(customer, group.work, span);
            let after = |b: &(f64, Entry, usize)| excess.total_cmp(&b.0).then(entry.cmp(&b.1)).is_gt();
            if best.as_ref().is_none_or(after) {
                best = Some((excess, entry, customer));
            }
        }
        let (_, entry, customer) = best?;
        let group = &mut groups[customer];
        if held {
            group.held.pop()
        } else {
            group.free.pop()
        };
        group.work -= self.candidates[entry.index].work;
        Some(entry.index)
    }

    /// Work of a customer beyond its share of what can start within `span` milliseconds, for a weight of 1.
    fn excess(&self, customer: usize, work: f64, span: f64) -> f64 {
        if self.level.is_infinite() {
            return 0.0;
        }
        let weight = self.shares.weight(customer);
        let share = self.level * weight;
        let running = self.shares.running.get(customer).copied().unwrap_or(0.0);
        // Its part of what the pool starts, and of the room that it has not taken yet.
        let startable = share * span.max(0.0) + (share - running) * self.pool.task_ms;
        ((work - startable) / weight).max(0.0)
    }
}

/// A kept job; the greatest is the first to defer: the largest, then the one that is due last.
#[derive(Clone, Copy)]
struct Entry {
    size: f64,
    due: f64,
    index: usize,
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_size = self.size.total_cmp(&other.size).then(self.due.total_cmp(&other.due));
        by_size.then(self.index.cmp(&other.index))
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Entry {}
