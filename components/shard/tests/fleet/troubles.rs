//! Troubles of the calls to the simulated workers, drawn from a seed, and what the platform's rules say of the runs that
//! follow.
//!
//! Without them a fleet carries each call out as its fields say. With them, workers keep to the platform's protocol in
//! what only late calls can show, and breaches are collected instead of ending the test.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shard::{Ms, RunEnd, RunOutcome, StartRequest, StopCause, TaskId};

/// Time in milliseconds after which the platform carries out a call that it left without an answer.
const LATE_MS: std::ops::RangeInclusive<Ms> = 2_000..=12_000;
/// Longest time that an answer is on its way, so that answers overtake each other.
const ANSWER_MS: Ms = 40;
/// Longest time that a stop takes: daemons repeat stops after twice that time, see `stop_interval` of the fleet's timing.
const STOP_MS: Ms = super::TIMING.stop_interval / 2;
/// Time out of service after which the platform counts a task as away for any cause: the shortest of its sites.
const NOTICE_MS: Ms = 4_500;

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Answered,
    /// Carried out after this time, without an answer.
    Late(Ms),
    /// Carried out at once, without an answer.
    Unanswered,
    Lost,
}

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Breach {
    /// Two runs of a task at a time.
    Twice,
    /// A start after an end `done` that was taken note of.
    StartAfterDone,
    /// A stop of a run at work beyond its step's budget.
    Budget,
    /// The same, where some of the other tasks went away shortly before.
    BudgetShortly,
    /// The same by a stop that was carried out late, which the platform allows.
    BudgetByLateStop,
    /// A job that has not completed in the end.
    Unfinished,
    /// A lasting task without its one run in the end.
    NotOnce,
}

#[derive(Clone, Debug)]
pub struct Violation {
    pub at: Ms,
    pub breach: Breach,
    pub task: String,
    pub detail: String,
}

/// One line of the trace.
#[derive(Clone, Debug)]
pub struct Line {
    pub at: Ms,
    pub worker: String,
    /// Task that it concerns; empty for all of the worker.
    pub task: String,
    pub text: String,
}

/// A run that was carried out.
#[derive(Clone, Debug)]
struct Begun {
    at: Ms,
    task: String,
    run: u32,
    worker: String,
    held_up: Ms,
    /// Life of the worker when the start was sent, and when it was carried out.
    lives: [u64; 2],
}

impl fmt::Display for Begun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [sent, present] = self.lives;
        write!(f, "run {} on {} from {}", self.run, self.worker, self.at)?;
        match (self.held_up, sent == present) {
            (0, _) => Ok(()),
            (late, true) => write!(f, " (held up {late})"),
            (late, false) => write!(f, " (held up {late}, life {present} instead of {sent})"),
        }
    }
}

#[derive(Debug)]
pub struct Troubles {
    seed: u64,
    /// Odds of [`Fate::Late`], [`Fate::Unanswered`] and [`Fate::Lost`], in percent.
    pub odds: [u32; 3],
    pub violations: Vec<Violation>,
    pub trace: Vec<Line>,
    /// Jobs whose tasks last, with the number of tasks.
    pub lasting: BTreeMap<String, u32>,
    /// Jobs that their caller cancelled.
    pub cancelled: HashSet<String>,
    begun: Vec<Begun>,
    /// Ends `done` that were taken note of: when they happened, and of which run.
    noted: Vec<(Ms, String, u32)>,
    /// When a task last had a run; none after a stop.
    served: HashMap<String, Ms>,
    /// Runs of tasks that had two runs at a time.
    doubles: HashSet<(String, Vec<u32>)>,
}

