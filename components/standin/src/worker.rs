//! Stand-in for a worker host.
//!
//! The query of a start request sets how long the task works (`work_ms`) and whether it fails (`fail`). The
//! answer repeats the request's body, so that a caller can check that it got the answer to its own request.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use edge::{
    Incarnation, LeasedTask, REFUSED_FULL, REFUSED_SEEN, RESUME_HEADER, RUNNING_HEADER, TASK_HEADER,
    TaskState, Usage, VERDICT_HEADER, Verdict, wall_ms,
};
use parking_lot::Mutex;
use poem::http::StatusCode;
use poem::web::{Data, Json, Query};
use poem::{EndpointExt, IntoEndpoint, Request, Response, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Fault that a worker injects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultMode {
    /// No fault.
    #[default]
    #[serde(rename = "well")]
    Healthy,
    /// Every task that it starts ends with status 500.
    Failing,
    /// It runs tasks, but never answers the start of a task that is not a job.
    LosingAnswers,
}

/// One task that the worker started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Task id.
    pub id: String,
    /// Team that is charged.
    pub team: String,
    /// Lease under which it runs.
    pub lease: Incarnation,
    /// Body of the caller's request.
    pub body: String,
    /// True if it resumed from a checkpoint.
    pub resumed: bool,
    /// Start, in ms since the Unix epoch.
    pub started: u64,
    /// End, in ms since the Unix epoch; 0 while it runs.
    pub ended: u64,
}

/// Shared state of one worker.
#[derive(Debug)]
pub struct Store {
    /// Incarnation of the worker; a reboot raises it.
    boot: AtomicU64,
    slots: u32,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    tasks: HashMap<String, TaskState>,
    stop_signals: HashMap<String, Arc<StopSignal>>,
    revoked: HashSet<Incarnation>,
    records: Vec<Record>,
    /// Index into `records` by task id.
    record_index: HashMap<String, usize>,
    running: u32,
    fault: FaultMode,
}

/// Signal that ends a running task early.
#[derive(Debug, Default)]
struct StopSignal {
    notify: Notify,
    /// True if the task is to end at a checkpoint.
    checkpoint: AtomicBool,
}

/// Decision on a start request.
enum Admission {
    Run(Arc<StopSignal>),
    Refuse(&'static str),
}

/// Start request of an entry host.
struct StartOrder {
    id: String,
    team: String,
    lease: Incarnation,
    /// Incarnation of the worker that the request is meant for.
    boot: u64,
    /// Latest time of the start, in ms since the Unix epoch.
    not_after: u64,
    body: String,
    /// Work done before the checkpoint, in ms.
    done_ms: u64,
}

#[derive(Debug, Deserialize)]
struct WorkQuery {
    #[serde(default)]
    work_ms: u64,
    #[serde(default)]
    fail: bool,
}

#[derive(Debug, Deserialize)]
struct TaskQuery {
    id: String,
}

#[derive(Debug, Deserialize)]
struct LeaseQuery {
    lease: Incarnation,
}

impl Store {
    /// Creates a worker with a number of slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self { boot: AtomicU64::new(wall_ms()), slots, inner: Mutex::default() }
    }

