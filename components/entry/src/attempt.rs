//! One attempt to run a request on a worker.
//!
//! While the answer is pending, the status of the task is probed over new connections, so that a dead
//! connection is detected. The outcome of the task is then resolved by its id, as it is after a lost answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use edge::{Answer, REFUSED_FULL, REFUSED_SEEN, StartOrder, TaskKind, TaskState, Verdict, wall_ms};
use events::Event;
use poem::http::StatusCode;
use tokio::time::sleep;

use crate::admission::Reservation;
use crate::node::{Node, time_left};
use crate::state::StartRefusal;

const RESOLVE_POLL_INTERVAL: Duration = Duration::from_millis(100);
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A task to run on a worker.
#[derive(Debug, Clone)]
pub struct Task {
    /// Unique id.
    pub id: String,
    /// Request or job.
    pub kind: TaskKind,
    /// Path with query.
    pub path: String,
    /// Body sent by the caller.
    pub body: Bytes,
    /// Checkpoint to resume from.
    pub resume: Option<String>,
    /// How to treat a worker that stops answering.
    pub probe_policy: ProbePolicy,
}

/// How long to wait for a worker that answers neither the request nor status probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbePolicy {
    /// Until the deadline, because the task must not be started elsewhere.
    UntilDeadline,
    /// Until one probe fails, because the task may be started elsewhere.
    FailFast,
}

/// How an attempt to run a task ended.
#[derive(Debug, Clone)]
pub enum TaskEnd {
    /// The worker answered.
    Answered(Answer),
    /// The task did not run and will not run under this id.
    NotRun {
        /// Cause as text.
        reason: String,
        /// True if the worker had no free slot.
        full: bool,
    },
    /// The task may have run or may still be running.
    Unknown {
        /// Cause as text.
        reason: String,
    },
}

/// Outcome of a task whose answer was lost, as its worker reports it.
#[derive(Debug, Clone)]
pub enum Resolution {
    /// It did not run, and its id is now barred.
    Barred,
    /// It ran to its end.
    Ended(Answer),
    /// The outcome could not be determined in time, for this reason.
    Unknown(String),
}

impl TaskEnd {
    fn not_run(reason: impl Into<String>) -> Self {
        Self::NotRun { reason: reason.into(), full: false }
    }
}

impl Node {
    /// Runs a task on a reserved slot. If the outcome is unknown, the slot stays reserved until it is known.
    pub async fn attempt(self: &Arc<Self>, slot: Reservation, task: &Task, deadline: Instant) -> TaskEnd {
        let end = self.attempt_on(&slot, task, deadline).await;
        self.record_event(Event {
            kind: end.event_kind().into(),
            job: task.id.clone(),
            worker: slot.worker.clone(),
            team: slot.team.clone(),
            zone: slot.zone.clone(),
            ..Event::default()
        });
        if matches!(end, TaskEnd::Unknown { .. }) {
            tokio::spawn(release_when_ended(Arc::clone(self), slot, task.id.clone()));
        }
        end
    }

    /// Runs a task on a reserved slot that stays with the caller.
    pub async fn attempt_on(&self, slot: &Reservation, task: &Task, deadline: Instant) -> TaskEnd {
        let Some(boot) = self.worker_boot(&slot.worker, &slot.addr).await else {
            self.record_answer(&slot.worker, false, None);
            return TaskEnd::not_run(format!("worker {} does not answer", slot.worker));
        };
        let order = match self.start_order(slot, task, boot) {
            Ok(order) => order,
            Err(refusal) => return TaskEnd::not_run(format!("{refusal}")),
        };
        let end = self.start_and_probe(slot, &order, deadline, task.probe_policy).await;
        match &end {
            TaskEnd::Answered(answer) => {
                let ok = !answer.status.is_server_error();
                self.record_answer(&slot.worker, ok, Some(answer.running));
            }
            TaskEnd::NotRun { full: true, .. } => self.record_full(&slot.worker),
            TaskEnd::NotRun { .. } | TaskEnd::Unknown { .. } => self.record_answer(&slot.worker, false, None),
        }
        end
    }

