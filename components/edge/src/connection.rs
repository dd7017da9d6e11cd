//! Open HTTP/1.1 connections to one target, with a limit on the calls in flight.
//!
//! A call takes an idle connection or opens one, and returns it once its response is complete. A connection
//! that is dropped before that is closed at once, so a call that times out leaves nothing behind. Idle
//! connections are reused from the newest, so that those which a short burst opened expire first.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::JoinHandle;

use crate::Fault;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an unused connection is closed.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// An open connection; closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Reads and writes the socket.
    driver: JoinHandle<()>,
    /// It has carried a request before.
    reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a request got no response head.
#[derive(Debug)]
pub(crate) enum SendError {
    /// A reused connection was closed before the request was sent; another connection may carry it.
    Stale(Box<Request<Full<Bytes>>>),
    /// The call failed.
    Fault(Fault),
}

impl Connection {
    async fn open(addr: &str) -> Result<Self, Fault> {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Fault::not_run(format!("cannot connect to {addr}: {error}"))),
            Err(_) => return Err(Fault::not_run(format!("no connection to {addr} in {CONNECT_TIMEOUT:?}"))),
        };
        stream
            .set_nodelay(true)
            .map_err(|e| Fault::not_run(format!("cannot set options of a connection to {addr}: {e}")))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| Fault::not_run(format!("cannot open an HTTP connection to {addr}: {e}")))?;
        // The error also reaches the call in progress, if there is one.
        let driver = tokio::spawn(async move { drop(connection.await) });
        Ok(Self { sender, driver, reused: false })
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(request).await.map_err(|mut error| match error.take_message() {
            Some(request) if self.reused => SendError::Stale(Box::new(request)),
            Some(_) => SendError::Fault(Fault::not_run(error.error().to_string())),
            None => SendError::Fault(Fault::may_have_run(error.error().to_string())),
        })
    }
}

/// Connections to one target.
#[derive(Debug)]
pub(crate) struct Target {
    /// Idle connections with the time of their last use, the newest last.
    idle: Mutex<Vec<(Connection, Instant)>>,
    calls: Semaphore,
    max_idle: usize,
}

impl Target {
    pub fn new(max_calls: usize, max_idle: usize) -> Self {
        Self { idle: Mutex::default(), calls: Semaphore::new(max_calls), max_idle }
    }

    /// Waits until another call may be in flight.
    pub async fn admit(&self) -> Result<SemaphorePermit<'_>, Fault> {
        self.calls.acquire().await.map_err(|e| Fault::not_run(e.to_string()))
    }

    /// The newest idle connection that is still open, or a new one.
    pub async fn connection(&self, addr: &str) -> Result<Connection, Fault> {
        while let Some(mut connection) = self.pop_idle() {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        Connection::open(addr).await
    }

    /// Opens a connection.
    pub async fn new_connection(&self, addr: &str) -> Result<Connection, Fault> {
        Connection::open(addr).await
    }

    /// Keeps a connection whose response is complete for later calls.
    pub fn put_back(&self, mut connection: Connection) {
        connection.reused = true;
        let mut idle = self.lock();
        if idle.len() < self.max_idle && !connection.sender.is_closed() {
            idle.push((connection, Instant::now()));
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.lock().clear();
    }

    /// Closes the connections that have expired; returns whether any is left.
    pub fn expire(&self) -> bool {
        let mut idle = self.lock();
        idle.retain(|(c, used)| used.elapsed() < IDLE_TIMEOUT && !c.sender.is_closed());
        !idle.is_empty()
    }

    fn pop_idle(&self) -> Option<Connection> {
        self.lock().pop().filter(|(_, used)| used.elapsed() < IDLE_TIMEOUT).map(|(c, _)| c)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(Connection, Instant)>> {
        self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
