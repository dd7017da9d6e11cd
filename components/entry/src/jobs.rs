//! Long-running jobs: claim, start, supervision, and takeover from entry hosts that are gone.
//!
//! A job is started only after its claim is on the log. If the claiming host is fenced, the attempt is resolved
//! with the worker before the job is started again. A job that fails on several distinct workers ends as
//! failed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use edge::{TaskKind, TaskState};
use events::Event;
use fold::{Incarnation, Job, JobOutcome, JobPhase, Operation, Outcome};
use serde::Serialize;

use crate::admission::{FailedPlacement, Reservation, SlotRequest};
use crate::append::CommitResult;
use crate::attempt::{ProbePolicy, Task, TaskEnd};
use crate::node::{Node, coordinator_of};
use crate::state::State;

const SCAN_PERIOD: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(5);
const START_TIMEOUT: Duration = Duration::from_secs(5);
const LOG_TIMEOUT: Duration = Duration::from_secs(3600);
/// Number of distinct workers on which a job may fail before it ends as failed.
const MAX_FAILED_WORKERS: usize = 3;

/// A job as shown to its caller.
#[derive(Debug, Serialize)]
pub struct JobView {
    job: String,
    queue: String,
    state: &'static str,
    attempt: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<JobOutcome>,
}

impl JobView {
    /// Creates the view of a job.
    #[must_use]
    pub fn new(id: &str, job: &Job) -> Self {
        let outcome = match &job.phase {
            JobPhase::Ended(outcome) => Some(outcome.clone()),
            _ => None,
        };
        Self {
            job: id.to_owned(),
            queue: job.queue.clone(),
            state: phase_name(&job.phase),
            attempt: job.attempt,
            outcome,
        }
    }
}

const fn phase_name(phase: &JobPhase) -> &'static str {
    match phase {
        JobPhase::Accepted => "accepted",
        JobPhase::Claimed { .. } => "running",
        JobPhase::Ended(JobOutcome::Done { .. }) => "ended",
        JobPhase::Ended(JobOutcome::Failed { .. }) => "failed",
        JobPhase::Ended(JobOutcome::Cancelled) => "cancelled",
        JobPhase::Ended(JobOutcome::Unknown { .. }) => "unknown",
    }
}

/// One attempt to run a job on a worker.
#[derive(Debug, Clone)]
struct JobAttempt {
    job: String,
    number: u32,
    worker: String,
    boot: u64,
}

impl JobAttempt {
    fn task_id(&self) -> String {
        format!("{}-{}", self.job, self.number)
    }
}

/// Next step of supervision, after the worker has been polled.
enum Step {
    /// Poll the worker again later.
    PollAgain,
    /// Write this operation to the log, which ends the attempt.
    Record(Operation),
}

/// Supervises the jobs of this host until the node stops.
pub async fn run(node: Arc<Node>) {
    let ticks = node.timer.every(SCAN_PERIOD);
    loop {
        ticks.tick().await;
        let job_ids = node.state.lock().take_unsupervised();
        for id in job_ids {
            let node = Arc::clone(&node);
            tokio::spawn(async move {
                node.supervise_job(&id).await;
                node.state.lock().supervised_jobs.remove(&id);
            });
        }
    }
}

impl State {
    /// Takes the jobs that this host has to supervise and does not supervise yet.
    fn take_unsupervised(&mut self) -> Vec<String> {
        if !self.is_live() || self.leaving {
            return Vec::new();
        }
        let unsupervised = self
            .tables
            .jobs
            .iter()
            .filter(|(id, job)| !job.has_ended() && !self.supervised_jobs.contains(*id));
        let own_jobs: Vec<String> =
            unsupervised.filter(|(id, job)| self.is_supervisor(id, job)).map(|(id, _)| id.clone()).collect();
        self.supervised_jobs.extend(own_jobs.iter().cloned());
        own_jobs
    }

    /// True if this host has to supervise a job: it claimed the job, or it takes over as coordinator.
    fn is_supervisor(&self, id: &str, job: &Job) -> bool {
        match &job.phase {
            JobPhase::Claimed { by, .. } if self.active_members().contains(by) => *by == self.incarnation,
            JobPhase::Claimed { by, .. } if self.may_act(*by) => false,
            _ => coordinator_of(self, id) == Some(self.incarnation),
        }
    }

