//! Links to the other entry hosts: heartbeats, claims, and log entries while the log is out of reach.
//!
//! Each host dials every other member. A link on which a call gets no reply in time is dropped and dialled
//! anew, so a link that has gone silent is found within seconds.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use edge::wall_ms;
use fold::{Incarnation, MemberState};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use wire::{
    Beat, Body, ClaimReply, Claims, CopyClaims, Envelope, FetchEntries, Given, Heard, Link, LogEntries, Need,
    RawEntry, Running,
};

use crate::node::Node;
use crate::once::{claim_of, message_of};
use crate::state::{PeerView, State, TeamLoad};
use crate::tail;

const CALL_TIME: Duration = Duration::from_millis(800);
const HANDSHAKE_TIME: Duration = Duration::from_secs(2);
const REDIAL_PAUSE: Duration = Duration::from_millis(200);
const CLAIMS_PER_PAGE: usize = 2000;
const ENTRIES_PER_PAGE: usize = 500;
const ENTRY_BYTES_PER_PAGE: usize = 512 * 1024;

/// Links dialled by this host.
#[derive(Debug, Default)]
pub struct Links {
    calls: Mutex<BTreeMap<Incarnation, mpsc::Sender<PeerCall>>>,
    next: AtomicU64,
}

/// A call waiting to be sent.
#[derive(Debug)]
struct PeerCall {
    body: Body,
    reply: oneshot::Sender<Body>,
}

impl Links {
    fn reach(&self, peer: Incarnation) -> Option<mpsc::Sender<PeerCall>> {
        self.calls.lock().get(&peer).cloned()
    }
}

impl Node {
    /// Asks one peer; none if no reply comes in time.
    pub(crate) async fn ask_peer(&self, peer: Incarnation, body: Body) -> Option<Body> {
        let sender = self.links.reach(peer)?;
        let (reply, answer) = oneshot::channel();
        sender.try_send(PeerCall { body, reply }).ok()?;
        timeout(CALL_TIME, answer).await.ok()?.ok()
    }

    /// Asks all peers at once; replies come in any order.
    pub(crate) fn ask_peers(&self, body: &Body) -> mpsc::UnboundedReceiver<Body> {
        let (sender, receiver) = mpsc::unbounded_channel();
        for call in self.links.calls.lock().values() {
            let (reply, answer) = oneshot::channel();
            if call.try_send(PeerCall { body: body.clone(), reply }).is_ok() {
                let sender = sender.clone();
                tokio::spawn(async move {
                    if let Ok(Ok(body)) = timeout(CALL_TIME, answer).await {
                        let _ = sender.send(body);
                    }
                });
            }
        }
        receiver
    }
}

/// Accepts links until the node stops.
pub async fn listen(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(answer_link(Arc::clone(&node), stream));
            }
            Err(error) => {
                tracing::warn!("peers: cannot accept: {error}");
                tokio::time::sleep(REDIAL_PAUSE).await;
            }
        }
    }
}

async fn answer_link(node: Arc<Node>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let accepted = timeout(HANDSHAKE_TIME, Link::accept(stream, &node.secret, node.inc)).await;
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
            Body::Beat(beat) => Some(Body::Beat(self.answer_beat(peer, &beat))),
            Body::Claim(message) => Some(Body::ClaimReply(self.answer_claim(&message))),
            Body::FetchEntries(fetch) => Some(Body::LogEntries(entries_from(&self.state.lock(), fetch.from))),
            Body::CopyClaims(copy) => Some(Body::Claims(self.answer_copy(&copy))),
            _ => None,
        }
    }

    fn answer_beat(&self, peer: Incarnation, beat: &Beat) -> Beat {
        let mut state = self.state.lock();
        state.hear(peer, beat);
        let given = state.give_to(peer, &beat.needs);
        Beat { incarnation: self.inc, applied: state.tables.next, given, ..Beat::default() }
    }

    fn answer_claim(&self, message: &wire::ClaimMessage) -> ClaimReply {
        match self.offer_here(&claim_of(message)) {
            Some(reply) => ClaimReply {
                granted: reply.granted,
                silent: false,
                others: reply.others.iter().map(message_of).collect(),
            },
            None => ClaimReply { silent: true, ..ClaimReply::default() },
        }
    }

    fn answer_copy(&self, copy: &CopyClaims) -> Claims {
        let state = self.state.lock();
        if !state.synced {
            return Claims { last: true, ..Claims::default() };
        }
        let skip = usize::try_from(copy.skip).unwrap_or(usize::MAX);
        let claims: Vec<_> = state.claims.iter().skip(skip).take(CLAIMS_PER_PAGE).map(message_of).collect();
        let last = claims.len() < CLAIMS_PER_PAGE;
        Claims { claims, last, synced: true }
    }
}

