//! Odds of copies: what became of earlier ones, and whether another one pays.
//!
//! Answers a load in which some tasks take 7 times as long as their siblings on any worker: a copy of such a task takes
//! as long as its first run, and loses. On one trial day 169 of 170 copies that started for their run's pace lost. The
//! record is kept by queue and [`Kind`] in the owner's memory, and starts empty under a new owner.

use std::collections::HashMap;

use crate::Ms;
use crate::copies::Slowness;
use crate::second_run::CopyOutcome;

/// Copies that the prior counts as won, and as many as lost. With half a copy each, at most 4 copies start before the
/// first outcome is known, as each one in progress counts as lost.
const PRIOR: f64 = 0.5;
/// Weight that a record keeps with each new outcome: it covers 8 copies, so that one win after many losses lifts the
/// odds to a sixth, enough for runs that are 7 times too long.
const DECAY: f64 = 7.0 / 8.0;
/// Odds below which no copy starts, however much it would save. An eighth is above the 1 in 18 to which odds fall if all
/// copies lose, so that each record can say no.
const MIN_ODDS: f64 = 0.125;
/// Of the candidates that a record turns down, one in this many gets a copy, so that a change is learned.
pub(crate) const PROBE_INTERVAL: u32 = 16;
/// Polls of a worker without an answer, from which its overdue runs may get copies. One may be lost or late.
const SILENT_POLLS: Ms = 2;
/// A silent run gets no copy while more than one in this many of its service's workers with runs are silent: the owner
/// itself may be cut off.
const SILENT_DIVISOR: usize = 5;

/// What a copy starts for. Each kind has its own odds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Kind {
    /// The run's pace.
    Pace,
    /// The run's pace, on a worker that counts as slow.
    SlowWorker,
    /// A worker that reports nothing.
    Silent,
}

impl Kind {
    pub(crate) const fn new(slowness: Slowness, slow_worker: bool) -> Self {
        match (slowness, slow_worker) {
            (Slowness::Pace(_), false) => Self::Pace,
            (Slowness::Pace(_), true) => Self::SlowWorker,
            (Slowness::Silent, _) => Self::Silent,
        }
    }
}

/// Durations that a copy is weighed by, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stake {
    /// Of a fresh run: what the copy costs.
    pub fresh: f64,
    /// Remaining time of the first run.
    pub left: f64,
}

impl Stake {
    /// Odds from which the copy pays; none if it would not pay even if it were certain to win.
    pub(crate) fn least_odds(self) -> Option<f64> {
        let saved = self.left - self.fresh;
        (saved >= self.fresh).then(|| (self.fresh / saved).max(MIN_ODDS))
    }
}

/// Whether a copy pays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Advice {
    /// The expected gain covers the cost.
    Start,
    /// It does not, but the candidate is the one in [`PROBE_INTERVAL`] that starts nevertheless.
    Probe,
    /// The record is against it.
    TurnDown,
    /// It would cost more than a win saves.
    Unprofitable,
}

/// Outcomes of the copies of one queue and kind; later ones count more.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Tally {
    pub won: f64,
    pub lost: f64,
    /// Candidates turned down since the last probe.
    pub declined: u32,
}

impl Tally {
    /// Adds an outcome that tells something of the odds.
    pub(crate) fn note(&mut self, outcome: CopyOutcome) {
        let (won, lost) = match outcome {
            CopyOutcome::Won | CopyOutcome::Replaced => (1.0, 0.0),
            CopyOutcome::Lost => (0.0, 1.0),
            CopyOutcome::Started | CopyOutcome::Dropped | CopyOutcome::JobEnded => return,
        };
        (self.won, self.lost) = (self.won * DECAY + won, self.lost * DECAY + lost);
    }

    /// Probability that a copy wins. Copies in progress count as lost, as losers take longest to tell.
    pub(crate) fn odds(&self, open: u32) -> f64 {
        (self.won + PRIOR) / (self.won + self.lost + f64::from(open) + 2.0 * PRIOR)
    }

    /// Advises on a copy while `open` others are in progress. A candidate that was `declined` before is no probe.
    pub(crate) fn advise(&self, stake: Stake, open: u32, declined: bool) -> Advice {
        match stake.least_odds() {
            None => Advice::Unprofitable,
            Some(least) if self.odds(open) >= least => Advice::Start,
            Some(_) if !declined && self.declined + 1 >= PROBE_INTERVAL => Advice::Probe,
            Some(_) => Advice::TurnDown,
        }
    }
}

/// Records of all queues.
#[derive(Debug, Default)]
pub(crate) struct CopyOdds(HashMap<String, HashMap<Kind, Tally>>);

impl CopyOdds {
    /// Record of a queue and kind.
    pub(crate) fn tally(&self, queue: &str, kind: Kind) -> Tally {
        self.0.get(queue).and_then(|q| q.get(&kind)).copied().unwrap_or_default()
    }

    /// The same, to be changed.
    pub(crate) fn tally_mut(&mut self, queue: &str, kind: Kind) -> &mut Tally {
        if !self.0.contains_key(queue) {
            self.0.insert(queue.to_owned(), HashMap::new());
        }
        self.0.entry(queue.to_owned()).or_default().entry(kind).or_default()
    }
}

/// Times of the last answers of a service's workers.
#[derive(Debug, Default)]
pub(crate) struct Answers {
    /// Of workers with runs.
    busy: Vec<Ms>,
    /// Of all workers.
    all: Vec<Ms>,
}

impl Answers {
    /// Notes when a worker last answered.
    pub(crate) fn note(&mut self, at: Ms, has_runs: bool) {
        self.all.push(at);
        if has_runs {
            self.busy.push(at);
        }
    }

    /// Whether a worker that last answered at `answered`, with polls of `poll` milliseconds, is silent while others are
    /// not. If the owner was cut off, no worker has answered for more than a poll after this one did.
    pub(crate) fn only_worker_silent(&self, now: Ms, answered: Ms, poll: Ms) -> bool {
        now >= answered + SILENT_POLLS * poll && self.hears_others(answered + poll)
    }

    /// Whether so few workers are silent that silence tells of the workers and not of the owner. Those that have not
    /// answered after `since` count as silent. Among fewer than [`SILENT_DIVISOR`] workers with runs one silent worker
    /// is too many, so all workers are counted then.
    fn hears_others(&self, since: Ms) -> bool {
        let counted = if self.busy.len() < SILENT_DIVISOR { &self.all } else { &self.busy };
        counted.iter().filter(|at| **at <= since).count() * SILENT_DIVISOR <= counted.len()
    }
}

#[cfg(test)]
#[path = "../tests/units/copy_odds.rs"]
mod tests;