    /// True if an incarnation may still act for its jobs.
    fn may_act(&self, inc: Incarnation) -> bool {
        self.tables.voters().any(|(voter, _)| voter == inc)
    }
}

impl Node {
    async fn supervise_job(self: &Arc<Self>, id: &str) {
        let Some(job) = self.state.lock().tables.jobs.get(id).cloned() else {
            return;
        };
        match &job.phase {
            JobPhase::Accepted => self.start_job(id, &job).await,
            JobPhase::Claimed { worker, boot, .. } => {
                let attempt = JobAttempt {
                    job: id.to_owned(),
                    number: job.attempt,
                    worker: worker.clone(),
                    boot: *boot,
                };
                self.supervise_attempt(&attempt).await;
            }
            JobPhase::Ended(_) => {}
        }
    }

    async fn start_job(self: &Arc<Self>, id: &str, job: &Job) {
        let Some(slot) = self.admit_job(job).await else {
            return;
        };
        let Some(boot) = self.worker_boot(&slot.worker, &slot.addr).await else {
            self.record_answer(&slot.worker, false, None);
            return;
        };
        let attempt =
            JobAttempt { job: id.to_owned(), number: job.attempt + 1, worker: slot.worker.clone(), boot };
        let claim_operation = Operation::JobClaim {
            job: id.to_owned(),
            attempt: attempt.number,
            worker: slot.worker.clone(),
            boot,
        };
        if !matches!(
            self.propose(claim_operation, LOG_TIMEOUT).await,
            CommitResult::Done(Outcome::Applied(_))
        ) {
            return;
        }
        let task = Task {
            id: attempt.task_id(),
            kind: TaskKind::Job,
            path: job.path.clone(),
            body: Bytes::from(job.body.clone()),
            resume: job.resume_from.clone(),
            probe_policy: ProbePolicy::UntilDeadline,
        };
        self.record_job_event("job-claim", &attempt, &job.team);
        match self.attempt_on(&slot, &task, Instant::now() + START_TIMEOUT).await {
            TaskEnd::Answered(_) | TaskEnd::Unknown { .. } => self.supervise_attempt(&attempt).await,
            TaskEnd::NotRun { full, .. } => {
                let operation = Operation::JobRelease {
                    job: id.to_owned(),
                    attempt: attempt.number,
                    worker_fault: !full,
                    resume_from: None,
                };
                self.propose(operation, LOG_TIMEOUT).await;
            }
        }
    }

    async fn admit_job(self: &Arc<Self>, job: &Job) -> Option<Reservation> {
        let pool = self.state.lock().tables.queues.get(&job.queue)?.pool.clone();
        let slot_request =
            SlotRequest { team: job.team.clone(), pool, urgent: false, failures: failed_placements(job) };
        self.admit(&slot_request, Instant::now() + ADMISSION_TIMEOUT).await.ok()
    }

    /// Polls the worker of an attempt until the attempt's end is on the log.
    async fn supervise_attempt(&self, attempt: &JobAttempt) {
        loop {
            let Some(job) = self.state.lock().tables.jobs.get(&attempt.job).cloned() else {
                return;
            };
            if job.has_ended() || job.attempt != attempt.number {
                return;
            }
            match self.poll_worker(attempt, &job).await {
                Step::PollAgain => tokio::time::sleep(POLL_INTERVAL).await,
                Step::Record(operation) => {
                    self.propose(operation, LOG_TIMEOUT).await;
                    self.record_job_event("job-end", attempt, &job.team);
                    return;
                }
            }
        }
    }