    /// Builds the start order after checking again that the task may be started now.
    fn start_order(&self, slot: &Reservation, task: &Task, boot: u64) -> Result<StartOrder, StartRefusal> {
        let now = Instant::now();
        let valid_until = self.state.lock().check_start(now, self.confirmation_ttl(), &slot.worker)?;
        let time_left_ms = u64::try_from((valid_until - now).as_millis()).unwrap_or(0);
        Ok(StartOrder {
            id: task.id.clone(),
            lease: self.incarnation,
            boot,
            team: slot.team.clone(),
            kind: task.kind,
            not_after: wall_ms() + time_left_ms,
            path: task.path.clone(),
            body: task.body.clone(),
            resume: task.resume.clone(),
        })
    }

    async fn start_and_probe(
        &self,
        slot: &Reservation,
        order: &StartOrder,
        deadline: Instant,
        probe_policy: ProbePolicy,
    ) -> TaskEnd {
        let start = self.clients.workers.start(&slot.addr, order, time_left(deadline));
        tokio::pin!(start);
        let probe_interval = Duration::from_millis(self.settings.timing.probe_ms);
        loop {
            tokio::select! {
                response = &mut start => return match response {
                    Ok(answer) => TaskEnd::Answered(answer),
                    Err(fault) if fault.verdict == Verdict::NotRun && fault.reason != REFUSED_SEEN => {
                        TaskEnd::NotRun { full: fault.reason == REFUSED_FULL, reason: fault.reason }
                    }
                    Err(fault) => self.resolve_lost(slot, &order.id, deadline, &fault.reason).await,
                },
                () = sleep(probe_interval) => match self.clients.workers.status(&slot.addr, &order.id).await {
                    Err(fault) if probe_policy == ProbePolicy::FailFast => {
                        return TaskEnd::Unknown { reason: fault.reason };
                    }
                    Ok(TaskState::Running) | Err(_) => {}
                    Ok(_) => return self.resolve_lost(slot, &order.id, deadline, "connection went silent").await,
                },
            }
        }
    }

    async fn resolve_lost(&self, slot: &Reservation, id: &str, deadline: Instant, cause: &str) -> TaskEnd {
        match self.resolve(&slot.addr, id, deadline).await {
            Resolution::Barred => TaskEnd::not_run(cause),
            Resolution::Ended(answer) => TaskEnd::Answered(answer),
            Resolution::Unknown(reason) => TaskEnd::Unknown { reason: format!("{cause}; {reason}") },
        }
    }

    /// Bars a task at its worker, or waits for its end if it has started.
    pub async fn resolve(&self, addr: &str, id: &str, deadline: Instant) -> Resolution {
        let mut last_reason = String::from("no time left to ask the worker");
        while time_left(deadline) > Duration::ZERO {
            match self.clients.workers.bar(addr, id).await {
                Ok(TaskState::Barred | TaskState::Unseen) => return Resolution::Barred,
                Ok(TaskState::Ended { status, body }) => return Resolution::Ended(to_answer(status, body)),
                Ok(TaskState::Stopped | TaskState::Checkpointed { .. }) => {
                    return Resolution::Unknown("task was stopped while it ran".into());
                }
                Ok(TaskState::Running) => last_reason = "task still runs".into(),
                Err(fault) => last_reason = fault.reason,
            }
            sleep(RESOLVE_POLL_INTERVAL.min(time_left(deadline))).await;
        }
        Resolution::Unknown(last_reason)
    }
}

impl TaskEnd {
    const fn event_kind(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun { .. } => "not-run",
            Self::Unknown { .. } => "unknown",
        }
    }
}

impl std::fmt::Display for StartRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Unconfirmed => "this host cannot confirm that its configuration is in force",
            Self::NotLive => "this host takes no work",
            Self::WorkerOut => "the worker takes no work",
        })
    }
}

fn to_answer(status: u16, body: String) -> Answer {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    Answer { status, body: body.into(), running: 0 }
}

/// Keeps a slot reserved until its task has ended or the platform has removed the worker.
///
/// A restarted worker does not know the id and bars it, which also ends the wait.
async fn release_when_ended(node: Arc<Node>, slot: Reservation, id: String) {
    loop {
        match node.clients.workers.bar(&slot.addr, &id).await {
            Ok(TaskState::Running) => {}
            Ok(_) => return,
            Err(_) if !is_worker_listed(&node, &slot.worker) => return,
            Err(_) => {}
        }
        sleep(RELEASE_POLL_INTERVAL).await;
    }
}

/// True while the platform lists a worker; the state also keeps unlisted workers that have tasks in flight.
fn is_worker_listed(node: &Node, worker: &str) -> bool {
    node.state.lock().workers.get(worker).is_some_and(|w| w.listed)
}
