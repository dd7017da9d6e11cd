//! Links to the other entry hosts, and the handling of calls received over them.
//!
//! Each host dials every other member. If a call gets no reply in time, its link is dropped and dialled
//! again, so a dead link is detected within seconds.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use edge::wall_ms;
use fold::Incarnation;
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use wire::{Body, ClaimReply, Envelope, Link, LogEntries, RawEntry};

use crate::idempotency::{claim_from, claim_message};
use crate::node::Node;
use crate::state::State;

const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const REDIAL_DELAY: Duration = Duration::from_millis(200);
const ENTRIES_PER_PAGE: usize = 500;
const ENTRY_BYTES_PER_PAGE: usize = 512 * 1024;

/// Links that this host dials.
#[derive(Debug, Default)]
pub struct Links {
    call_senders: Mutex<BTreeMap<Incarnation, mpsc::Sender<PeerCall>>>,
    next_call_id: AtomicU64,
}

/// A call to be sent to a peer.
#[derive(Debug)]
struct PeerCall {
    body: Body,
    reply: oneshot::Sender<Body>,
}

impl Links {
    /// Peers for which a link is maintained.
    pub fn peers(&self) -> Vec<Incarnation> {
        self.call_senders.lock().keys().copied().collect()
    }

    fn call_sender(&self, peer: Incarnation) -> Option<mpsc::Sender<PeerCall>> {
        self.call_senders.lock().get(&peer).cloned()
    }
}

impl Node {
    /// Calls one peer; returns `None` if no reply arrives in time.
    pub(crate) async fn call_peer(&self, peer: Incarnation, body: Body) -> Option<Body> {
        let sender = self.links.call_sender(peer)?;
        let (reply, answer) = oneshot::channel();
        sender.try_send(PeerCall { body, reply }).ok()?;
        timeout(CALL_TIMEOUT, answer).await.ok()?.ok()
    }

    /// Calls all peers at once; replies arrive in any order.
    pub(crate) fn call_peers(&self, body: &Body) -> mpsc::UnboundedReceiver<Body> {
        let (sender, receiver) = mpsc::unbounded_channel();
        for call_sender in self.links.call_senders.lock().values() {
            let (reply, answer) = oneshot::channel();
            if call_sender.try_send(PeerCall { body: body.clone(), reply }).is_ok() {
                let sender = sender.clone();
                tokio::spawn(async move {
                    if let Ok(Ok(body)) = timeout(CALL_TIMEOUT, answer).await {
                        let _ = sender.send(body);
                    }
                });
            }
        }
        receiver
    }
}

/// Accepts links from other entry hosts until the node stops.
pub async fn listen(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_link(Arc::clone(&node), stream));
            }
            Err(error) => {
                tracing::warn!("peers: cannot accept a connection: {error}");
                tokio::time::sleep(REDIAL_DELAY).await;
            }
        }
    }
}

async fn serve_link(node: Arc<Node>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let accepted = timeout(HANDSHAKE_TIMEOUT, Link::accept(stream, &node.secret, node.incarnation)).await;
    let Ok(Ok(mut link)) = accepted else { return };
    while let Ok(envelope) = link.recv().await {
        let clock = node.events.clock().observe(envelope.clock, wall_ms());
        let body = envelope.body.and_then(|body| node.answer_peer(link.peer, body));
        let reply = Envelope { id: envelope.id, clock, body };
        if link.send(&reply).await.is_err() {
            return;
        }
    }
}

impl Node {
    fn answer_peer(&self, peer: Incarnation, body: Body) -> Option<Body> {
        match body {
            Body::Heartbeat(heartbeat) => Some(Body::Heartbeat(self.answer_heartbeat(peer, &heartbeat))),
            Body::Claim(message) => Some(Body::ClaimReply(self.answer_claim(&message))),
            Body::FetchEntries(fetch) => Some(Body::LogEntries(entries_from(&self.state.lock(), fetch.from))),
            Body::FetchClaims(fetch) => Some(Body::ClaimPage(self.answer_fetch_claims(&fetch))),
            Body::FreeSlot(slot) => Some(Body::FreeSlot(self.answer_handover(slot))),
            _ => None,
        }
    }

    fn answer_claim(&self, message: &wire::ClaimMessage) -> ClaimReply {
        match self.store_claim(&claim_from(message)) {
            Some(vote) => ClaimReply {
                granted: vote.granted,
                abstained: false,
                others: vote.others.iter().map(claim_message).collect(),
            },
            None => ClaimReply { abstained: true, ..ClaimReply::default() },
        }
    }
}

