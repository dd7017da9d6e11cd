//! A storm of troubles at a simulated fleet, drawn from a seed: workers restart under their ids, are cut off and run on,
//! the list shows restarts late, calls are lost, carried out late or not answered, workers are cordoned, owners change.
//! Then comes a calm, at the end of which all work must be done.

use std::collections::BTreeMap;

use crate::support::troubles::{Breach, Troubles};
use crate::support::{Fleet, TICK_MS, job, long_running, step};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shard::{Input, JobSpec, JobState, Ms, Shard, StartRequest, WorkerInfo};

/// Workers, and the capacity of each in thousandths of a core.
const WORKERS: usize = 7;
const CPU: u64 = 4_000;
/// Lasting jobs, by their numbers of tasks.
const LASTING: [(&str, u32); 2] = [("s3", 3), ("s4", 4)];
/// Calm time before the storm, for the lasting tasks to start; length of the storm; and of the calm after it.
const BEFORE_MS: Ms = 3_000;
const STORM_MS: Ms = 40_000;
const AFTER_MS: Ms = 30_000;
/// Time between two draws of troubles.
const DRAW_MS: Ms = 100;
/// Time between two draws of the odds of calls.
const PHASE_MS: Ms = 5_000;
/// Odds of late, unanswered and lost calls, in percent, by phase.
const PHASES: [[u32; 3]; 4] = [[0, 0, 0], [5, 5, 5], [25, 5, 5], [10, 20, 10]];
/// Longest time for which an earlier owner goes on after the next one took over.
const OVERLAP_MS: Ms = 1_000;
/// Longest cut of a worker, and longest delay of the list behind a restart.
const CUT_MS: Ms = 9_000;
const LIST_MS: Ms = 5_000;
/// Something that happens at its time.
#[derive(Clone, Debug)]
enum Later {
    Cut(String, Ms),
    Reconnect(String),
    List(String),
    Unlist(String),
}

/// A fleet in a storm.
pub struct Storm {
    fleet: Fleet,
    source: StdRng,
    later: Vec<(Ms, Later)>,
    /// An earlier owner that goes on, with its epoch, and until when.
    earlier: Option<((Shard, u64), Ms)>,
    /// Calls may be carried out late.
    late: bool,
    /// Short jobs with the requests that submitted them.
    jobs: Vec<(String, u64)>,
    /// Entries of the workers, listed or not.
    entries: BTreeMap<String, WorkerInfo>,
}

impl Storm {
    pub fn new(seed: u64, late: bool) -> Self {
        let mut source = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::known(WORKERS, CPU);
        fleet.work_for = work_of;
        fleet.troubles = Some(Box::new(Troubles::new(source.random())));
        for n in 0..WORKERS {
            let id = format!("w{n}");
            fleet.list_incarnation(&id);
            // Some clocks are as slow as the platform's may be.
            fleet.workers.get_mut(&id).expect("a worker").clock_slow = 2 * (n as u64 % 2);
        }
        for (id, tasks) in LASTING {
            fleet.submit(long_running(id, tasks, 500));
            troubles(&mut fleet).lasting.insert(id.into(), tasks);
        }
        fleet.advance(BEFORE_MS);
        let entries = fleet.listed.iter().map(|w| (w.id.clone(), w.clone())).collect();
        Self { fleet, source, later: Vec::new(), earlier: None, late, jobs: Vec::new(), entries }
    }

    /// Plays the storm and the calm after it, and checks what became of the jobs.
    pub fn play(mut self) -> Fleet {
        let end = self.fleet.now + STORM_MS;
        while self.fleet.now < end {
            if self.fleet.now % PHASE_MS < DRAW_MS {
                let phase = self.source.random_range(0..PHASES.len());
                let [late, unanswered, lost] = PHASES[phase];
                troubles(&mut self.fleet).odds = [if self.late { late } else { 0 }, unanswered, lost];
            }
            self.draw();
            self.advance(DRAW_MS);
        }
        self.calm();
        self.fleet.advance(AFTER_MS);
        self.check_end();
        self.fleet
    }

