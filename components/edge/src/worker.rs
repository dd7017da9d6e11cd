//! Workers: start a task under a lease, ask for it by id, stop it, revoke a lease.
//!
//! A worker keeps the ids it has seen for one boot. Stopping an id that it has not seen makes it refuse that
//! id later, which proves that the task did not run and will not.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{Call, Fault, Fetch, Fetched, Fetcher, Incarnation, VERDICT_HEADER, Verdict};

/// Header that carries the task id, both ways.
pub const TASK_HEADER: &str = "x-task";
/// Response header with the number of tasks running on the worker.
pub const RUNNING_HEADER: &str = "x-running";

/// Reason of a worker that refuses a start for want of a slot.
pub const REFUSED_FULL: &str = "no slot is free";
/// Reason of a worker that refuses a start because it knows the task id; the task may have run.
pub const REFUSED_SEEN: &str = "task id has been seen";
/// Header with the checkpoint that a task goes on from.
pub const RESUME_HEADER: &str = "x-resume";

/// How a task is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskKind {
    /// The answer comes with the response.
    Request,
    /// The response comes at once; the answer is asked for by id.
    Job,
}

/// A task to start.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// Unique id.
    pub id: String,
    /// Entry host incarnation under whose lease it runs.
    pub lease: Incarnation,
    /// Worker's boot that it is meant for.
    pub boot: u64,
    /// Team that is charged.
    pub team: String,
    /// Request or job.
    pub kind: TaskKind,
    /// Latest wall-clock start, in ms since the Unix epoch.
    pub not_after: u64,
    /// Path with query, as the caller sent it.
    pub path: String,
    /// Caller's body.
    pub body: Bytes,
    /// Checkpoint to go on from.
    pub resume: Option<String>,
}

/// A task's answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status for the caller.
    pub status: StatusCode,
    /// Whole body.
    pub body: Bytes,
    /// Tasks running on the worker when it answered.
    pub running: u32,
}

/// A task as its worker knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum TaskState {
    /// Not seen in this boot.
    Unseen,
    /// Running now.
    Running,
    /// Ended; body as text.
    Ended {
        /// Status for the caller.
        status: u16,
        /// Whole body.
        body: String,
    },
    /// Never ran and never will.
    Barred,
    /// Stopped while running.
    Stopped,
    /// Stopped while running; it can go on elsewhere.
    Checkpointed {
        /// What another worker needs to go on.
        token: String,
    },
}

/// A running task of a revoked lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasedTask {
    /// Task id.
    pub id: String,
    /// Team that is charged.
    pub team: String,
}

/// Usage report; it lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Identifies this run of the worker.
    pub boot: u64,
    /// Tasks running.
    pub running: u32,
    /// Tasks it can run at once.
    pub slots: u32,
}

/// All workers, reached by address.
pub trait Workers: Send + Sync + std::fmt::Debug {
    /// Starts a task; a request waits for its answer.
    fn start<'a>(&'a self, addr: &'a str, order: &'a StartOrder, timeout: Duration) -> Call<'a, Answer>;

    /// Asks for a task over a new connection.
    fn status<'a>(&'a self, addr: &'a str, id: &'a str) -> Call<'a, TaskState>;

    /// Bars an id that has not been seen; a seen one goes on.
    fn bar<'a>(&'a self, addr: &'a str, id: &'a str) -> Call<'a, TaskState>;

    /// Stops a task, or bars its id if it has not been seen.
    fn stop<'a>(&'a self, addr: &'a str, id: &'a str) -> Call<'a, TaskState>;

    /// Checkpoints a running task and stops it; any other is left as it is.
    fn checkpoint<'a>(&'a self, addr: &'a str, id: &'a str) -> Call<'a, TaskState>;

    /// Refuses all later starts under a lease and lists what still runs under it.
    fn revoke<'a>(&'a self, addr: &'a str, lease: Incarnation) -> Call<'a, Vec<LeasedTask>>;

    /// Reboots the worker; it comes back with a new boot.
    fn reboot<'a>(&'a self, addr: &'a str) -> Call<'a, ()>;

    /// Asks for a usage report.
    fn usage<'a>(&'a self, addr: &'a str) -> Call<'a, Usage>;
}

/// Workers over HTTP.
#[derive(Debug)]
pub struct HttpWorkers {
    timeout: Duration,
    pooled: Fetcher,
    fresh: Fetcher,
}

