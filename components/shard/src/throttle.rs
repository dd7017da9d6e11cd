//! Speed control of best-effort tasks that share a worker with tasks that serve users.

use crate::Ms;
use crate::io::Action;
use crate::job::TaskRef;
use crate::state::Shard;
use crate::worker::{RunPhase, WorkerKey};

/// Tail latency, in percent of its target, above which best-effort tasks slow down.
const SLOW_DOWN_PERCENT: u64 = 85;
/// Tail latency, in percent of its target, below which best-effort tasks speed up.
const SPEED_UP_PERCENT: u64 = 60;
/// Time between two speed changes. A change shows in the metrics of the next half second.
const ADJUST_INTERVAL_MS: Ms = 700;
/// Speed at or below which a further slowdown pauses a best-effort task.
const MIN_SPEED_PERCENT: u32 = 15;

/// How close the tail latencies on a worker are to their targets.
enum LatencyPressure {
    High,
    Low,
    Moderate,
}

impl Shard {
    /// Adjusts the speed of a worker's best-effort tasks to the tail latencies measured there.
    pub(crate) fn adjust_speed(&mut self, key: WorkerKey) {
        let now = self.now;
        let pressure = self.latency_pressure(key);
        let worker = &mut self.workers[key];
        let mut changes: Vec<(TaskRef, u32, u32)> = Vec::new();
        for (task, run) in &mut worker.runs {
            if !run.best_effort
                || !matches!(run.phase, RunPhase::Running(_))
                || now < run.speed_changed + ADJUST_INTERVAL_MS
            {
                continue;
            }
            let percent = match pressure {
                LatencyPressure::High if run.speed_percent > MIN_SPEED_PERCENT => run.speed_percent / 3,
                LatencyPressure::High => 0,
                LatencyPressure::Low => (run.speed_percent + run.speed_percent / 2 + 10).min(100),
                LatencyPressure::Moderate => run.speed_percent,
            };
            let confirms = !run.speed_known && matches!(pressure, LatencyPressure::Low);
            if percent != run.speed_percent || confirms {
                run.speed_percent = percent;
                run.speed_known = true;
                run.speed_changed = now;
                changes.push((*task, run.number, percent));
            }
        }
        for (task, run, percent) in changes {
            let Some(task_id) = self.task_id(&task) else { continue };
            let worker = &self.workers[key];
            let (id, addr, token) = (worker.info.id.clone(), worker.info.addr.clone(), worker.token);
            self.actions.push(Action::Throttle { worker: id, addr, task_id, run, percent, token });
        }
    }

    fn latency_pressure(&self, key: WorkerKey) -> LatencyPressure {
        let worker = &self.workers[key];
        let serving = || worker.runs.values().filter(|r| r.latency_target > 0);
        if serving().any(|r| r.metric * 100 > r.latency_target * SLOW_DOWN_PERCENT) {
            LatencyPressure::High
        } else if serving().all(|r| r.metric * 100 < r.latency_target * SPEED_UP_PERCENT) {
            LatencyPressure::Low
        } else {
            LatencyPressure::Moderate
        }
    }
}