fn entries_from(state: &State, from: u64) -> LogEntries {
    let mut bytes = 0;
    let following = state.recent_entries.iter().skip_while(|e| e.offset < from).take(ENTRIES_PER_PAGE);
    let page = following.take_while(|e| {
        bytes += e.data.len();
        bytes < ENTRY_BYTES_PER_PAGE
    });
    let entries: Vec<RawEntry> = page.cloned().collect();
    let contiguous = entries.first().is_some_and(|e| e.offset == from);
    LogEntries { entries: if contiguous { entries } else { Vec::new() } }
}

/// Starts links to new members and drops links to former ones.
pub(crate) fn update_links(node: &Arc<Node>) {
    let members: Vec<(Incarnation, String)> = {
        let state = node.state.lock();
        state
            .tables
            .voters()
            .filter(|(inc, _)| *inc != node.incarnation)
            .map(|(i, m)| (i, m.peer.clone()))
            .collect()
    };
    let current: BTreeSet<Incarnation> = members.iter().map(|(inc, _)| *inc).collect();
    let mut call_senders = node.links.call_senders.lock();
    call_senders.retain(|inc, _| current.contains(inc));
    for (inc, addr) in members {
        call_senders.entry(inc).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(1024);
            tokio::spawn(maintain_link(Arc::clone(node), inc, addr, receiver));
            sender
        });
    }
}

/// Keeps a link to one peer open until the sender of its calls is dropped.
async fn maintain_link(
    node: Arc<Node>,
    peer: Incarnation,
    addr: String,
    mut calls: mpsc::Receiver<PeerCall>,
) {
    loop {
        match timeout(HANDSHAKE_TIMEOUT, dial(&node, peer, &addr)).await {
            Ok(Some(link)) => {
                if run_link(&node, link, &mut calls).await == LinkEnd::Unused {
                    return;
                }
            }
            _ => tokio::time::sleep(REDIAL_DELAY).await,
        }
        // Calls queued while the link was down have timed out at their callers.
        loop {
            match calls.try_recv() {
                Ok(_) => {}
                Err(mpsc::error::TryRecvError::Empty) => break,
                Err(mpsc::error::TryRecvError::Disconnected) => return,
            }
        }
    }
}

async fn dial(node: &Node, peer: Incarnation, addr: &str) -> Option<Link<TcpStream>> {
    let stream = connect(node.settings.peer.ip(), addr).await?;
    let link = Link::dial(stream, &node.secret, node.incarnation).await.ok()?;
    if let Some(view) = node.state.lock().peers.get_mut(&peer) {
        view.needs_full = true;
    }
    // A host that restarted at the same address is a new incarnation and thus another member.
    (link.peer == peer).then_some(link)
}

/// Connects from this host's own peer address, so that the network can identify the caller.
async fn connect(source: IpAddr, addr: &str) -> Option<TcpStream> {
    let addr: SocketAddr = addr.parse().ok()?;
    let socket = if source.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }.ok()?;
    socket.bind(SocketAddr::new(source, 0)).ok()?;
    let stream = socket.connect(addr).await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Why a link ended.
#[derive(Debug, PartialEq, Eq)]
enum LinkEnd {
    /// The connection failed or a call timed out.
    Broken,
    /// The peer is no longer a member.
    Unused,
}

async fn run_link(node: &Node, mut link: Link<TcpStream>, calls: &mut mpsc::Receiver<PeerCall>) -> LinkEnd {
    let mut pending_replies: HashMap<u64, (oneshot::Sender<Body>, Instant)> = HashMap::new();
    let mut timeout_check = tokio::time::interval(CALL_TIMEOUT / 4);
    loop {
        tokio::select! {
        call = calls.recv() => {
        let Some(call) = call else { return LinkEnd::Unused };
        let id = node.links.next_call_id.fetch_add(1, Ordering::Relaxed);
        let clock = node.events.clock().tick(wall_ms());
        pending_replies.insert(id, (call.reply, Instant::now()));
        let envelope = Envelope { id, clock, body: Some(call.body) };
        if !matches!(timeout(CALL_TIMEOUT, link.send(&envelope)).await, Ok(Ok(()))) {
        return LinkEnd::Broken;
        }
        }
        reply = link.recv() => {
        let Ok(envelope) = reply else { return LinkEnd::Broken };
        node.events.clock().observe(envelope.clock, wall_ms());
        if let (Some((sender, _)), Some(body)) = (pending_replies.remove(&envelope.id), envelope.body) {
        let _ = sender.send(body);
        }
        }
        _ = timeout_check.tick() => {
        if pending_replies.values().any(|(_, since)| since.elapsed() > CALL_TIMEOUT) {
        tracing::info!("peers: call to {:016x} timed out; reconnecting", link.peer);
        return LinkEnd::Broken;
        }
        }
        }
    }
}
