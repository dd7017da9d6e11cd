//! HTTP API for callers: requests to queues.
//!
//! `ANY /q/QUEUE/PATH` runs a request. Every response carries the verdict header. A request is not cancelled
//! when its caller disconnects, so that its outcome is always known. The API for jobs is in `job_api`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use edge::{Answer, Fault, TaskKind, VERDICT_HEADER, Verdict};
use poem::http::{Method, StatusCode, header};
use poem::web::Data;
use poem::{Body, EndpointExt, Request, Response, Route, get, handler, post};
use tokio::net::TcpListener;

use crate::admission::SlotRequest;
use crate::attempt::{ProbePolicy, Task, TaskEnd};
use crate::job_api;
use crate::node::{Node, time_left};

const RETRY_AFTER_SECONDS: &str = "1";
const KEY_HEADER: &str = "idempotency-key";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const URGENT_HEADER: &str = "x-urgent";
const MAX_KEY_BYTES: usize = 256;
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// An authorized request of a caller.
#[derive(Debug, Clone)]
pub struct WorkItem {
    /// What it needs for its admission.
    pub slot_request: SlotRequest,
    /// Path with query for the worker.
    pub path: String,
    /// Body sent by the caller.
    pub body: Bytes,
    /// Time at which the caller gives up.
    pub deadline: Instant,
}

/// Whether a request may be run more than once.
pub(crate) enum Idempotency {
    /// Its HTTP method is idempotent: it may be run any number of times.
    ByMethod,
    /// It is not idempotent: it is not retried once it may have run.
    NonIdempotent,
    /// It has an idempotency key, hashed into this id: it runs at most once, however often it is sent.
    ByKey(String),
}

/// A response to a request that is rejected before anything ran.
pub(crate) struct Rejection {
    pub(crate) status: StatusCode,
    pub(crate) reason: String,
}

/// Serves callers until the node stops.
pub async fn listen(node: Arc<Node>, listener: TcpListener) {
    let app = Route::new()
        .at("/ready", get(get_ready))
        .at("/q/:queue/*path", run_request)
        .at("/jobs", get(job_api::list_jobs))
        .at("/jobs/:job", get(job_api::get_job).delete(job_api::cancel_job))
        .at("/jobs/:queue/*path", post(job_api::accept_job))
        .data(node);
    let Ok(acceptor) = poem::listener::TcpAcceptor::from_tokio(listener) else {
        return;
    };
    if let Err(error) = poem::Server::new_with_acceptor(acceptor).run(app).await {
        tracing::error!("serve: HTTP server failed: {error}");
    }
}

