//! Workers and machines of the in-memory platform.

use std::collections::BTreeMap;
use std::time::Duration;

use edge::{Call, Fault};
use maintenance::{Machine, MachineState};
use relay::monotonic_ms;
use relay::platform::{Machines, OrderReply, Poll, PollReply, Workers};
use shard::{
    Resources, RunEnd, RunOutcome, RunStatus, StartReply, StartRequest, TaskId, WorkerInfo, WorkerReport,
};

use tokio::time::Instant;

use super::{PlatformClient, SPARE_POOL, STORE_TIMEOUT, TASK_MS};

/// Time that a machine is down for maintenance.
const MAINTENANCE_TIME: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
pub struct Worker {
    /// Service, unless it is that of the tests' queue.
    pub service: Option<&'static str>,
    /// Number of its restarts.
    pub restarts: u64,
    /// Highest fencing token seen by this incarnation.
    pub fencing_token: u64,
    /// Run number and start time by task.
    pub running: BTreeMap<String, (u32, u64)>,
    pub ended: Vec<RunEnd>,
    /// Number of the last ended run.
    pub last_end: u64,
}

impl Worker {
    /// Restarts it under its id.
    pub fn restart(&mut self) {
        *self = Self { service: self.service, restarts: self.restarts + 1, ..Self::default() };
    }

    /// Ends the runs whose time is over.
    fn end_runs(&mut self, now: u64) {
        let due: Vec<String> =
            self.running.iter().filter(|(_, (_, at))| now >= at + TASK_MS).map(|(n, _)| n.clone()).collect();
        for task in due {
            let Some((run, _)) = self.running.remove(&task) else { continue };
            self.last_end += 1;
            let task_id = TaskId::parse(&task).expect("task id");
            self.ended.push(RunEnd {
                sequence: self.last_end,
                task_id,
                run,
                outcome: RunOutcome::Done,
                checkpoint: String::new(),
            });
        }
    }
}

impl Workers for PlatformClient {
    fn start<'a>(&'a self, order: &'a StartRequest) -> Call<'a, StartReply> {
        Box::pin(async move {
            let mut state = self.platform.state.lock();
            let task = order.task_id.to_string();
            let worker = state.workers.get_mut(&order.worker).expect("known worker");
            if worker.fencing_token > order.token {
                return Ok(StartReply::Fenced);
            }
            worker.fencing_token = order.token;
            worker.running.insert(task.clone(), (order.run, monotonic_ms()));
            state.start_workers.push((task.clone(), order.worker.clone()));
            state.starts.push((task, order.run));
            Ok(StartReply::Running)
        })
    }

    fn stop<'a>(
        &'a self,
        worker: &'a str,
        _: &'a str,
        (task, _): (&'a str, u32),
        fencing_token: u64,
    ) -> Call<'a, bool> {
        Box::pin(async move {
            let mut state = self.platform.state.lock();
            let worker = state.workers.get_mut(worker).expect("known worker");
            worker.running.remove(task);
            Ok(worker.fencing_token <= fencing_token)
        })
    }

    fn throttle<'a>(&'a self, _: &'a str, _: &'a str, _: (&'a str, u32), _: u32, _: u64) -> Call<'a, ()> {
        Box::pin(async move { Ok(()) })
    }

    fn poll<'a>(&'a self, poll: Poll<'a>) -> Call<'a, PollReply> {
        Box::pin(async move {
            let end = monotonic_ms() + poll.wait_ms;
            loop {
                let now = monotonic_ms();
                {
                    let mut state = self.platform.state.lock();
                    let worker = state.workers.get_mut(poll.worker).expect("known worker");
                    if worker.fencing_token > poll.fencing_token {
                        return Ok(PollReply::Fenced);
                    }
                    worker.fencing_token = poll.fencing_token;
                    worker.ended.retain(|e| e.sequence > poll.acked);
                    worker.end_runs(now);
                    if now >= end || !worker.ended.is_empty() {
                        return Ok(PollReply::Report(report(worker, now)));
                    }
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
    }
}

impl Machines for PlatformClient {
    fn list(&self) -> Call<'_, Vec<Machine>> {
        Box::pin(async move {
            let state = self.platform.state.lock();
            let is_down = |name: &str| state.down_until.get(name).is_some_and(|at| Instant::now() < *at);
            Ok(state.spare_machines.iter().map(|name| spare_machine(name, is_down(name))).collect())
        })
    }

    fn move_to_pool<'a>(
        &'a self,
        machine: &'a str,
        pool: &'a str,
        _: &'a str,
        _: u64,
    ) -> Call<'a, OrderReply> {
        Box::pin(async move {
            self.platform.state.lock().moves.push((machine.to_owned(), pool.to_owned()));
            Ok(OrderReply::Done)
        })
    }

    fn start_maintenance<'a>(
        &'a self,
        machine: &'a str,
        wave: u64,
        _: &'a str,
        _: u64,
    ) -> Call<'a, OrderReply> {
        Box::pin(async move {
            let lost = {
                let mut state = self.platform.state.lock();
                let lost = state.lost_orders > 0;
                state.lost_orders -= u32::from(lost);
                lost
            };
            if lost {
                tokio::time::sleep(STORE_TIMEOUT).await;
                return Err(Fault::may_have_run("no answer"));
            }
            let mut state = self.platform.state.lock();
            let order = (machine.to_owned(), wave);
            if state.maintenance.contains(&order) {
                return Ok(OrderReply::Done);
            }
            let now = Instant::now();
            if state.down_until.get(machine).is_some_and(|at| now < *at) {
                return Ok(OrderReply::NotReady);
            }
            state.maintenance.push(order);
            state.down_until.insert(machine.to_owned(), now + MAINTENANCE_TIME);
            Ok(OrderReply::Done)
        })
    }
}

fn report(worker: &Worker, now: u64) -> WorkerReport {
    let row = |(name, (run, at)): (&String, &(u32, u64))| RunStatus {
        task_id: TaskId::parse(name).expect("task id"),
        run: *run,
        checkpoint: String::new(),
        progress_percent: u32::try_from((now - at) * 100 / TASK_MS).unwrap_or(99).min(99),
        metric: 0,
    };
    WorkerReport {
        incarnation: 1 + worker.restarts,
        clock: now,
        running: worker.running.iter().map(row).collect(),
        ended: worker.ended.clone(),
        more_ends: false,
    }
}

fn spare_machine(name: &str, down: bool) -> Machine {
    Machine {
        name: name.into(),
        state: if down { MachineState::Maintenance } else { MachineState::Up },
        pool: SPARE_POOL.into(),
        zone: "z1".into(),
        worker: String::new(),
        cpu: 4_000,
    }
}

pub(super) fn info(id: &str, worker: &Worker) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        addr: "127.0.0.1:1".into(),
        service: worker.service.unwrap_or("quotes").into(),
        zone: "z1".into(),
        labels: Vec::new(),
        capacity: Resources { cpu: 4_000, mem: 4_000, gpu: 0 },
        ready: true,
        incarnation: 0,
    }
}