impl PeerView {
    /// Forgets what was sent if the peer may not have it; yields whether that is so.
    fn take_unknown(&mut self) -> bool {
        let unknown = std::mem::take(&mut self.unknown);
        if unknown {
            self.sent.clear();
            self.sent_heard.clear();
        }
        unknown
    }

    /// Takes in changed loads; teams without any are forgotten.
    fn take_load(&mut self, changes: &[Running]) {
        for change in changes {
            let load = TeamLoad { running: change.tasks, waiting: change.waiting };
            if load == TeamLoad::default() {
                self.load.remove(&change.team);
            } else {
                self.load.insert(change.team.clone(), load);
            }
        }
    }
}

impl State {
    /// Takes in what a peer says with a heartbeat.
    fn hear(&mut self, peer: Incarnation, beat: &Beat) {
        let live = self.tables.members.get(&peer).is_some_and(|m| m.state == MemberState::Live);
        let Some(view) = self.peers.get_mut(&peer) else {
            return;
        };
        view.heard = Some(Instant::now());
        if let Some(heard) = &beat.heard {
            view.hears.clone_from(&heard.incarnations);
        }
        view.leaving = beat.leaving;
        if beat.whole {
            view.load.clear();
        }
        view.take_load(&beat.running);
        view.needs = beat.needs.iter().map(|n| (n.team.clone(), n.units)).collect();
        if live {
            self.receive(peer, &beat.given);
        }
    }

    /// Merges units that a live peer has given.
    fn receive(&mut self, peer: Incarnation, given: &[Given]) {
        for units in given {
            self.purses.entry(units.team.clone()).or_default().receive(peer, units.counter);
        }
    }

    /// Gives a live peer some of what it lacks; yields all counters for it.
    fn give_to(&mut self, peer: Incarnation, needs: &[Need]) -> Vec<Given> {
        if self.tables.members.get(&peer).is_none_or(|m| m.state != MemberState::Live) {
            return Vec::new();
        }
        for need in needs {
            self.give_some(peer, need);
        }
        self.counters_for(peer)
    }

    /// Keeps what this host's own queue needs, and half of the rest.
    fn give_some(&mut self, peer: Incarnation, need: &Need) {
        let waiting = self.queues.waiting(&need.team);
        let leaving = self.leaving;
        let Some(purse) = self.purses.get_mut(&need.team) else {
            return;
        };
        let spare = (purse.free() - waiting).max(0);
        let most = if leaving { spare } else { (spare + 1) / 2 };
        purse.give(peer, need.units.min(most));
    }

    fn counters_for(&self, peer: Incarnation) -> Vec<Given> {
        let given =
            self.purses.iter().map(|(team, p)| Given { team: team.clone(), counter: p.given_to(peer) });
        given.filter(|g| g.counter > 0).collect()
    }

    fn beat_for(&mut self, peer: Incarnation, heard: &[Incarnation]) -> Beat {
        let live = self.tables.members.get(&peer).is_some_and(|m| m.state == MemberState::Live);
        let whole = self.peers.get_mut(&peer).is_some_and(PeerView::take_unknown);
        Beat {
            whole,
            incarnation: self.inc,
            applied: self.tables.next,
            given: if live { self.counters_for(peer) } else { Vec::new() },
            needs: self.needs(),
            running: self.load_changes(peer),
            leaving: self.leaving,
            synced: self.synced,
            heard: self.heard_change(peer, heard),
        }
    }

    /// Members heard lately, if they differ from what the peer was sent last.
    fn heard_change(&mut self, peer: Incarnation, heard: &[Incarnation]) -> Option<Heard> {
        let view = self.peers.get_mut(&peer)?;
        if view.sent_heard == heard {
            return None;
        }
        heard.clone_into(&mut view.sent_heard);
        Some(Heard { incarnations: heard.to_vec() })
    }

    /// Loads that differ from what the peer was sent last.
    fn load_changes(&mut self, peer: Incarnation) -> Vec<Running> {
        let mut changes = Vec::new();
        let Some(view) = self.peers.get_mut(&peer) else { return changes };
        for (team, purse) in &self.purses {
            let load = TeamLoad { running: purse.used(), waiting: self.queues.waiting(team) };
            if view.sent.get(team).copied().unwrap_or_default() != load {
                view.sent.insert(team.clone(), load);
                changes.push(Running { team: team.clone(), tasks: load.running, waiting: load.waiting });
            }
        }
        changes
    }

    /// Peers heard within a time.
    #[must_use]
    pub fn heard_within(&self, now: Instant, time: Duration) -> Vec<Incarnation> {
        let lately = |at: Option<Instant>| at.is_some_and(|at| now.saturating_duration_since(at) < time);
        self.peers.iter().filter(|(_, p)| lately(p.heard)).map(|(inc, _)| *inc).collect()
    }
}