impl HttpWorkers {
    /// A client with a timeout for everything but starts.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self { timeout, pooled: Fetcher::default(), fresh: Fetcher::unpooled() }
    }

    async fn ask<T: for<'de> Deserialize<'de>>(&self, call: Fetch<'_>) -> Result<T, Fault> {
        let done = self.fresh.fetch(call).await?;
        if !done.status.is_success() {
            return Err(Fault::may_have_run(format!("worker answered {}", done.status)));
        }
        serde_json::from_slice(&done.body)
            .map_err(|e| Fault::may_have_run(format!("worker answer is malformed: {e}")))
    }
}

impl Workers for HttpWorkers {
    fn start<'a>(&'a self, addr: &'a str, order: &'a StartOrder, timeout: Duration) -> Call<'a, Answer> {
        Box::pin(async move {
            let headers = order_headers(order)?;
            let path = format!("/start{}", order.path);
            let call = Fetch { headers, ..Fetch::post(addr, &path, order.body.clone(), timeout) };
            read_answer(&order.id, self.pooled.fetch(call).await?)
        })
    }

    fn status<'a>(&'a self, addr: &'a str, id: &'a str) -> Call<'a, TaskState> {
        Box::pin(async move { self.ask(Fetch::get(addr, &format!("/status?id={id}"), self.timeout)).await })
    }

    fn bar<'a>(&'a self, addr: &'a str, id: &'a str) -> Call<'a, TaskState> {
        Box::pin(async move {
            self.ask(Fetch::post(addr, &format!("/bar?id={id}"), Bytes::new(), self.timeout)).await
        })
    }

    fn stop<'a>(&'a self, addr: &'a str, id: &'a str) -> Call<'a, TaskState> {
        Box::pin(async move {
            self.ask(Fetch::post(addr, &format!("/stop?id={id}"), Bytes::new(), self.timeout)).await
        })
    }

    fn checkpoint<'a>(&'a self, addr: &'a str, id: &'a str) -> Call<'a, TaskState> {
        Box::pin(async move {
            self.ask(Fetch::post(addr, &format!("/checkpoint?id={id}"), Bytes::new(), self.timeout)).await
        })
    }

    fn revoke<'a>(&'a self, addr: &'a str, lease: Incarnation) -> Call<'a, Vec<LeasedTask>> {
        Box::pin(async move {
            self.ask(Fetch::post(addr, &format!("/revoke?lease={lease}"), Bytes::new(), self.timeout)).await
        })
    }

    fn reboot<'a>(&'a self, addr: &'a str) -> Call<'a, ()> {
        Box::pin(async move { self.ask(Fetch::post(addr, "/reboot", Bytes::new(), self.timeout)).await })
    }

    fn usage<'a>(&'a self, addr: &'a str) -> Call<'a, Usage> {
        Box::pin(async move { self.ask(Fetch::get(addr, "/usage", self.timeout)).await })
    }
}

fn order_headers(order: &StartOrder) -> Result<HeaderMap, Fault> {
    let mut headers = HeaderMap::new();
    let mut put = |name: &'static str, value: &str| match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name, value);
            Ok(())
        }
        Err(_) => Err(Fault::not_run(format!("{name} is not a header value"))),
    };
    put(TASK_HEADER, &order.id)?;
    put("x-lease", &order.lease.to_string())?;
    put("x-boot", &order.boot.to_string())?;
    put("x-team", &order.team)?;
    put("x-kind", if order.kind == TaskKind::Job { "job" } else { "request" })?;
    put("x-not-after", &order.not_after.to_string())?;
    if let Some(token) = &order.resume {
        put(RESUME_HEADER, token)?;
    }
    Ok(headers)
}

fn read_answer(id: &str, done: Fetched) -> Result<Answer, Fault> {
    if done.header(VERDICT_HEADER) == Some(Verdict::NotRun.as_str()) {
        return Err(Fault::not_run(String::from_utf8_lossy(&done.body).into_owned()));
    }
    if done.header(TASK_HEADER) != Some(id) {
        return Err(Fault::may_have_run("worker answered for another task"));
    }
    let running = done.header(RUNNING_HEADER).and_then(|r| r.parse().ok()).unwrap_or(0);
    Ok(Answer { status: done.status, body: done.body, running })
}