    async fn poll_worker(&self, attempt: &JobAttempt, job: &Job) -> Step {
        let view = self.state.lock().workers.get(&attempt.worker).cloned();
        let Some(view) = view.filter(|v| v.listed) else {
            return lost_step(attempt, job, "its worker is gone");
        };
        let addr = &view.info.addr;
        let id = attempt.task_id();
        let state = if job.cancelled {
            self.clients.workers.stop(addr, &id).await
        } else {
            self.clients.workers.bar(addr, &id).await
        };
        match state {
            Ok(TaskState::Running) if !self.state.lock().in_service(&attempt.worker) => {
                self.checkpoint_step(attempt, job, addr).await
            }
            Err(_) | Ok(TaskState::Running) => Step::PollAgain,
            Ok(TaskState::Checkpointed { token }) => Step::Record(resume_operation(attempt, token)),
            Ok(TaskState::Ended { status, body }) => ended_step(attempt, job, status, body),
            Ok(TaskState::Stopped) if job.cancelled => {
                Step::Record(end_operation(attempt, JobOutcome::Cancelled))
            }
            Ok(TaskState::Stopped) => lost_step(attempt, job, "it was stopped at its worker"),
            Ok(TaskState::Barred | TaskState::Unseen) => self.unseen_step(attempt, job, addr).await,
        }
    }

    /// Checkpoints a task that runs on a worker out of service, so that the job can resume elsewhere.
    async fn checkpoint_step(&self, attempt: &JobAttempt, job: &Job, addr: &str) -> Step {
        match self.clients.workers.checkpoint(addr, &attempt.task_id()).await {
            Ok(TaskState::Checkpointed { token }) => Step::Record(resume_operation(attempt, token)),
            Ok(TaskState::Ended { status, body }) => ended_step(attempt, job, status, body),
            Ok(_) | Err(_) => Step::PollAgain,
        }
    }

    /// Handles a task that is unknown to its worker: it never ran, unless the worker has restarted since.
    async fn unseen_step(&self, attempt: &JobAttempt, job: &Job, addr: &str) -> Step {
        match self.clients.workers.usage(addr).await {
            Err(_) => Step::PollAgain,
            Ok(usage) if usage.boot != attempt.boot => lost_step(attempt, job, "its worker has restarted"),
            Ok(_) if job.cancelled => Step::Record(end_operation(attempt, JobOutcome::Cancelled)),
            Ok(_) => Step::Record(release_operation(attempt, false)),
        }
    }

    fn record_job_event(&self, kind: &str, attempt: &JobAttempt, team: &str) {
        self.record_event(Event {
            kind: kind.into(),
            job: attempt.job.clone(),
            worker: attempt.worker.clone(),
            team: team.to_owned(),
            ..Event::default()
        });
    }
}

/// Workers on which a job has failed, with an empty zone so that other workers in their zones are not avoided.
fn failed_placements(job: &Job) -> Vec<FailedPlacement> {
    job.failed_on
        .iter()
        .map(|worker| FailedPlacement { worker: worker.clone(), zone: String::new() })
        .collect()
}

fn end_operation(attempt: &JobAttempt, outcome: JobOutcome) -> Operation {
    Operation::JobEnd { job: attempt.job.clone(), outcome }
}

fn release_operation(attempt: &JobAttempt, worker_fault: bool) -> Operation {
    Operation::JobRelease {
        job: attempt.job.clone(),
        attempt: attempt.number,
        worker_fault,
        resume_from: None,
    }
}

fn resume_operation(attempt: &JobAttempt, token: String) -> Operation {
    Operation::JobRelease {
        job: attempt.job.clone(),
        attempt: attempt.number,
        worker_fault: false,
        resume_from: Some(token),
    }
}

fn ended_step(attempt: &JobAttempt, job: &Job, status: u16, body: String) -> Step {
    if status < 500 {
        return Step::Record(end_operation(attempt, JobOutcome::Done { status, body }));
    }
    let workers = job.failed_on.len() + 1;
    if workers < MAX_FAILED_WORKERS {
        return Step::Record(release_operation(attempt, true));
    }
    let reason = format!("failed on {workers} distinct workers, last with status {status}");
    Step::Record(end_operation(attempt, JobOutcome::Failed { reason }))
}

/// Handles a started task whose outcome is unknown: it runs again only if its caller allows reruns.
fn lost_step(attempt: &JobAttempt, job: &Job, reason: &str) -> Step {
    if job.rerun {
        return Step::Record(release_operation(attempt, false));
    }
    Step::Record(end_operation(attempt, JobOutcome::Unknown { reason: reason.to_owned() }))
}
