//! HTTP API for long-running jobs.
//!
//! `POST /jobs/QUEUE/PATH` accepts a job. `GET /jobs/ID`, `DELETE /jobs/ID` and `GET /jobs` cover only the jobs
//! of the caller's own team.

use std::sync::Arc;
use std::time::{Duration, Instant};

use edge::Fault;
use fold::{Job, Operation, Outcome};
use poem::http::{StatusCode, header};
use poem::web::{Data, Path};
use poem::{Body, Request, Response, handler};

use crate::append::CommitResult;
use crate::jobs::JobView;
use crate::node::{Node, time_left};
use crate::serve::{
    Idempotency, OpenRequest, Rejection, bearer, host_leaving, idempotency_of, json_response, read_work_item,
    to_response, unauthorized, unavailable,
};

const RERUN_HEADER: &str = "x-rerun";
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(20);

#[handler]
pub(crate) async fn accept_job(node: Data<&Arc<Node>>, request: &Request, body: Body) -> Response {
    let queue = request.raw_path_param("queue").unwrap_or_default().to_owned();
    let (work, team) = match read_work_item(&node, request, &queue, body).await {
        Ok(read) => read,
        Err(rejection) => return rejection.response(),
    };
    let job = match idempotency_of(request, &team) {
        Ok(Idempotency::ByKey(id)) => id.replacen('k', "j", 1),
        Ok(_) => format!("j{:016x}{:016x}", rand::random::<u64>(), rand::random::<u64>()),
        Err(rejection) => return rejection.response(),
    };
    let Some(_open_request) = OpenRequest::begin(&node) else {
        return host_leaving().response();
    };
    let operation = Operation::JobAccept {
        job: job.clone(),
        team,
        queue,
        path: work.path,
        body: String::from_utf8_lossy(&work.body).into_owned(),
        rerun: request.header(RERUN_HEADER) == Some("true"),
    };
    match node.propose(operation, time_left(work.deadline)).await {
        CommitResult::Done(Outcome::Applied(_) | Outcome::Refused(fold::Refusal::InvalidState(_))) => {
            accepted(&job)
        }
        CommitResult::Done(Outcome::Refused(reason)) => unavailable(&reason.to_string()).response(),
        CommitResult::Withdrawn => unavailable("the log does not answer").response(),
        CommitResult::Sent => to_response(Err(Fault::may_have_run(format!("job {job} may be accepted")))),
    }
}

fn accepted(job: &str) -> Response {
    Response::builder()
        .status(StatusCode::ACCEPTED)
        .header(header::LOCATION, format!("/jobs/{job}"))
        .body(serde_json::json!({ "job": job, "state": "accepted" }).to_string())
}

#[handler]
pub(crate) fn list_jobs(node: Data<&Arc<Node>>, request: &Request) -> Response {
    let team = match authorize_job_call(&node, request) {
        Ok(team) => team,
        Err(rejection) => return rejection.response(),
    };
    let state = node.state.lock();
    let team_jobs = state.tables.jobs.iter().filter(|(_, job)| job.team == team);
    let views: Vec<JobView> = team_jobs.map(|(id, job)| JobView::new(id, job)).collect();
    json_response(&views)
}

#[handler]
pub(crate) async fn get_job(node: Data<&Arc<Node>>, request: &Request, Path(id): Path<String>) -> Response {
    let team = match authorize_job_call(&node, request) {
        Ok(team) => team,
        Err(rejection) => return rejection.response(),
    };
    if let Err(rejection) = find_job(&node, &team, &id).await {
        return rejection.response();
    }
    let wait = request.uri().query().is_some_and(|q| q.contains("wait"));
    let until = Instant::now() + Duration::from_millis(node.settings.timing.deadline_ms);
    loop {
        let changed = node.entries_applied.notified();
        match team_job(&node, &team, &id) {
            None => return job_not_found(&id).response(),
            Some(job) if !wait || job.has_ended() || time_left(until) == Duration::ZERO => {
                return json_response(&JobView::new(&id, &job));
            }
            Some(_) => {}
        }
        let _ = tokio::time::timeout(time_left(until), changed).await;
    }
}

#[handler]
pub(crate) async fn cancel_job(
    node: Data<&Arc<Node>>,
    request: &Request,
    Path(id): Path<String>,
) -> Response {
    let team = match authorize_job_call(&node, request) {
        Ok(team) => team,
        Err(rejection) => return rejection.response(),
    };
    if let Err(rejection) = find_job(&node, &team, &id).await {
        return rejection.response();
    }
    let wait = Duration::from_millis(node.settings.timing.deadline_ms);
    match node.propose(Operation::JobCancel { jobs: vec![id.clone()] }, wait).await {
        CommitResult::Done(Outcome::Applied(_)) => accepted(&id),
        CommitResult::Done(Outcome::Refused(reason)) => unavailable(&reason.to_string()).response(),
        CommitResult::Withdrawn => unavailable("the log does not answer").response(),
        CommitResult::Sent => to_response(Err(Fault::may_have_run("the cancellation may still take effect"))),
    }
}

/// Finds a job of a team; if this host does not know it, it first catches up with the log.
async fn find_job(node: &Node, team: &str, id: &str) -> Result<Job, Rejection> {
    if let Some(job) = team_job(node, team, id) {
        return Ok(job);
    }
    if !node.catch_up(Instant::now()).await {
        return Err(unavailable("this host cannot confirm its tables"));
    }
    team_job(node, team, id).ok_or_else(|| job_not_found(id))
}

impl Node {
    /// Waits until everything that was on the log at `since` is applied here; false if that takes too long.
    async fn catch_up(&self, since: Instant) -> bool {
        let until = since + 2 * Duration::from_millis(self.settings.timing.call_ms);
        loop {
            let changed = self.entries_applied.notified();
            self.tail_wake.notify_one();
            if self.state.lock().has_read_log_since(since) {
                return true;
            }
            if time_left(until) == Duration::ZERO {
                return false;
            }
            let _ = tokio::time::timeout(time_left(until).min(CATCH_UP_POLL_INTERVAL), changed).await;
        }
    }
}

/// A job of a team.
fn team_job(node: &Node, team: &str, id: &str) -> Option<Job> {
    node.state.lock().tables.jobs.get(id).filter(|job| job.team == team).cloned()
}

fn job_not_found(id: &str) -> Rejection {
    Rejection { status: StatusCode::NOT_FOUND, reason: format!("there is no job {id}") }
}

/// Team of the key in a request about jobs.
fn authorize_job_call(node: &Node, request: &Request) -> Result<String, Rejection> {
    let state = node.state.lock();
    if state.confirmed_until(Instant::now(), node.confirmation_ttl()).is_none() {
        return Err(unavailable("this host cannot confirm its configuration"));
    }
    let secret = bearer(request).ok_or_else(|| unauthorized("a key is needed"))?;
    node.team_of_key(&state.tables, secret).ok_or_else(|| unauthorized("key is not granted"))
}
