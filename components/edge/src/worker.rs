//! Client of the workers: starts a task under a lease, queries and stops it by id, and revokes leases.
//!
//! A worker remembers the task ids that it has seen until it restarts. Stopping an unknown id makes the worker
//! refuse that id later, which proves that the task did not run and will not.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{Call, Fault, Fetch, Fetched, Fetcher, Incarnation, VERDICT_HEADER, Verdict};

/// Header with the task id, in requests and responses.
pub const TASK_HEADER: &str = "x-task";
/// Response header with the number of tasks running on the worker.
pub const RUNNING_HEADER: &str = "x-running";

/// Reason of a refused start: the worker has no free slot.
pub const REFUSED_FULL: &str = "no slot is free";
/// Reason of a refused start: the worker knows the task id, so the task may have run.
pub const REFUSED_SEEN: &str = "task id has been seen";
/// Header with the checkpoint from which a task resumes.
pub const RESUME_HEADER: &str = "x-resume";

/// How the result of a task is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskKind {
    /// The response carries the result.
    Request,
    /// The response is immediate; the result is queried by task id.
    Job,
}

/// Order to start a task.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// Unique task id.
    pub id: String,
    /// Incarnation of the entry host under whose lease the task runs.
    pub lease: Incarnation,
    /// Incarnation of the worker that the order is meant for; a restarted worker refuses it.
    pub boot: u64,
    /// Team that is charged.
    pub team: String,
    /// Request or job.
    pub kind: TaskKind,
    /// Latest start by the wall clock, in milliseconds since the Unix epoch.
    pub not_after: u64,
    /// Path with query of the caller's request.
    pub path: String,
    /// Body of the caller's request.
    pub body: Bytes,
    /// Checkpoint from which the task resumes.
    pub resume: Option<String>,
}

/// Response of a worker to a started task.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status for the caller.
    pub status: StatusCode,
    /// Response body.
    pub body: Bytes,
    /// Number of tasks running on the worker at the time of the response.
    pub running: u32,
}

/// State of a task at its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum TaskState {
    /// The worker has not seen the id since it started.
    Unseen,
    /// Running.
    Running,
    /// Ended, with its result.
    Ended {
        /// Status for the caller.
        status: u16,
        /// Response body as text.
        body: String,
    },
    /// The worker refuses the id: the task did not run and will not.
    Barred,
    /// Stopped while running.
    Stopped,
    /// Stopped at a checkpoint; another worker can resume it.
    Checkpointed {
        /// Checkpoint from which another worker resumes.
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

/// Usage report of a worker; it may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Incarnation of the worker.
    pub boot: u64,
    /// Number of running tasks.
    pub running: u32,
    /// Number of tasks that it can run at once.
    pub slots: u32,
}

/// Operations of the workers, which are addressed by `ip:port`.
pub trait Workers: Send + Sync + std::fmt::Debug {
    /// Starts a task; for a request, waits for its result.
    fn start<'a>(&'a self, addr: &'a str, order: &'a StartOrder, timeout: Duration) -> Call<'a, Answer>;

    /// Queries the state of a task over a new connection.
    fn status<'a>(&'a self, addr: &'a str, id: &'a str) -> Call<'a, TaskState>;

    /// Makes the worker refuse a task id that it has not seen; a known task is left unchanged.
    fn bar<'a>(&'a self, addr: &'a str, id: &'a str) -> Call<'a, TaskState>;

    /// Stops a task; if the worker has not seen the id, makes it refuse the id.
    fn stop<'a>(&'a self, addr: &'a str, id: &'a str) -> Call<'a, TaskState>;

    /// Checkpoints and stops a running task; a task in another state is left unchanged.
    fn checkpoint<'a>(&'a self, addr: &'a str, id: &'a str) -> Call<'a, TaskState>;

    /// Makes the worker refuse all later starts under a lease and lists the tasks that still run under it.
    fn revoke<'a>(&'a self, addr: &'a str, lease: Incarnation) -> Call<'a, Vec<LeasedTask>>;

    /// Reboots the worker, which gives it a new incarnation.
    fn reboot<'a>(&'a self, addr: &'a str) -> Call<'a, ()>;

    /// Queries the usage report.
    fn usage<'a>(&'a self, addr: &'a str) -> Call<'a, Usage>;
}

