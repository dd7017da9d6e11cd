//! The callers' side: HTTP requests to queues, and long-running jobs.
//!
//! `ANY /q/QUEUE/PATH` runs a request; `POST /jobs/QUEUE/PATH` accepts a job, and `GET`, `DELETE` and a listing
//! of `/jobs` ask for jobs of the caller's own team. Every answer carries the verdict header. The work goes on
//! when a caller hangs up, so that its end is always known.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use edge::{Answer, Fault, TaskKind, VERDICT_HEADER, Verdict};
use fold::{Act, Job, Outcome};
use poem::http::{Method, StatusCode, header};
use poem::web::{Data, Path};
use poem::{Body, EndpointExt, Request, Response, Route, get, handler, post};
use tokio::net::TcpListener;

use crate::admit::Ask;
use crate::append::Proposed;
use crate::attempt::{Task, Tried};
use crate::jobs::JobView;
use crate::node::{Node, left};

const RETRY_AFTER_SECONDS: &str = "1";
const KEY_HEADER: &str = "idempotency-key";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const URGENT_HEADER: &str = "x-urgent";
const RERUN_HEADER: &str = "x-rerun";
const MAX_KEY_BYTES: usize = 256;
const CATCH_UP_PAUSE: Duration = Duration::from_millis(20);
const PAUSE_BEFORE_RETRY: Duration = Duration::from_millis(20);

/// A request that has passed the key check.
#[derive(Debug, Clone)]
pub struct Work {
    /// What it asks of admission.
    pub ask: Ask,
    /// Path with query for the worker.
    pub path: String,
    /// Caller's body.
    pub body: Bytes,
    /// When the caller gives up.
    pub deadline: Instant,
}

/// How often a request may be run.
enum Repeat {
    /// As often as need be.
    Idempotent,
    /// Once, and it cannot come again.
    Single,
    /// Once for this id, however often it comes.
    Keyed(String),
}

/// A refusal before anything ran.
struct Refusal {
    status: StatusCode,
    reason: String,
}

/// Serves callers until the node stops.
pub async fn listen(node: Arc<Node>, listener: TcpListener) {
    let app = Route::new()
        .at("/ready", get(get_ready))
        .at("/q/:queue/*path", run_request)
        .at("/jobs", get(list_jobs))
        .at("/jobs/:job", get(get_job).delete(cancel_job))
        .at("/jobs/:queue/*path", post(accept_job))
        .data(node);
    let Ok(acceptor) = poem::listener::TcpAcceptor::from_tokio(listener) else {
        return;
    };
    if let Err(error) = poem::Server::new_with_acceptor(acceptor).run(app).await {
        tracing::error!("serve: {error}");
    }
}