    fn advance(&mut self, span: Ms) {
        for _ in 0..span / TICK_MS {
            self.fleet.advance(TICK_MS);
            let now = self.fleet.now;
            self.earlier.take_if(|(_, until)| *until < now);
            if let Some((owner, _)) = &mut self.earlier {
                self.fleet.act_as_old_owner(owner, now);
            }
            for (_, later) in self.later.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
                self.act(later);
            }
        }
    }

    fn one_in(&mut self, times: u32) -> bool {
        self.source.random_ratio(1, times)
    }

    /// Draws a worker.
    fn worker(&mut self) -> String {
        format!("w{}", self.source.random_range(0..WORKERS))
    }

    /// Draws the troubles of one moment.
    fn draw(&mut self) {
        if self.one_in(4) {
            self.submit();
        }
        if self.one_in(25) {
            let worker = self.worker();
            self.restart(worker);
        }
        if self.one_in(40) {
            let worker = self.worker();
            self.cut(worker, 0);
        }
        if self.one_in(100) {
            self.change_owner();
        }
        if self.one_in(40) {
            let worker = self.worker();
            self.fleet.note(&worker, "", || "cordoned".into());
            self.fleet.apply(Input::Cordon { worker, cordoned: true });
        }
        if self.one_in(40) {
            let workers = if self.one_in(3) { Vec::new() } else { vec![self.worker()] };
            self.fleet.note("", "", || format!("due for maintenance: {workers:?}"));
            self.fleet.apply(Input::MaintenanceDue { service: "quotes".into(), workers });
        }
    }

    /// Changes the owner; often the earlier one goes on for a time without knowing of it.
    fn change_owner(&mut self) {
        let span = if self.one_in(2) { 0 } else { self.source.random_range(0..OVERLAP_MS) };
        let earlier = self.fleet.take_over();
        self.earlier = Some((earlier, self.fleet.now + span));
    }

    fn submit(&mut self) {
        let id = format!("j{}", self.jobs.len());
        let work: Ms = if self.one_in(6) {
            self.source.random_range(1_000..=12_000)
        } else {
            self.source.random_range(200..=900)
        };
        let tasks = self.source.random_range(1..=3);
        let spec = job(&id, vec![step(tasks, 500)]);
        let spec = JobSpec { payload: format!("work {work}"), max_attempts: 1_000, ..spec };
        let request = self.fleet.submit(spec);
        self.jobs.push((id, request));
    }

    /// Restarts a worker under its id; often it is cut off soon afterwards, or has been before.
    fn restart(&mut self, worker: String) {
        let now = self.fleet.now;
        let down = self.source.random_range(10..=80) * TICK_MS;
        let ahead = if self.one_in(3) { self.source.random_range(0..200_000) } else { 0 };
        self.fleet.crash_for(&worker, down, ahead);
        let listed = if self.one_in(2) { 0 } else { self.source.random_range(0..LIST_MS) };
        if self.one_in(5) {
            self.later.push((now + down, Later::Unlist(worker.clone())));
        }
        self.later.push((now + down + listed, Later::List(worker.clone())));
        if self.one_in(2) {
            let wait = down + self.source.random_range(0..3_000);
            self.cut(worker, wait);
        }
    }

    fn cut(&mut self, worker: String, wait: Ms) {
        let (now, span) = (self.fleet.now, self.source.random_range(500..=CUT_MS));
        self.later.push((now + wait, Later::Cut(worker, span)));
    }

    fn act(&mut self, later: Later) {
        let now = self.fleet.now;
        match later {
            Later::Cut(worker, span) => {
                self.reach(&worker, false);
                self.later.push((now + span, Later::Reconnect(worker)));
            }
            Later::Reconnect(worker) => self.reach(&worker, true),
            Later::List(worker) => self.list(&worker),
            Later::Unlist(worker) => {
                self.fleet.note(&worker, "", || "entry gone".into());
                self.fleet.listed.retain(|w| w.id != worker);
                self.fleet.send_worker_list();
            }
        }
    }

    fn reach(&mut self, id: &str, reachable: bool) {
        self.fleet.note(id, "", || if reachable { "reachable".into() } else { "cut off".into() });
        self.fleet.workers.get_mut(id).expect("a worker").unreachable = !reachable;
    }

    /// Lists the present life of a worker.
    fn list(&mut self, id: &str) {
        let incarnation = self.fleet.workers[id].incarnation;
        self.fleet.note(id, "", || format!("life {incarnation} listed"));
        let entry = WorkerInfo { incarnation, ..self.entries[id].clone() };
        self.fleet.listed.retain(|w| w.id != id);
        self.fleet.listed.push(entry);
        self.fleet.send_worker_list();
    }

    /// Ends all troubles but the calls on their way.
    fn calm(&mut self) {
        self.later.clear();
        self.fleet.note("", "", || "calm".into());
        troubles(&mut self.fleet).odds = [0; 3];
        for n in 0..WORKERS {
            let id = format!("w{n}");
            self.reach(&id, true);
            self.list(&id);
            self.fleet.apply(Input::Cordon { worker: id, cordoned: false });
        }
        self.fleet.apply(Input::MaintenanceDue { service: "quotes".into(), workers: Vec::new() });
    }

    fn check_end(&mut self) {
        let now = self.fleet.now;
        // A change of owner may have left others without an answer.
        let accepted = |(_, request): &&(String, u64)| self.fleet.replies.get(request) == Some(&"accepted");
        let jobs: Vec<String> = self.jobs.iter().filter(accepted).map(|(id, _)| id.clone()).collect();
        for id in &jobs {
            let state = self.fleet.job_state(id);
            if state != Some(JobState::Completed) {
                troubles(&mut self.fleet).missed(now, Breach::Unfinished, id, format!("{state:?}"));
            }
        }
        for (id, tasks) in LASTING {
            for index in 0..tasks {
                let task = format!("{id}.0.0.{index}");
                let runs = self.fleet.workers.values().filter(|w| w.running.contains_key(&task)).count();
                if runs != 1 {
                    troubles(&mut self.fleet).missed(now, Breach::NotOnce, &task, format!("{runs} runs"));
                }
            }
        }
        troubles(&mut self.fleet).check_starts();
    }
}

pub fn troubles(fleet: &mut Fleet) -> &mut Troubles {
    fleet.troubles.as_mut().expect("a fleet with troubles")
}

/// Work of a run: the number of milliseconds in its payload.
fn work_of(request: &StartRequest, usual: Ms) -> Ms {
    request.payload.strip_prefix("work ").and_then(|ms| ms.parse().ok()).unwrap_or(usual)
}