/// Client of the workers over HTTP. Starts use pooled connections; every other call opens a new one.
#[derive(Debug)]
pub struct HttpWorkers {
    timeout: Duration,
    pooled: Fetcher,
    unpooled: Fetcher,
}

impl HttpWorkers {
    /// A client; the timeout applies to all calls except starts.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self { timeout, pooled: Fetcher::default(), unpooled: Fetcher::unpooled() }
    }

    async fn call<T: for<'de> Deserialize<'de>>(&self, call: Fetch<'_>) -> Result<T, Fault> {
        let response = self.unpooled.fetch(call).await?;
        if !response.status.is_success() {
            return Err(Fault::may_have_run(format!("worker answered {}", response.status)));
        }
        serde_json::from_slice(&response.body)
            .map_err(|e| Fault::may_have_run(format!("worker answer is malformed: {e}")))
    }
}

impl Workers for HttpWorkers {
    fn start<'a>(&'a self, addr: &'a str, order: &'a StartOrder, timeout: Duration) -> Call<'a, Answer> {
        Box::pin(async move {
            let headers = start_headers(order)?;
            let path = format!("/start{}", order.path);
            let call = Fetch { headers, ..Fetch::post(addr, &path, order.body.clone(), timeout) };
            parse_answer(&order.id, self.pooled.fetch(call).await?)
        })
    }

    fn status<'a>(&'a self, addr: &'a str, id: &'a str) -> Call<'a, TaskState> {
        Box::pin(async move { self.call(Fetch::get(addr, &format!("/status?id={id}"), self.timeout)).await })
    }

    fn bar<'a>(&'a self, addr: &'a str, id: &'a str) -> Call<'a, TaskState> {
        Box::pin(async move {
            self.call(Fetch::post(addr, &format!("/bar?id={id}"), Bytes::new(), self.timeout)).await
        })
    }

    fn stop<'a>(&'a self, addr: &'a str, id: &'a str) -> Call<'a, TaskState> {
        Box::pin(async move {
            self.call(Fetch::post(addr, &format!("/stop?id={id}"), Bytes::new(), self.timeout)).await
        })
    }

    fn checkpoint<'a>(&'a self, addr: &'a str, id: &'a str) -> Call<'a, TaskState> {
        Box::pin(async move {
            self.call(Fetch::post(addr, &format!("/checkpoint?id={id}"), Bytes::new(), self.timeout)).await
        })
    }

    fn revoke<'a>(&'a self, addr: &'a str, lease: Incarnation) -> Call<'a, Vec<LeasedTask>> {
        Box::pin(async move {
            self.call(Fetch::post(addr, &format!("/revoke?lease={lease}"), Bytes::new(), self.timeout)).await
        })
    }

    fn reboot<'a>(&'a self, addr: &'a str) -> Call<'a, ()> {
        Box::pin(async move { self.call(Fetch::post(addr, "/reboot", Bytes::new(), self.timeout)).await })
    }

    fn usage<'a>(&'a self, addr: &'a str) -> Call<'a, Usage> {
        Box::pin(async move { self.call(Fetch::get(addr, "/usage", self.timeout)).await })
    }
}

fn start_headers(order: &StartOrder) -> Result<HeaderMap, Fault> {
    let mut headers = HeaderMap::new();
    let mut insert = |name: &'static str, value: &str| match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name, value);
            Ok(())
        }
        Err(_) => Err(Fault::not_run(format!("{name} is not a header value"))),
    };
    insert(TASK_HEADER, &order.id)?;
    insert("x-lease", &order.lease.to_string())?;
    insert("x-boot", &order.boot.to_string())?;
    insert("x-team", &order.team)?;
    insert("x-kind", if order.kind == TaskKind::Job { "job" } else { "request" })?;
    insert("x-not-after", &order.not_after.to_string())?;
    if let Some(token) = &order.resume {
        insert(RESUME_HEADER, token)?;
    }
    Ok(headers)
}

fn parse_answer(id: &str, response: Fetched) -> Result<Answer, Fault> {
    if response.header(VERDICT_HEADER) == Some(Verdict::NotRun.as_str()) {
        return Err(Fault::not_run(String::from_utf8_lossy(&response.body).into_owned()));
    }
    if response.header(TASK_HEADER) != Some(id) {
        return Err(Fault::may_have_run("worker answered for another task"));
    }
    let running = response.header(RUNNING_HEADER).and_then(|r| r.parse().ok()).unwrap_or(0);
    Ok(Answer { status: response.status, body: response.body, running })
}
