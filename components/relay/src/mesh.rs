//! Connections between daemons.
//!
//! Requests and replies are length-delimited frames. One connection to a peer carries many requests at a
//! time; replies arrive in any order and are matched by id.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::answer_limit::AnswerLimit;
use crate::message::{Reply, Request, RequestBody};

/// Largest frame in bytes; requests with a job's text and steps are far smaller.
const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// Time limit for a connection attempt; one round trip between zones takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Most requests or replies that wait to be sent on one connection.
const QUEUE_CAPACITY: usize = 1024;

/// Channels for outstanding replies by request id.
type PendingReplies = Arc<Mutex<HashMap<u64, oneshot::Sender<Reply>>>>;

/// Why a request has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MeshError {
    /// The request was not sent.
    NotSent,
    /// The request was sent, but no reply came; it may have been carried out.
    NoReply,
}

/// Connections to other daemons.
#[derive(Debug)]
pub struct Mesh {
    local_addr: SocketAddr,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    /// How long to wait for each peer's answers.
    limits: Mutex<HashMap<SocketAddr, AnswerLimit>>,
    next_id: AtomicU64,
}

#[derive(Debug, Clone)]
struct Peer {
    requests: mpsc::Sender<Request>,
    pending: PendingReplies,
}

impl Mesh {
    /// A mesh without connections; `local_addr` is the address at which peers reach this daemon.
    #[must_use]
    pub fn new(local_addr: SocketAddr) -> Self {
        Self { local_addr, peers: Mutex::default(), limits: Mutex::default(), next_id: AtomicU64::default() }
    }

    /// Sends a request to a peer and waits for its reply: `usual`, or longer if the peer's answers take longer, but no
    /// longer than `most`.
    ///
    /// # Errors
    /// [`MeshError`] tells whether the request was sent.
    pub async fn request(
        &self,
        addr: SocketAddr,
        partition: u32,
        body: RequestBody,
        (usual, most): (Duration, Duration),
    ) -> Result<Reply, MeshError> {
        let limit = self.limits.lock().get(&addr).map_or(usual, |l| l.get().max(usual));
        let started = Instant::now();
        let reply = self.exchange(addr, partition, body, limit.min(most)).await;
        let elapsed = started.elapsed();
        match reply {
            Ok(_) => {
                metrics::histogram!("lagoonrelay_peer_answer_seconds").record(elapsed);
                self.limits.lock().entry(addr).or_default().answered(elapsed);
            }
            Err(MeshError::NoReply) => {
                metrics::counter!("lagoonrelay_peer_requests_unanswered_total").increment(1);
                self.limits.lock().entry(addr).or_default().unanswered(elapsed);
            }
            Err(MeshError::NotSent) => {}
        }
        reply
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        partition: u32,
        body: RequestBody,
        limit: Duration,
    ) -> Result<Reply, MeshError> {
        let peer = self.connect(addr).await.ok_or(MeshError::NotSent)?;
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        peer.pending.lock().insert(id, tx);
        let request = Request { id, partition, sender: self.local_addr.to_string(), body: Some(body) };
        if peer.requests.try_send(request).is_err() {
            peer.pending.lock().remove(&id);
            self.disconnect(addr, &peer);
            return Err(MeshError::NotSent);
        }
        match timeout(limit, rx).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(MeshError::NoReply),
            Err(_) => {
                // The connection may be dead without having been closed. The next request opens a new one; requests
                // that still wait on this one keep it.
                peer.pending.lock().remove(&id);
                self.disconnect(addr, &peer);
                Err(MeshError::NoReply)
            }
        }
    }

    /// Takes a connection out of use, unless a newer one has replaced it.
    fn disconnect(&self, addr: SocketAddr, peer: &Peer) {
        let mut peers = self.peers.lock();
        if peers.get(&addr).is_some_and(|p| p.requests.same_channel(&peer.requests)) {
            peers.remove(&addr);
        }
    }

    /// The open connection to a peer, or a new one.
    async fn connect(&self, addr: SocketAddr) -> Option<Peer> {
        if let Some(peer) = self.peers.lock().get(&addr).filter(|p| !p.requests.is_closed()) {
            return Some(peer.clone());
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (requests, queue) = mpsc::channel(QUEUE_CAPACITY);
        let peer = Peer { requests, pending: PendingReplies::default() };
        tokio::spawn(run_connection(stream, queue, Arc::clone(&peer.pending)));
        self.peers.lock().insert(addr, peer.clone());
        Some(peer)
    }
}

/// Sends queued requests and hands out replies until the connection or its owner ends.
async fn run_connection(stream: TcpStream, mut queue: mpsc::Receiver<Request>, pending: PendingReplies) {
    let mut frames = Framed::new(stream, codec());
    loop {
        tokio::select! {
            request = queue.recv() => {
                let Some(request) = request else { break };
                if frames.send(Bytes::from(request.encode_to_vec())).await.is_err() { break }
            }
            frame = frames.next() => {
                let Some(Ok(frame)) = frame else { break };
                let Ok(reply) = Reply::decode(frame) else { break };
                if let Some(reply_tx) = pending.lock().remove(&reply.id) {
                    // The requesting task may have given up.
                    let _ = reply_tx.send(reply);
                }
            }
        }
    }
    pending.lock().clear();
}

/// Serves requests of other daemons with `handler` until the process ends.
pub async fn serve<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // An error only means that replies may be delayed.
                drop(stream.set_nodelay(true));
                tokio::spawn(serve_connection(stream, handler.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "mesh: accept failed");
                tokio::time::sleep(CONNECT_TIMEOUT).await;
            }
        }
    }
}

async fn serve_connection<F, R>(stream: TcpStream, handler: F)
where
    F: Fn(Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    let (mut sink, mut frames) = Framed::new(stream, codec()).split();
    let (replies, mut outgoing) = mpsc::channel::<Reply>(QUEUE_CAPACITY);
    let writer = tokio::spawn(async move {
        while let Some(reply) = outgoing.recv().await {
            if sink.send(Bytes::from(reply.encode_to_vec())).await.is_err() {
                break;
            }
        }
    });
    while let Some(Ok(frame)) = frames.next().await {
        let Ok(request) = Request::decode(frame) else { break };
        let (handler, replies) = (handler.clone(), replies.clone());
        tokio::spawn(async move {
            let id = request.id;
            let reply = handler(request).await;
            // The connection may have ended.
            let _ = replies.send(Reply { id, ..reply }).await;
        });
    }
    writer.abort();
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