#[handler]
fn get_ready(node: Data<&Arc<Node>>) -> StatusCode {
    let state = node.state.lock();
    let ready = !state.leaving && state.fresh_until(Instant::now(), node.fresh()).is_some();
    if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

#[handler]
async fn run_request(node: Data<&Arc<Node>>, request: &Request, body: Body) -> Response {
    let queue = request.raw_path_param("queue").unwrap_or_default().to_owned();
    let (work, team) = match read_work(&node, request, &queue, body).await {
        Ok(read) => read,
        Err(refusal) => return refusal.response(),
    };
    let repeat = match repeat_of(request, &team) {
        Ok(repeat) => repeat,
        Err(refusal) => return refusal.response(),
    };
    let Some(serving) = Serving::begin(&node) else {
        return leaving().response();
    };
    let task = tokio::spawn(async move {
        let done = serving.0.run_work(&work, repeat).await;
        count(&done, &work.ask.team);
        done
    });
    match task.await {
        Ok(done) => response_of(done),
        Err(_) => response_of(Err(Fault::may_have_run("internal error"))),
    }
}

/// Counts a request as being served until dropped.
struct Serving(Arc<Node>);

impl Serving {
    fn begin(node: &Arc<Node>) -> Option<Self> {
        let mut state = node.state.lock();
        if state.leaving {
            return None;
        }
        state.serving += 1;
        Some(Self(Arc::clone(node)))
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.state.lock().serving -= 1;
    }
}

impl Node {
    async fn run_work(self: &Arc<Self>, work: &Work, repeat: Repeat) -> Result<Answer, Fault> {
        match repeat {
            Repeat::Idempotent => self.run_idempotent(work).await,
            Repeat::Single => self.run_single(work).await,
            Repeat::Keyed(id) => self.run_once(&id, work).await,
        }
    }

    /// Retries a request that did not run, within its deadline.
    async fn run_single(self: &Arc<Self>, work: &Work) -> Result<Answer, Fault> {
        let mut ask = work.ask.clone();
        loop {
            let hold = self.admit(&ask, self.queue_until(work.deadline)).await?;
            let place = hold.place();
            match self.attempt(hold, &work.task(), work.deadline).await {
                Tried::Answered(answer) => return Ok(answer),
                Tried::Unknown { reason } => return Err(Fault::may_have_run(reason)),
                Tried::NotRun { reason, .. } if left(work.deadline) < PAUSE_BEFORE_RETRY => {
                    return Err(Fault::not_run(reason));
                }
                Tried::NotRun { full, .. } => {
                    ask.failed.extend((!full).then_some(place));
                    tokio::time::sleep(PAUSE_BEFORE_RETRY).await;
                }
            }
        }
    }

    /// Also retries a request that failed or may have run, while the retry budget lasts.
    async fn run_idempotent(self: &Arc<Self>, work: &Work) -> Result<Answer, Fault> {
        let mut ask = work.ask.clone();
        let mut tries = 0;
        self.registry.budget.earn(self.settings.limits.retry_percent);
        loop {
            let hold = self.admit(&ask, self.queue_until(work.deadline)).await?;
            let place = hold.place();
            let tried = self.attempt(hold, &work.task(), self.try_until(work)).await;
            let done = match tried {
                Tried::Answered(answer) if !answer.status.is_server_error() => return Ok(answer),
                Tried::Answered(answer) => Ok(answer),
                Tried::Unknown { reason } => Err(Fault::may_have_run(reason)),
                Tried::NotRun { full: true, .. } if left(work.deadline) > PAUSE_BEFORE_RETRY => {
                    tokio::time::sleep(PAUSE_BEFORE_RETRY).await;
                    continue;
                }
                Tried::NotRun { reason, .. } => Err(Fault::not_run(reason)),
            };
            tries += 1;
            let spent = tries >= self.settings.limits.tries || left(work.deadline) < PAUSE_BEFORE_RETRY;
            let free = matches!(&done, Err(fault) if fault.verdict == Verdict::NotRun);
            if spent || !(free || self.registry.budget.spend()) {
                return done;
            }
            metrics::counter!("lagoonrelay_retries_total").increment(1);
            ask.failed.push(place);
        }
    }

    /// Leaves time for one more try within the deadline.
    fn try_until(&self, work: &Work) -> Instant {
        let half = Instant::now() + left(work.deadline) / 2;
        half.max(Instant::now() + Duration::from_millis(self.settings.timing.probe_ms)).min(work.deadline)
    }
}

impl Work {
    /// A task with a new id.
    fn task(&self) -> Task {
        let id = format!("r{:016x}{:016x}", rand::random::<u64>(), rand::random::<u64>());
        Task { id, kind: TaskKind::Request, path: self.path.clone(), body: self.body.clone() }
    }
}

async fn read_work(
    node: &Arc<Node>,
    request: &Request,
    queue: &str,
    body: Body,
) -> Result<(Work, String), Refusal> {
    let ask = authorize(node, request, queue)?;
    let most = node.settings.limits.body_bytes;
    let bytes = body.into_bytes_limit(most).await.map_err(|_| Refusal {
        status: StatusCode::PAYLOAD_TOO_LARGE,
        reason: format!("body is broken off or longer than {most} bytes"),
    })?;
    let asked = request.header(DEADLINE_HEADER).and_then(|ms| ms.parse().ok());
    let longest = node.settings.timing.deadline_ms;
    let time = Duration::from_millis(asked.unwrap_or(longest).min(longest));
    let team = ask.team.clone();
    let path = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
    Ok((Work { ask, path, body: bytes, deadline: Instant::now() + time }, team))
}

/// Finds the team that is charged, before anything is queued.
fn authorize(node: &Node, request: &Request, queue: &str) -> Result<Ask, Refusal> {
    let state = node.state.lock();
    if state.leaving {
        return Err(leaving());
    }
    if state.fresh_until(Instant::now(), node.fresh()).is_none() {
        return Err(unavailable("this host cannot confirm its configuration"));
    }
    let found = state.tables.queues.get(queue).ok_or_else(|| Refusal {
        status: StatusCode::NOT_FOUND,
        reason: format!("there is no queue {queue}"),
    })?;
    let team = match bearer(request) {
        Some(secret) => {
            node.team_of(&state.tables, secret).ok_or_else(|| unauthorized("key is not granted"))?
        }
        None => found.open.clone().ok_or_else(|| unauthorized("a key is needed"))?,
    };
    let urgent = request.header(URGENT_HEADER) == Some("true");
    Ok(Ask { team, pool: found.pool.clone(), urgent, failed: Vec::new() })
}

/// Team of the key that came with a request for jobs.
fn job_team(node: &Node, request: &Request) -> Result<String, Refusal> {
    let state = node.state.lock();
    if state.fresh_until(Instant::now(), node.fresh()).is_none() {
        return Err(unavailable("this host cannot confirm its configuration"));
    }
    let secret = bearer(request).ok_or_else(|| unauthorized("a key is needed"))?;
    node.team_of(&state.tables, secret).ok_or_else(|| unauthorized("key is not granted"))
}

/// Secret of the authorization header.
pub(crate) fn bearer(request: &Request) -> Option<&str> {
    request.header(header::AUTHORIZATION)?.strip_prefix("Bearer ")
}

fn repeat_of(request: &Request, team: &str) -> Result<Repeat, Refusal> {
    let Some(key) = request.header(KEY_HEADER) else {
        let idempotent = [Method::GET, Method::HEAD, Method::PUT, Method::DELETE, Method::OPTIONS];
        let same = idempotent.contains(request.method());
        return Ok(if same { Repeat::Idempotent } else { Repeat::Single });
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let reason = format!("{KEY_HEADER} must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(Refusal { status: StatusCode::BAD_REQUEST, reason });
    }
    let mut hasher = blake3::Hasher::new();
    hasher.update(team.as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    Ok(Repeat::Keyed(format!("k{}", &hasher.finalize().to_hex()[..32])))
}

#[handler]
async fn accept_job(node: Data<&Arc<Node>>, request: &Request, body: Body) -> Response {
    let queue = request.raw_path_param("queue").unwrap_or_default().to_owned();
    let (work, team) = match read_work(&node, request, &queue, body).await {
        Ok(read) => read,
        Err(refusal) => return refusal.response(),
    };
    let job = match repeat_of(request, &team) {
        Ok(Repeat::Keyed(id)) => id.replacen('k', "j", 1),
        Ok(_) => format!("j{:016x}{:016x}", rand::random::<u64>(), rand::random::<u64>()),
        Err(refusal) => return refusal.response(),
    };
    let Some(_serving) = Serving::begin(&node) else {
        return leaving().response();
    };
    let act = Act::JobAccept {
        job: job.clone(),
        team,
        queue,
        path: work.path,
        body: String::from_utf8_lossy(&work.body).into_owned(),
        rerun: request.header(RERUN_HEADER) == Some("true"),
    };
    match node.propose(act, left(work.deadline)).await {
        Proposed::Folded(Outcome::Applied(_) | Outcome::Void(fold::Refusal::State(_))) => accepted(&job),
        Proposed::Folded(Outcome::Void(reason)) => unavailable(&reason.to_string()).response(),
        Proposed::Withdrawn => unavailable("the log does not answer").response(),
        Proposed::Open => response_of(Err(Fault::may_have_run(format!("job {job} may be accepted")))),
    }
}

fn accepted(job: &str) -> Response {
    Response::builder()
        .status(StatusCode::ACCEPTED)
        .header(header::LOCATION, format!("/jobs/{job}"))
        .body(serde_json::json!({ "job": job, "state": "accepted" }).to_string())
}

#[handler]
fn list_jobs(node: Data<&Arc<Node>>, request: &Request) -> Response {
    let team = match job_team(&node, request) {
        Ok(team) => team,
        Err(refusal) => return refusal.response(),
    };
    let state = node.state.lock();
    let own = state.tables.jobs.iter().filter(|(_, job)| job.team == team);
    let views: Vec<JobView> = own.map(|(id, job)| JobView::new(id, job)).collect();
    json_response(&views)
}

#[handler]
async fn get_job(node: Data<&Arc<Node>>, request: &Request, Path(id): Path<String>) -> Response {
    let team = match job_team(&node, request) {
        Ok(team) => team,
        Err(refusal) => return refusal.response(),
    };
    if let Err(refusal) = find_job(&node, &team, &id).await {
        return refusal.response();
    }
    let wait = request.uri().query().is_some_and(|q| q.contains("wait"));
    let until = Instant::now() + Duration::from_millis(node.settings.timing.deadline_ms);
    loop {
        let changed = node.applied.notified();
        match own_job(&node, &team, &id) {
            None => return missing_job(&id).response(),
            Some(job) if !wait || job.is_over() || left(until) == Duration::ZERO => {
                return json_response(&JobView::new(&id, &job));
            }
            Some(_) => {}
        }
        let _ = tokio::time::timeout(left(until), changed).await;
    }
}

#[handler]
async fn cancel_job(node: Data<&Arc<Node>>, request: &Request, Path(id): Path<String>) -> Response {
    let team = match job_team(&node, request) {
        Ok(team) => team,
        Err(refusal) => return refusal.response(),
    };
    if let Err(refusal) = find_job(&node, &team, &id).await {
        return refusal.response();
    }
    let wait = Duration::from_millis(node.settings.timing.deadline_ms);
    match node.propose(Act::JobCancel { jobs: vec![id.clone()] }, wait).await {
        Proposed::Folded(Outcome::Applied(_)) => accepted(&id),
        Proposed::Folded(Outcome::Void(reason)) => unavailable(&reason.to_string()).response(),
        Proposed::Withdrawn => unavailable("the log does not answer").response(),
        Proposed::Open => response_of(Err(Fault::may_have_run("the cancellation may still take effect"))),
    }
}

/// A job, after this host has caught up if it does not know it yet.
async fn find_job(node: &Node, team: &str, id: &str) -> Result<Job, Refusal> {
    if let Some(job) = own_job(node, team, id) {
        return Ok(job);
    }
    if !node.catch_up(Instant::now()).await {
        return Err(unavailable("this host cannot confirm its tables"));
    }
    own_job(node, team, id).ok_or_else(|| missing_job(id))
}

impl Node {
    /// Waits until all that was on the log at an instant is applied here; false if that takes too long.
    async fn catch_up(&self, since: Instant) -> bool {
        let until = since + 2 * Duration::from_millis(self.settings.timing.call_ms);
        loop {
            let changed = self.applied.notified();
            self.tail_kick.notify_one();
            if self.state.lock().read_log_since(since) {
                return true;
            }
            if left(until) == Duration::ZERO {
                return false;
            }
            let _ = tokio::time::timeout(left(until).min(CATCH_UP_PAUSE), changed).await;
        }
    }
}

/// A job, unless it belongs to another team.
fn own_job(node: &Node, team: &str, id: &str) -> Option<Job> {
    node.state.lock().tables.jobs.get(id).filter(|job| job.team == team).cloned()
}

fn json_response(value: &impl serde::Serialize) -> Response {
    match serde_json::to_string(value) {
        Ok(text) => Response::builder().content_type("application/json").body(text),
        Err(error) => response_of(Err(Fault::may_have_run(error.to_string()))),
    }
}

fn missing_job(id: &str) -> Refusal {
    Refusal { status: StatusCode::NOT_FOUND, reason: format!("there is no job {id}") }
}

fn leaving() -> Refusal {
    unavailable("this host is leaving")
}

fn unavailable(reason: &str) -> Refusal {
    Refusal { status: StatusCode::SERVICE_UNAVAILABLE, reason: reason.to_owned() }
}

fn unauthorized(reason: &str) -> Refusal {
    Refusal { status: StatusCode::UNAUTHORIZED, reason: reason.to_owned() }
}

impl Refusal {
    fn response(self) -> Response {
        metrics::counter!("lagoonrelay_refusals_total", "status" => self.status.as_u16().to_string())
            .increment(1);
        let builder =
            Response::builder().status(self.status).header(VERDICT_HEADER, Verdict::NotRun.as_str());
        let busy = self.status == StatusCode::SERVICE_UNAVAILABLE;
        let builder = if busy { builder.header(header::RETRY_AFTER, RETRY_AFTER_SECONDS) } else { builder };
        builder.body(self.reason)
    }
}

/// Maps a result to HTTP.
fn response_of(done: Result<Answer, Fault>) -> Response {
    match done {
        Ok(answer) => Response::builder()
            .status(answer.status)
            .header(VERDICT_HEADER, Verdict::Ran.as_str())
            .body(answer.body),
        Err(fault) if fault.verdict == Verdict::NotRun => unavailable(&fault.reason).response(),
        Err(fault) => Response::builder()
            .status(StatusCode::GATEWAY_TIMEOUT)
            .header(VERDICT_HEADER, fault.verdict.as_str())
            .body(fault.reason),
    }
}

fn count(done: &Result<Answer, Fault>, team: &str) {
    let verdict = match done {
        Ok(_) => Verdict::Ran,
        Err(fault) => fault.verdict,
    };
    metrics::counter!("lagoonrelay_requests_total", "verdict" => verdict.as_str(), "team" => team.to_owned())
        .increment(1);
}