    /// Returns a record of every task that it has started.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.inner.lock().records.clone()
    }

    fn boot(&self) -> u64 {
        self.boot.load(Ordering::SeqCst)
    }

    /// Stops and forgets all tasks and starts a new incarnation; only the records stay.
    fn reboot(&self) {
        let mut inner = self.inner.lock();
        inner.stop_signals.values().for_each(|stop| stop.notify.notify_one());
        inner.tasks.clear();
        inner.revoked.clear();
        self.boot.fetch_add(1, Ordering::SeqCst);
    }

    /// Records the task as running, or gives the reason why it is refused.
    fn admit(&self, order: &StartOrder) -> Admission {
        let mut inner = self.inner.lock();
        if inner.tasks.contains_key(&order.id) {
            return Admission::Refuse(REFUSED_SEEN);
        }
        if inner.revoked.contains(&order.lease) {
            return Admission::Refuse("lease is revoked");
        }
        if order.boot != self.boot() {
            return Admission::Refuse("worker has restarted");
        }
        if wall_ms() > order.not_after {
            return Admission::Refuse("start deadline has passed");
        }
        if inner.running >= self.slots {
            return Admission::Refuse(REFUSED_FULL);
        }
        let stop = Arc::new(StopSignal::default());
        inner.start(order, Arc::clone(&stop));
        Admission::Run(stop)
    }

    /// Stores the final state of a task and returns the number of tasks that still run.
    fn finish(&self, id: &str, state: TaskState) -> u32 {
        let mut inner = self.inner.lock();
        inner.running -= 1;
        inner.stop_signals.remove(id);
        if let Some(index) = inner.record_index.get(id).copied() {
            inner.records[index].ended = wall_ms();
        }
        inner.tasks.insert(id.to_owned(), state);
        inner.running
    }

    /// Runs an admitted task until its work is done or it is stopped.
    async fn run_task(&self, order: &StartOrder, work: &WorkQuery, stop: &StopSignal) -> TaskState {
        let started = Instant::now();
        let remaining_ms = work.work_ms.saturating_sub(order.done_ms);
        let failing = self.inner.lock().fault == FaultMode::Failing;
        let state = tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(remaining_ms)) =>
                ended_state(order, work.fail || failing),
            () = stop.notify.notified() =>
                stopped_state(order, started.elapsed(), stop.checkpoint.load(Ordering::SeqCst)),
        };
        self.finish(&order.id, state.clone());
        state
    }
}

impl Inner {
    fn start(&mut self, order: &StartOrder, stop: Arc<StopSignal>) {
        self.running += 1;
        self.tasks.insert(order.id.clone(), TaskState::Running);
        self.stop_signals.insert(order.id.clone(), stop);
        self.record_index.insert(order.id.clone(), self.records.len());
        self.records.push(Record {
            id: order.id.clone(),
            team: order.team.clone(),
            lease: order.lease,
            body: order.body.clone(),
            resumed: order.done_ms > 0,
            started: wall_ms(),
            ended: 0,
        });
    }

    /// Bars an id that has not been seen, so that a later start is refused; returns the state of its task.
    fn bar(&mut self, id: String) -> TaskState {
        self.tasks.entry(id).or_insert(TaskState::Barred).clone()
    }
}

/// State of a task that was stopped; the token of a checkpoint is the time worked so far, in ms.
fn stopped_state(order: &StartOrder, worked: Duration, checkpoint: bool) -> TaskState {
    if !checkpoint {
        return TaskState::Stopped;
    }
    let worked = u64::try_from(worked.as_millis()).unwrap_or(u64::MAX);
    TaskState::Checkpointed { token: order.done_ms.saturating_add(worked).to_string() }
}

