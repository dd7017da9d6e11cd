//! HTTP client with a timeout and a maximum response size for every call.
//!
//! Connections are kept for each target. A call that times out closes its connection and the idle ones of its
//! target, so that connections which no longer respond are not reused. A call that was still waiting for a
//! connection when its time was over was not sent, and its fault says so.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::sync::Semaphore;

use crate::Fault;
use crate::connection::{Connection, IDLE_TIMEOUT, SendError, Target};

const MAX_IDLE_PER_TARGET: usize = 64;
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// An HTTP request, with its target and timeout.
#[derive(Debug)]
pub struct Fetch<'a> {
    /// Request method.
    pub method: Method,
    /// Target as `ip:port`.
    pub addr: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Extra headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Timeout; [`TimeoutScope`] says what it covers.
    pub timeout: Duration,
    /// What the timeout covers.
    pub scope: TimeoutScope,
}

/// What the timeout of a call covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TimeoutScope {
    /// The whole call, until the last byte of the response.
    #[default]
    Total,
    /// Each wait for the next part of the response, as a large response may take long on a slow link.
    Inactivity,
}

impl<'a> Fetch<'a> {
    /// A `GET` request without headers or body.
    #[must_use]
    pub fn get(addr: &'a str, path: &'a str, timeout: Duration) -> Self {
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        Self { method: Method::GET, addr, path, headers, body, timeout, scope: TimeoutScope::Total }
    }

    /// A `POST` request with a body.
    #[must_use]
    pub fn post(addr: &'a str, path: &'a str, body: Bytes, timeout: Duration) -> Self {
        let headers = HeaderMap::new();
        Self { method: Method::POST, addr, path, headers, body, timeout, scope: TimeoutScope::Total }
    }
}

/// A complete response.
#[derive(Debug)]
pub struct Fetched {
    /// Response status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

impl Fetched {
    /// Value of a header, if it is present and text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }
}

/// HTTP client that keeps connections for each target.
#[derive(Debug)]
pub struct Fetcher {
    targets: Mutex<Targets>,
    max_calls: usize,
    max_idle: usize,
}

#[derive(Debug)]
struct Targets {
    by_addr: HashMap<String, Arc<Target>>,
    /// When expired connections were last closed.
    expired_at: Instant,
}

impl Default for Fetcher {
    fn default() -> Self {
        Self::with_limits(Semaphore::MAX_PERMITS, MAX_IDLE_PER_TARGET)
    }
}

impl Fetcher {
    /// A client that opens a new connection for every call.
    #[must_use]
    pub fn unpooled() -> Self {
        Self::with_limits(Semaphore::MAX_PERMITS, 0)
    }

    /// A client with at most `max_calls` calls in flight, and as many connections, for each target. Further
    /// calls wait, within their timeouts.
    #[must_use]
    pub fn bounded(max_calls: usize) -> Self {
        Self::with_limits(max_calls, max_calls)
    }

    fn with_limits(max_calls: usize, max_idle: usize) -> Self {
        let targets = Targets { by_addr: HashMap::new(), expired_at: Instant::now() };
        Self { targets: Mutex::new(targets), max_calls, max_idle }
    }

    /// Sends one request and reads the whole response.
    ///
    /// # Errors
    /// [`Fault`] with `NotRun` if no byte was sent, else with `MayHaveRun`.
    pub async fn fetch(&self, call: Fetch<'_>) -> Result<Fetched, Fault> {
        let target = self.target(call.addr);
        let request = build_request(&call)?;
        let started = Instant::now();
        let admitted = tokio::time::timeout(call.timeout, async {
            let permit = target.admit().await?;
            Ok((permit, target.connection(call.addr).await?))
        });
        let (_permit, connection) = match admitted.await {
            Ok(admitted) => admitted?,
            Err(_) => {
                target.close_idle();
                return Err(Fault::not_run(format!("not sent to {} in {:?}", call.addr, call.timeout)));
            }
        };
        let fetched = match call.scope {
            TimeoutScope::Total => {
                let left = call.timeout.saturating_sub(started.elapsed());
                let exchange = exchange(&target, connection, &call, request, None);
                tokio::time::timeout(left, exchange).await.unwrap_or(Err(FetchError::TimedOut))
            }
            TimeoutScope::Inactivity => {
                exchange(&target, connection, &call, request, Some(call.timeout)).await
            }
        };
        fetched.map_err(|error| match error {
            FetchError::Fault(fault) => fault,
            FetchError::TimedOut => {
                target.close_idle();
                Fault::may_have_run(format!("no answer from {} in {:?}", call.addr, call.timeout))
            }
        })
    }

    fn target(&self, addr: &str) -> Arc<Target> {
        let mut targets = self.targets.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if targets.expired_at.elapsed() >= IDLE_TIMEOUT {
            targets.expired_at = Instant::now();
            // A target in use is also held by its calls.
            targets.by_addr.retain(|_, target| target.expire() || Arc::strong_count(target) > 1);
        }
        if let Some(target) = targets.by_addr.get(addr) {
            return Arc::clone(target);
        }
        let target = Arc::new(Target::new(self.max_calls, self.max_idle));
        targets.by_addr.insert(addr.to_owned(), Arc::clone(&target));
        target
    }
}

/// Why no complete response was received.
enum FetchError {
    Fault(Fault),
    TimedOut,
}

/// Sends a request and reads the whole response. The timeout covers the wait for the head and the wait for
/// each frame of the body.
async fn exchange(
    target: &Target,
    mut connection: Connection,
    call: &Fetch<'_>,
    request: Request<Full<Bytes>>,
    inactivity_timeout: Option<Duration>,
) -> Result<Fetched, FetchError> {
    let response = match with_timeout(inactivity_timeout, connection.send(request)).await? {
        Err(SendError::Stale(request)) => {
            connection = target.new_connection(call.addr).await.map_err(FetchError::Fault)?;
            with_timeout(inactivity_timeout, connection.send(*request)).await?
        }
        response => response,
    };
    let response = response.map_err(|error| match error {
        SendError::Fault(fault) => FetchError::Fault(fault),
        SendError::Stale(_) => FetchError::Fault(Fault::not_run("connection closed before the request")),
    })?;
    let fetched = read_response(response, inactivity_timeout).await?;
    target.put_back(connection);
    Ok(fetched)
}

async fn read_response(
    response: Response<Incoming>,
    inactivity_timeout: Option<Duration>,
) -> Result<Fetched, FetchError> {
    let (parts, body) = response.into_parts();
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    let mut bytes = BytesMut::new();
    while let Some(frame) = with_timeout(inactivity_timeout, body.frame()).await? {
        let interrupted = |e| FetchError::Fault(Fault::may_have_run(format!("answer broke off: {e}")));
        if let Ok(data) = frame.map_err(interrupted)?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(Fetched { status: parts.status, headers: parts.headers, body: bytes.freeze() })
}

async fn with_timeout<T>(limit: Option<Duration>, future: impl Future<Output = T>) -> Result<T, FetchError> {
    match limit {
        Some(limit) => tokio::time::timeout(limit, future).await.map_err(|_| FetchError::TimedOut),
        None => Ok(future.await),
    }
}

fn build_request(call: &Fetch<'_>) -> Result<Request<Full<Bytes>>, Fault> {
    let mut request = Request::builder()
        .method(&call.method)
        .uri(call.path)
        .header(http::header::HOST, call.addr)
        .body(Full::new(call.body.clone()))
        .map_err(|e| Fault::not_run(format!("bad request to {}: {e}", call.addr)))?;
    request.headers_mut().extend(call.headers.clone());
    Ok(request)
}