fn entries_from(state: &State, from: u64) -> LogEntries {
    let mut bytes = 0;
    let wanted = state.recent.iter().skip_while(|e| e.offset < from).take(ENTRIES_PER_PAGE);
    let fits = wanted.take_while(|e| {
        bytes += e.data.len();
        bytes < ENTRY_BYTES_PER_PAGE
    });
    let entries: Vec<RawEntry> = fits.cloned().collect();
    let whole = entries.first().is_some_and(|e| e.offset == from);
    LogEntries { entries: if whole { entries } else { Vec::new() } }
}

/// Dials all members and beats with them until the node stops.
pub async fn beat(node: Arc<Node>) {
    let ticks = node.timer.every(Duration::from_millis(node.settings.timing.beat_ms));
    loop {
        keep_links(&node);
        beat_all(&node);
        tokio::select! {
            () = ticks.tick() => {}
            () = node.beat_kick.notified() => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

/// Dials new members and drops links to those that are gone.
fn keep_links(node: &Arc<Node>) {
    let members: Vec<(Incarnation, String)> = {
        let state = node.state.lock();
        state.tables.voters().filter(|(inc, _)| *inc != node.inc).map(|(i, m)| (i, m.peer.clone())).collect()
    };
    let wanted: BTreeSet<Incarnation> = members.iter().map(|(inc, _)| *inc).collect();
    let mut calls = node.links.calls.lock();
    calls.retain(|inc, _| wanted.contains(inc));
    for (inc, addr) in members {
        calls.entry(inc).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(1024);
            tokio::spawn(hold_link(Arc::clone(node), inc, addr, receiver));
            sender
        });
    }
}

/// Keeps one link dialled until its sender is dropped.
async fn hold_link(node: Arc<Node>, peer: Incarnation, addr: String, mut calls: mpsc::Receiver<PeerCall>) {
    loop {
        match timeout(HANDSHAKE_TIME, dial(&node, peer, &addr)).await {
            Ok(Some(link)) => {
                if use_link(&node, link, &mut calls).await == Used::Closed {
                    return;
                }
            }
            _ => tokio::time::sleep(REDIAL_PAUSE).await,
        }
        // Calls that waited meanwhile have timed out.
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
    let stream = connect_from(node.settings.peer.ip(), addr).await?;
    let link = Link::dial(stream, &node.secret, node.inc).await.ok()?;
    if let Some(view) = node.state.lock().peers.get_mut(&peer) {
        view.unknown = true;
    }
    // Another incarnation at the address of this one is another member.
    (link.peer == peer).then_some(link)
}

/// Dials from this host's own peer address, so that the network can tell who dials.
async fn connect_from(source: IpAddr, addr: &str) -> Option<TcpStream> {
    let addr: SocketAddr = addr.parse().ok()?;
    let socket = if source.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }.ok()?;
    socket.bind(SocketAddr::new(source, 0)).ok()?;
    let stream = socket.connect(addr).await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

#[derive(Debug, PartialEq, Eq)]
enum Used {
    /// The link broke or went silent.
    Broken,
    /// Nobody needs it any more.
    Closed,
}

async fn use_link(node: &Node, mut link: Link<TcpStream>, calls: &mut mpsc::Receiver<PeerCall>) -> Used {
    let mut waiting: HashMap<u64, (oneshot::Sender<Body>, Instant)> = HashMap::new();
    let mut sweep = tokio::time::interval(CALL_TIME / 4);
    loop {
        tokio::select! {
            call = calls.recv() => {
                let Some(call) = call else { return Used::Closed };
                let id = node.links.next.fetch_add(1, Ordering::Relaxed);
                let clock = node.events.clock().tick(wall_ms());
                waiting.insert(id, (call.reply, Instant::now()));
                let envelope = Envelope { id, clock, body: Some(call.body) };
                if !matches!(timeout(CALL_TIME, link.send(&envelope)).await, Ok(Ok(()))) {
                    return Used::Broken;
                }
            }
            reply = link.recv() => {
                let Ok(envelope) = reply else { return Used::Broken };
                node.events.clock().observe(envelope.clock, wall_ms());
                if let (Some((sender, _)), Some(body)) = (waiting.remove(&envelope.id), envelope.body) {
                    let _ = sender.send(body);
                }
            }
            _ = sweep.tick() => {
                if waiting.values().any(|(_, since)| since.elapsed() > CALL_TIME) {
                    tracing::info!("peers: link to {:016x} is silent, dialling anew", link.peer);
                    return Used::Broken;
                }
            }
        }
    }
}

/// Sends one heartbeat to every member.
fn beat_all(node: &Arc<Node>) {
    let peers: Vec<Incarnation> = node.links.calls.lock().keys().copied().collect();
    let dead = Duration::from_millis(node.settings.timing.dead_ms);
    for peer in peers {
        let beat = {
            let mut state = node.state.lock();
            let heard = state.heard_within(Instant::now(), dead);
            state.beat_for(peer, &heard)
        };
        tokio::spawn(beat_one(Arc::clone(node), peer, beat));
    }
}

async fn beat_one(node: Arc<Node>, peer: Incarnation, beat: Beat) {
    let asked = Instant::now();
    let Some(Body::Beat(reply)) = node.ask_peer(peer, Body::Beat(beat)).await else {
        if let Some(view) = node.state.lock().peers.get_mut(&peer) {
            view.unknown = true;
        }
        return;
    };
    let behind = {
        let mut state = node.state.lock();
        state.hear_reply(peer, asked, &reply);
        reply.applied > state.tables.next
    };
    node.applied.notify_waiters();
    node.dispatch_kick.notify_one();
    if behind {
        catch_up(&node, peer).await;
    }
}

impl State {
    fn hear_reply(&mut self, peer: Incarnation, asked: Instant, reply: &Beat) {
        let Some(member) = self.tables.members.get(&peer) else {
            return;
        };
        if member.state == MemberState::Fenced {
            return;
        }
        let live = member.state == MemberState::Live;
        self.fresh.confirm_peer(peer, asked, reply.applied);
        if let Some(view) = self.peers.get_mut(&peer) {
            view.heard = Some(Instant::now());
        }
        if live {
            self.receive(peer, &reply.given);
        }
    }
}

/// Fetches entries that a peer has applied and this host has not.
async fn catch_up(node: &Node, peer: Incarnation) {
    node.tail_kick.notify_one();
    let from = node.state.lock().tables.next;
    let fetch = Body::FetchEntries(FetchEntries { from });
    if let Some(Body::LogEntries(found)) = node.ask_peer(peer, fetch).await {
        tail::take_from_peer(node, found.entries);
    }
}

/// Copies the claims of a majority, once this host's join is in force; then it may vote on claims.
pub async fn sync_claims(node: Arc<Node>) {
    let ticks = node.timer.every(Duration::from_millis(node.settings.timing.beat_ms));
    let mut sync = Sync::default();
    while !sync.is_over(&node) {
        for peer in sync.peers_to_copy(&node) {
            if let Some(copied) = copy_claims(&node, peer).await {
                sync.copied.insert(peer, copied);
            }
        }
        ticks.tick().await;
    }
}

/// Progress of copying claims.
#[derive(Debug, Default)]
struct Sync {
    majority_since: Option<Instant>,
    copied: BTreeMap<Incarnation, Copied>,
}

/// What a member had to copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Copied {
    /// All the claims it has voted on.
    Claims,
    /// Nothing; it has never voted.
    Nothing,
}

impl Sync {
    /// Members not yet copied, once no member can count without this host.
    fn peers_to_copy(&mut self, node: &Node) -> Vec<Incarnation> {
        let state = node.state.lock();
        let Some(joined) = state.tables.members.get(&node.inc).map(|m| m.joined) else {
            return Vec::new();
        };
        let peers: Vec<Incarnation> = others(&state);
        let applied = |p: &&Incarnation| state.fresh.applied_by(**p).is_some_and(|a| a > joined);
        let count = peers.iter().filter(applied).count();
        if count < state.voters() / 2 {
            return Vec::new();
        }
        let since = *self.majority_since.get_or_insert_with(Instant::now);
        if count < peers.len() && since.elapsed() < node.fresh() {
            return Vec::new();
        }
        peers.into_iter().filter(|p| self.copied.get(p) != Some(&Copied::Claims)).collect()
    }

    /// True once every majority shares a copied member, or all members are copied.
    fn is_over(&self, node: &Node) -> bool {
        let mut state = node.state.lock();
        let peers = others(&state);
        let voted = peers.iter().filter(|p| self.copied.get(p) == Some(&Copied::Claims)).count();
        let all = peers.iter().all(|p| self.copied.contains_key(p));
        let members = state.voters();
        if state.is_live() && (all || voted >= members - members / 2) {
            state.synced = true;
        }
        state.synced
    }
}

fn others(state: &State) -> Vec<Incarnation> {
    state.tables.voters().map(|(inc, _)| inc).filter(|inc| *inc != state.inc).collect()
}

async fn copy_claims(node: &Node, peer: Incarnation) -> Option<Copied> {
    let mut skip = 0;
    loop {
        let copy = Body::CopyClaims(CopyClaims { skip });
        let Some(Body::Claims(page)) = node.ask_peer(peer, copy).await else {
            return None;
        };
        skip += page.claims.len() as u64;
        let mut state = node.state.lock();
        page.claims.iter().for_each(|c| state.claims.copy(&claim_of(c)));
        if page.last {
            return Some(if page.synced { Copied::Claims } else { Copied::Nothing });
        }
    }
}