fn ended_state(order: &StartOrder, fail: bool) -> TaskState {
    let status = if fail { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
    TaskState::Ended { status: status.as_u16(), body: format!("done {}", order.body) }
}

/// Returns the worker as an HTTP application.
pub fn app(store: Arc<Store>) -> impl IntoEndpoint {
    Route::new()
        .at("/start/*path", post(start_task))
        .at("/status", get(get_status))
        .at("/bar", post(bar_task))
        .at("/stop", post(stop_task))
        .at("/checkpoint", post(checkpoint_task))
        .at("/revoke", post(revoke_lease))
        .at("/reboot", post(reboot_worker))
        .at("/usage", get(get_usage))
        .at("/record", get(get_records))
        .at("/mood", post(set_fault))
        .data(store)
}

#[handler]
async fn start_task(
    store: Data<&Arc<Store>>,
    request: &Request,
    Query(work): Query<WorkQuery>,
    body: String,
) -> poem::Result<Response> {
    let order = parse_order(request, body)?;
    let is_job = request.header("x-kind") == Some("job");
    let stop = match store.admit(&order) {
        Admission::Run(stop) => stop,
        Admission::Refuse(reason) => return Ok(refusal(reason)),
    };
    let store = Arc::clone(&store);
    let id = order.id.clone();
    let task = {
        let store = Arc::clone(&store);
        tokio::spawn(async move { store.run_task(&order, &work, &stop).await })
    };
    if is_job {
        return Ok(answer(&store, &id, StatusCode::ACCEPTED, String::new()));
    }
    let state = task.await.map_err(poem::error::InternalServerError)?;
    if store.inner.lock().fault == FaultMode::LosingAnswers {
        std::future::pending::<()>().await;
    }
    Ok(match state {
        TaskState::Ended { status, body } => {
            answer(&store, &id, StatusCode::from_u16(status).unwrap_or(StatusCode::OK), body)
        }
        _ => answer(&store, &id, StatusCode::GONE, "stopped".into()),
    })
}

fn parse_order(request: &Request, body: String) -> poem::Result<StartOrder> {
    let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
    let number =
        |name: &str| header(name).parse::<u64>().map_err(|_| poem::Error::from(StatusCode::BAD_REQUEST));
    Ok(StartOrder {
        id: header(TASK_HEADER),
        team: header("x-team"),
        lease: number("x-lease")?,
        boot: number("x-boot")?,
        not_after: number("x-not-after")?,
        body,
        done_ms: header(RESUME_HEADER).parse().unwrap_or(0),
    })
}

fn refusal(reason: &str) -> Response {
    Response::builder()
        .status(StatusCode::CONFLICT)
        .header(VERDICT_HEADER, Verdict::NotRun.as_str())
        .body(reason.to_owned())
}

fn answer(store: &Store, id: &str, status: StatusCode, body: String) -> Response {
    let running = store.inner.lock().running;
    Response::builder()
        .status(status)
        .header(TASK_HEADER, id)
        .header(RUNNING_HEADER, running.to_string())
        .header(VERDICT_HEADER, Verdict::Ran.as_str())
        .body(body)
}

#[handler]
fn get_status(store: Data<&Arc<Store>>, Query(query): Query<TaskQuery>) -> Json<TaskState> {
    let inner = store.inner.lock();
    Json(inner.tasks.get(&query.id).cloned().unwrap_or(TaskState::Unseen))
}

#[handler]
fn bar_task(store: Data<&Arc<Store>>, Query(query): Query<TaskQuery>) -> Json<TaskState> {
    Json(store.inner.lock().bar(query.id))
}

#[handler]
fn stop_task(store: Data<&Arc<Store>>, Query(query): Query<TaskQuery>) -> Json<TaskState> {
    let mut inner = store.inner.lock();
    if let Some(stop) = inner.stop_signals.get(&query.id) {
        stop.notify.notify_one();
    }
    Json(inner.bar(query.id))
}

#[handler]
async fn checkpoint_task(store: Data<&Arc<Store>>, Query(query): Query<TaskQuery>) -> Json<TaskState> {
    let stop = store.inner.lock().stop_signals.get(&query.id).cloned();
    if let Some(stop) = stop {
        stop.checkpoint.store(true, Ordering::SeqCst);
        stop.notify.notify_one();
        while store.inner.lock().stop_signals.contains_key(&query.id) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    let inner = store.inner.lock();
    Json(inner.tasks.get(&query.id).cloned().unwrap_or(TaskState::Unseen))
}

#[handler]
fn revoke_lease(store: Data<&Arc<Store>>, Query(query): Query<LeaseQuery>) -> Json<Vec<LeasedTask>> {
    let mut inner = store.inner.lock();
    inner.revoked.insert(query.lease);
    let running = inner.records.iter().filter(|r| r.lease == query.lease && r.ended == 0);
    Json(running.map(|r| LeasedTask { id: r.id.clone(), team: r.team.clone() }).collect())
}

#[handler]
fn reboot_worker(store: Data<&Arc<Store>>) -> Json<()> {
    store.reboot();
    Json(())
}

#[handler]
fn get_usage(store: Data<&Arc<Store>>) -> Json<Usage> {
    let running = store.inner.lock().running;
    Json(Usage { boot: store.boot(), running, slots: store.slots })
}

#[handler]
fn get_records(store: Data<&Arc<Store>>) -> Json<Vec<Record>> {
    Json(store.records())
}

#[handler]
fn set_fault(store: Data<&Arc<Store>>, Json(fault): Json<FaultMode>) {
    store.inner.lock().fault = fault;
}