#[handler]
fn get_ready(node: Data<&Arc<Node>>) -> StatusCode {
    let state = node.state.lock();
    let ready = !state.leaving && state.confirmed_until(Instant::now(), node.confirmation_ttl()).is_some();
    if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

#[handler]
async fn run_request(node: Data<&Arc<Node>>, request: &Request, body: Body) -> Response {
    let queue = request.raw_path_param("queue").unwrap_or_default().to_owned();
    let (work, team) = match read_work_item(&node, request, &queue, body).await {
        Ok(read) => read,
        Err(rejection) => return rejection.response(),
    };
    let idempotency = match idempotency_of(request, &team) {
        Ok(idempotency) => idempotency,
        Err(rejection) => return rejection.response(),
    };
    let Some(open_request) = OpenRequest::begin(&node) else {
        return host_leaving().response();
    };
    let task = tokio::spawn(async move {
        let result = open_request.0.run_item(&work, idempotency).await;
        count_verdict(&result, &work.slot_request.team);
        result
    });
    match task.await {
        Ok(result) => to_response(result),
        Err(_) => to_response(Err(Fault::may_have_run("internal error"))),
    }
}

/// Counts a request as open until dropped.
pub(crate) struct OpenRequest(Arc<Node>);

impl OpenRequest {
    pub(crate) fn begin(node: &Arc<Node>) -> Option<Self> {
        let mut state = node.state.lock();
        if state.leaving {
            return None;
        }
        state.open_requests += 1;
        Some(Self(Arc::clone(node)))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.state.lock().open_requests -= 1;
    }
}

impl Node {
    async fn run_item(self: &Arc<Self>, work: &WorkItem, idempotency: Idempotency) -> Result<Answer, Fault> {
        match idempotency {
            Idempotency::ByMethod => self.run_idempotent(work).await,
            Idempotency::NonIdempotent => self.run_non_idempotent(work).await,
            Idempotency::ByKey(id) => self.run_keyed(&id, work).await,
        }
    }

    /// Retries a request within its deadline as long as it has not run.
    async fn run_non_idempotent(self: &Arc<Self>, work: &WorkItem) -> Result<Answer, Fault> {
        let mut slot_request = work.slot_request.clone();
        loop {
            let slot = self.admit(&slot_request, self.queue_deadline(work.deadline)).await?;
            let placement = slot.placement();
            match self.attempt(slot, &work.task(ProbePolicy::UntilDeadline), work.deadline).await {
                TaskEnd::Answered(answer) => return Ok(answer),
                TaskEnd::Unknown { reason } => return Err(Fault::may_have_run(reason)),
                TaskEnd::NotRun { reason, .. } if time_left(work.deadline) < RETRY_DELAY => {
                    return Err(Fault::not_run(reason));
                }
                TaskEnd::NotRun { full, .. } => {
                    slot_request.failures.extend((!full).then_some(placement));
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Retries a request that has not run, and within the retry budget also one that failed or may have run.
    async fn run_idempotent(self: &Arc<Self>, work: &WorkItem) -> Result<Answer, Fault> {
        let mut slot_request = work.slot_request.clone();
        let mut attempts = Attempts::default();
        self.retry_budget.deposit(self.settings.limits.retry_percent);
        loop {
            let slot = match self.admit(&slot_request, self.queue_deadline(work.deadline)).await {
                Ok(slot) => slot,
                Err(fault) => return attempts.final_result(Err(fault)),
            };
            let placement = slot.placement();
            let end =
                self.attempt(slot, &work.task(ProbePolicy::FailFast), self.attempt_deadline(work)).await;
            let has_time = time_left(work.deadline) > RETRY_DELAY;
            let result = match end {
                TaskEnd::Answered(answer) if !answer.status.is_server_error() => return Ok(answer),
                TaskEnd::Answered(answer) => Ok(answer),
                TaskEnd::Unknown { reason } => Err(Fault::may_have_run(reason)),
                TaskEnd::NotRun { full: true, .. } if has_time => {
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
                TaskEnd::NotRun { reason, .. } => Err(Fault::not_run(reason)),
            };
            attempts.record(&result);
            let is_last = attempts.count >= self.settings.limits.tries || !has_time;
            if is_last || !(not_run(&result) || self.retry_budget.try_withdraw()) {
                return attempts.final_result(result);
            }
            metrics::counter!("lagoonrelay_retries_total").increment(1);
            slot_request.failures.push(placement);
        }
    }

    /// Deadline of an attempt: it leaves time for another attempt.
    fn attempt_deadline(&self, work: &WorkItem) -> Instant {
        let half = Instant::now() + time_left(work.deadline) / 2;
        half.max(Instant::now() + Duration::from_millis(self.settings.timing.probe_ms)).min(work.deadline)
    }
}

/// Attempts of one idempotent request so far.
#[derive(Default)]
struct Attempts {
    count: u32,
    /// Result of the last attempt that ran or may have run.
    last_run: Option<Result<Answer, Fault>>,
}

impl Attempts {
    fn record(&mut self, result: &Result<Answer, Fault>) {
        self.count += 1;
        if !not_run(result) {
            self.last_run = Some(result.clone());
        }
    }

    /// Result for the caller: `NotRun` only if no attempt ran or may have run.
    fn final_result(self, result: Result<Answer, Fault>) -> Result<Answer, Fault> {
        if not_run(&result) { self.last_run.unwrap_or(result) } else { result }
    }
}

fn not_run(result: &Result<Answer, Fault>) -> bool {
    matches!(result, Err(fault) if fault.verdict == Verdict::NotRun)
}

impl WorkItem {
    /// Creates a task with a new id.
    fn task(&self, probe_policy: ProbePolicy) -> Task {
        let id = format!("r{:016x}{:016x}", rand::random::<u64>(), rand::random::<u64>());
        Task {
            id,
            kind: TaskKind::Request,
            path: self.path.clone(),
            body: self.body.clone(),
            resume: None,
            probe_policy,
        }
    }
}

pub(crate) async fn read_work_item(
    node: &Arc<Node>,
    request: &Request,
    queue: &str,
    body: Body,
) -> Result<(WorkItem, String), Rejection> {
    let slot_request = authorize(node, request, queue)?;
    let most = node.settings.limits.body_bytes;
    let bytes = body.into_bytes_limit(most).await.map_err(|_| Rejection {
        status: StatusCode::PAYLOAD_TOO_LARGE,
        reason: format!("body is broken off or longer than {most} bytes"),
    })?;
    let requested_ms = request.header(DEADLINE_HEADER).and_then(|ms| ms.parse().ok());
    let max_ms = node.settings.timing.deadline_ms;
    let time_limit = Duration::from_millis(requested_ms.unwrap_or(max_ms).min(max_ms));
    let team = slot_request.team.clone();
    let path = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
    Ok((WorkItem { slot_request, path, body: bytes, deadline: Instant::now() + time_limit }, team))
}

/// Determines the team that is charged, before anything is queued.
fn authorize(node: &Node, request: &Request, queue: &str) -> Result<SlotRequest, Rejection> {
    let state = node.state.lock();
    if state.leaving {
        return Err(host_leaving());
    }
    if state.confirmed_until(Instant::now(), node.confirmation_ttl()).is_none() {
        return Err(unavailable("this host cannot confirm its configuration"));
    }
    let queue_entry = state.tables.queues.get(queue).ok_or_else(|| Rejection {
        status: StatusCode::NOT_FOUND,
        reason: format!("there is no queue {queue}"),
    })?;
    let team = match bearer(request) {
        Some(secret) => {
            node.team_of_key(&state.tables, secret).ok_or_else(|| unauthorized("key is not granted"))?
        }
        None => queue_entry.open_team.clone().ok_or_else(|| unauthorized("a key is needed"))?,
    };
    let urgent = request.header(URGENT_HEADER) == Some("true");
    Ok(SlotRequest { team, pool: queue_entry.pool.clone(), urgent, failures: Vec::new() })
}

/// Secret in the authorization header.
pub(crate) fn bearer(request: &Request) -> Option<&str> {
    request.header(header::AUTHORIZATION)?.strip_prefix("Bearer ")
}

pub(crate) fn idempotency_of(request: &Request, team: &str) -> Result<Idempotency, Rejection> {
    let Some(key) = request.header(KEY_HEADER) else {
        let idempotent_methods = [Method::GET, Method::HEAD, Method::PUT, Method::DELETE, Method::OPTIONS];
        let is_idempotent = idempotent_methods.contains(request.method());
        return Ok(if is_idempotent { Idempotency::ByMethod } else { Idempotency::NonIdempotent });
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let reason = format!("{KEY_HEADER} must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(Rejection { status: StatusCode::BAD_REQUEST, reason });
    }
    let mut hasher = blake3::Hasher::new();
    hasher.update(team.as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    Ok(Idempotency::ByKey(format!("k{}", &hasher.finalize().to_hex()[..32])))
}

pub(crate) fn json_response(value: &impl serde::Serialize) -> Response {
    match serde_json::to_string(value) {
        Ok(text) => Response::builder().content_type("application/json").body(text),
        Err(error) => to_response(Err(Fault::may_have_run(error.to_string()))),
    }
}

pub(crate) fn host_leaving() -> Rejection {
    unavailable("this host is leaving")
}

pub(crate) fn unavailable(reason: &str) -> Rejection {
    Rejection { status: StatusCode::SERVICE_UNAVAILABLE, reason: reason.to_owned() }
}

pub(crate) fn unauthorized(reason: &str) -> Rejection {
    Rejection { status: StatusCode::UNAUTHORIZED, reason: reason.to_owned() }
}

impl Rejection {
    pub(crate) fn response(self) -> Response {
        metrics::counter!("lagoonrelay_refusals_total", "status" => self.status.as_u16().to_string())
            .increment(1);
        let builder =
            Response::builder().status(self.status).header(VERDICT_HEADER, Verdict::NotRun.as_str());
        let busy = self.status == StatusCode::SERVICE_UNAVAILABLE;
        let builder = if busy { builder.header(header::RETRY_AFTER, RETRY_AFTER_SECONDS) } else { builder };
        builder.body(self.reason)
    }
}

/// Converts a result to an HTTP response.
pub(crate) fn to_response(result: Result<Answer, Fault>) -> Response {
    match result {
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

fn count_verdict(result: &Result<Answer, Fault>, team: &str) {
    let verdict = match result {
        Ok(_) => Verdict::Ran,
        Err(fault) => fault.verdict,
    };
    metrics::counter!("lagoonrelay_requests_total", "verdict" => verdict.as_str(), "team" => team.to_owned())
        .increment(1);
}