impl Troubles {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            odds: [0; 3],
            violations: Vec::new(),
            trace: Vec::new(),
            lasting: BTreeMap::new(),
            cancelled: HashSet::new(),
            begun: Vec::new(),
            noted: Vec::new(),
            served: HashMap::new(),
            doubles: HashSet::new(),
        }
    }

    /// Draws what becomes of a call, and for how long its answer is on its way; a call to a worker that is cut off can
    /// only be lost or late. The draw depends on the call alone, as the order of calls sent at one time varies.
    pub fn draw(&self, call: impl Hash, unreachable: bool) -> (Fate, Ms) {
        let mut source = self.source(call);
        let (draw, answer) = (source.random_range(0..100), source.random_range(0..=ANSWER_MS));
        let [late, unanswered, lost] = self.odds;
        let fate = match draw {
            _ if draw < late => Fate::Late(source.random_range(LATE_MS)),
            _ if unreachable => Fate::Lost,
            _ if draw < late + unanswered => Fate::Unanswered,
            _ if draw < late + unanswered + lost => Fate::Lost,
            _ => Fate::Answered,
        };
        (fate, answer)
    }

    /// Draws the time that a stop takes.
    pub fn stop_ms(&self, stop: impl Hash) -> Ms {
        self.source((stop, "takes")).random_range(0..=STOP_MS)
    }

    /// Source of the draws for a call.
    fn source(&self, call: impl Hash) -> StdRng {
        let mut hasher = DefaultHasher::new();
        (self.seed, call).hash(&mut hasher);
        StdRng::seed_from_u64(hasher.finish())
    }

    pub fn note(&mut self, at: Ms, worker: &str, task: &str, text: String) {
        self.trace.push(Line { at, worker: worker.into(), task: task.into(), text });
    }

    fn violate(&mut self, at: Ms, breach: Breach, task: &str, detail: String) {
        self.violations.push(Violation { at, breach, task: task.into(), detail });
    }

    /// Takes note of a start, and of the run of its task that it finds on its worker.
    pub fn start_carried_out(
        &mut self,
        at: Ms,
        request: &StartRequest,
        (held_up, lives): (Ms, [u64; 2]),
        present: Option<u32>,
    ) {
        let (task, worker, run) = (request.task_id.to_string(), request.worker.clone(), request.run);
        let begun = Begun { at, task: task.clone(), run, worker, held_up, lives };
        if let Some(number) = present {
            let earlier = self.begun(&task, number, &begun.worker);
            self.violate(at, Breach::Twice, &task, format!("{earlier}, {begun}"));
        }
        self.begun.push(begun);
    }

    /// The last start of a run on a worker, in words.
    fn begun(&self, task: &str, run: u32, worker: &str) -> String {
        let same = |b: &&Begun| b.task == task && b.run == run && b.worker == worker;
        self.begun.iter().rfind(same).map(Begun::to_string).unwrap_or_default()
    }

    /// Takes note of the ends that a poll acknowledged, unless the lease lapsed since.
    pub fn ends_noted(&mut self, worker: &str, ends: &[(Ms, RunEnd)], lapsed_at: Ms, now: Ms) {
        for (at, end) in ends {
            let task = end.task_id.to_string();
            let void = if lapsed_at > *at { ", void after a lapse" } else { "" };
            self.note(now, worker, &task, format!("end {} of run {} noted{void}", end.sequence, end.run));
            if end.outcome == RunOutcome::Done && void.is_empty() {
                self.noted.push((*at, task, end.run));
            }
        }
    }

    /// Takes note of tasks that are at work now.
    pub fn note_served<'a>(&mut self, now: Ms, tasks: impl Iterator<Item = &'a String>) {
        self.served.extend(tasks.map(|task| (task.clone(), now)));
    }

    /// Checks the runs that are on workers now, by task.
    pub fn check_runs(&mut self, now: Ms, running: &BTreeMap<&str, Vec<(u32, &str)>>) {
        for (task, runs) in running {
            let numbers = runs.iter().map(|(run, _)| *run).collect();
            if runs.len() > 1 && self.doubles.insert(((*task).to_owned(), numbers)) {
                let begun = |(run, worker): &(u32, &str)| self.begun(task, *run, worker);
                let runs: Vec<String> = runs.iter().map(begun).collect();
                self.violate(now, Breach::Twice, task, runs.join(", "));
            }
        }
    }

    /// Checks a stop that ended a run, against the tasks that are at work.
    pub fn check_stop(
        &mut self,
        now: Ms,
        (worker, task, run): (&str, &TaskId, u32),
        (cause, held_up): (StopCause, Ms),
        running: &HashSet<String>,
    ) {
        let Some(&count) = self.lasting.get(&task.job).filter(|_| !self.cancelled.contains(&task.job)) else {
            return;
        };
        let others = (0..count).filter(|i| *i != task.index).map(|index| TaskId { index, ..task.clone() });
        let away: Vec<String> = others.map(|t| t.to_string()).filter(|t| !running.contains(t)).collect();
        let since = |t: &String| self.served.get(t).copied().unwrap_or(0);
        let text: Vec<String> = away.iter().map(|t| format!("{t} since {}", since(t))).collect();
        let long = away.iter().filter(|t| now >= since(t) + NOTICE_MS).count();
        let name = task.to_string();
        self.served.remove(&name);
        // Without another run, the task is away from now on.
        if away.is_empty() || running.contains(&name) {
            return;
        }
        let breach = match (held_up, long) {
            (1.., _) => Breach::BudgetByLateStop,
            (0, 0) => Breach::BudgetShortly,
            (0, 1..) => Breach::Budget,
        };
        let detail =
            format!("run {run} on {worker}, {cause:?}, held up {held_up}, away: {}", text.join(", "));
        self.violate(now, breach, &name, detail);
    }

    /// Checks the starts of the whole time against the ends that were taken note of, then or later.
    pub fn check_starts(&mut self) {
        for begun in std::mem::take(&mut self.begun) {
            let ended = self.noted.iter().find(|(at, task, _)| *at < begun.at && *task == begun.task);
            if let Some((at, _, done)) = ended.cloned() {
                let detail = format!("{begun}, after run {done} was done at {at}");
                self.violate(begun.at, Breach::StartAfterDone, &begun.task, detail);
            }
        }
    }

    pub fn missed(&mut self, now: Ms, breach: Breach, task: &str, detail: String) {
        self.violate(now, breach, task, detail);
    }
}
