//! What was sent, answered and run.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub number: u64,
    pub token: u64,
    pub began: u64,
    /// Time, kind and number of its end.
    pub end: Option<(u64, String, u64)>,
    /// When the end was taken note of.
    pub noted: Option<u64>,
}

#[derive(Default)]
struct State {
    lines: Vec<(u64, String)>,
    /// Runs by task.
    runs: BTreeMap<String, Vec<Run>>,
}

pub struct Record {
    origin: Instant,
    state: Mutex<State>,
}

impl Record {
    pub fn new() -> Self {
        Self { origin: Instant::now(), state: Mutex::default() }
    }

    pub fn now(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let now = self.now();
        self.state.lock().unwrap().lines.push((now, text.to_owned()));
    }

    pub fn started(&self, worker: &str, task: &str, number: u64, token: u64) {
        let began = self.now();
        let mut state = self.state.lock().unwrap();
        state.lines.push((began, format!("{worker} starts {task} run {number}, fencing token {token}")));
        let run = Run { worker: worker.to_owned(), number, token, began, end: None, noted: None };
        state.runs.entry(task.to_owned()).or_default().push(run);
    }

    pub fn ended(&self, worker: &str, task: &str, number: u64, how: &str, end: u64) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        state.lines.push((now, format!("{worker} ends {task} run {number}: {how}, end {end}")));
        let runs = state.runs.entry(task.to_owned()).or_default();
        if let Some(run) = runs.iter_mut().find(|r| r.worker == worker && r.number == number && r.end.is_none()) {
            run.end = Some((now, how.to_owned(), end));
        }
    }

    /// The worker's ends up to `seen` are taken note of.
    pub fn noted(&self, worker: &str, seen: u64) {
        if seen == 0 {
            return;
        }
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        for run in state.runs.values_mut().flatten() {
            if run.worker == worker && run.noted.is_none() && run.end.as_ref().is_some_and(|e| e.2 > 0 && e.2 <= seen) {
                run.noted = Some(now);
            }
        }
    }

    pub fn runs(&self) -> BTreeMap<String, Vec<Run>> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Tasks of a job with a run at work.
    pub fn at_work(&self, job: &str) -> usize {
        let state = self.state.lock().unwrap();
        let of_job = state.runs.iter().filter(|(task, _)| task.starts_with(job));
        of_job.filter(|(_, runs)| runs.iter().any(|r| r.end.is_none())).count()
    }

    pub fn write(&self, path: &std::path::Path) {
        let state = self.state.lock().unwrap();
        let lines: Vec<String> = state.lines.iter().map(|(at, text)| format!("{at:>7} ms  {text}\n")).collect();
        std::fs::write(path, lines.concat()).expect("the record can be written");
    }

    /// Breaks of TWICE: two runs of a task at the same time on workers that are up, or a start after a run has
    /// ended `done` and that end is taken note of then or later.
    pub fn twice(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (task, runs) in self.runs() {
            for (i, a) in runs.iter().enumerate() {
                for b in &runs[i + 1..] {
                    let ended = a.end.as_ref().map_or(u64::MAX, |e| e.0);
                    if b.began < ended {
                        found.push(format!(
                            "{task}: run {} on {} from {} ms to {}, and run {} on {} from {} ms",
                            a.number,
                            a.worker,
                            a.began,
                            a.end.as_ref().map_or("the end".into(), |e| format!("{} ms ({})", e.0, e.1)),
                            b.number,
                            b.worker,
                            b.began
                        ));
                    } else if a.end.as_ref().is_some_and(|e| e.1 == "done") && a.noted.is_some() {
                        found.push(format!(
                            "{task}: run {} on {} ended done at {ended} ms, taken note of at {} ms; run {} began on {} at {} ms",
                            a.number,
                            a.worker,
                            a.noted.unwrap_or(0),
                            b.number,
                            b.worker,
                            b.began
                        ));
                    }
                }
            }
        }
        found
    }
}
