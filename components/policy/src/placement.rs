//! Placement of tasks on workers.

use rand::Rng;

/// Strategy for choosing a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementStrategy {
    /// The less loaded of two workers chosen at random.
    TwoChoices,
    /// The least loaded worker.
    LeastLoaded,
    /// A worker chosen at random.
    Random,
}

/// A worker that may take a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Estimated number of running tasks.
    pub load: u32,
    /// Number of tasks that it can run at the same time.
    pub slots: u32,
    /// Closest earlier failure of the request.
    pub prior_failure: PriorFailure,
}

/// Closest earlier failure of a request, relative to a worker; workers with lower values are preferred.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PriorFailure {
    /// No failure, or only in other zones.
    #[default]
    Elsewhere,
    /// The request has failed in the zone of the worker.
    Zone,
    /// The request has failed on the worker.
    Worker,
}

impl Candidate {
    const fn has_free_slot(self) -> bool {
        self.load < self.slots
    }

    /// Running tasks per slot, in thousandths.
    fn utilization(self) -> u64 {
        u64::from(self.load) * 1000 / u64::from(self.slots.max(1))
    }
}

/// Chooses one of the workers that have a free slot and the lowest `prior_failure`; returns its index.
pub fn choose_worker(
    strategy: PlacementStrategy,
    workers: &[Candidate],
    rng: &mut impl Rng,
) -> Option<usize> {
    let best = workers.iter().filter(|w| w.has_free_slot()).map(|w| w.prior_failure).min()?;
    let eligible: Vec<usize> = (0..workers.len())
        .filter(|i| workers[*i].has_free_slot() && workers[*i].prior_failure == best)
        .collect();
    let pick = |rng: &mut dyn rand::RngCore| eligible[rng.random_range(0..eligible.len())];
    match strategy {
        PlacementStrategy::Random => Some(pick(rng)),
        PlacementStrategy::LeastLoaded => eligible.iter().copied().min_by_key(|i| workers[*i].utilization()),
        PlacementStrategy::TwoChoices => {
            let (a, b) = (pick(rng), pick(rng));
            Some(if workers[b].utilization() < workers[a].utilization() { b } else { a })
        }
    }
}
