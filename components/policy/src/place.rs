//! Placement of a task on a worker.

use rand::Rng;

/// How to choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The less loaded of two at random.
    TwoChoices,
    /// The least loaded of all.
    LeastLoaded,
    /// Any at random.
    Random,
}

/// A worker that may take a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Tasks that are thought to run there.
    pub load: u32,
    /// Tasks that it runs at once.
    pub slots: u32,
    /// True if it is in the zone where the request has just failed.
    pub avoid: bool,
}

impl Candidate {
    const fn has_room(self) -> bool {
        self.load < self.slots
    }

    fn key(self) -> (bool, u64) {
        (
            self.avoid,
            u64::from(self.load) * 1000 / u64::from(self.slots.max(1)),
        )
    }
}

/// Chooses a worker with room; yields its index.
pub fn choose(choice: Choice, workers: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    let open: Vec<usize> = (0..workers.len()).filter(|i| workers[*i].has_room()).collect();
    let any = |rng: &mut dyn rand::RngCore| open[rng.random_range(0..open.len())];
    if open.is_empty() {
        return None;
    }
    match choice {
        Choice::Random => Some(any(rng)),
        Choice::LeastLoaded => open.iter().copied().min_by_key(|i| workers[*i].key()),
        Choice::TwoChoices => {
            let (a, b) = (any(rng), any(rng));
            Some(if workers[b].key() < workers[a].key() { b } else { a })
        }
    }
}
