//! Shared state of one entry host, behind one lock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use edge::HostInfo;
use escrow::HostQuota;
use fold::{Incarnation, MemberState, Operation, Outcome, Refusal, Tables};
use fresh::Freshness;
use tokio::sync::oneshot;
use wire::RawEntry;

use crate::admission::Queues;

const MAX_RECENT_ENTRIES: usize = 4096;
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
const EJECTION_TIME: Duration = Duration::from_secs(5);
/// Time for which a worker's reported load is used.
pub const REPORT_TTL: Duration = Duration::from_millis(100);

/// State that the background tasks of one host share.
#[derive(Debug)]
pub struct State {
    /// Incarnation of this host.
    pub incarnation: Incarnation,
    /// Tables built by applying the log.
    pub tables: Tables,
    /// Units held by this host, by team.
    pub quotas: BTreeMap<String, HostQuota>,
    /// Other members, as seen through their heartbeats.
    pub peers: BTreeMap<Incarnation, PeerView>,
    /// Workers, as listed by the platform and observed by this host.
    pub workers: BTreeMap<String, WorkerView>,
    /// Time of the last successful read of the host list.
    pub listed_at: Option<Instant>,
    /// Pool workers absent from the host list, with the time at which that was first seen.
    pub missing: BTreeMap<String, Instant>,
    /// Idempotency claims stored on this host.
    pub claims: claims::ClaimTable,
    /// True once the claims of a majority are copied.
    pub claims_synced: bool,
    /// Confirmations that the applied offset is current.
    pub freshness: Freshness<Instant>,
    /// Requests and jobs waiting for admission.
    pub queues: Queues,
    /// Jobs that this host supervises now.
    pub supervised_jobs: BTreeSet<String>,
    /// Append whose outcome is awaited.
    pub pending_append: Option<PendingAppend>,
    /// Recently applied entries, kept for peers that lag behind.
    pub recent_entries: VecDeque<RawEntry>,
    /// True once this host's join has been applied.
    pub joined: bool,
    /// True once this host drains and takes no new work.
    pub leaving: bool,
    /// Number of callers' requests in progress.
    pub open_requests: u64,
}

/// Another member, as seen through its heartbeats.
#[derive(Debug, Clone)]
pub struct PeerView {
    /// When this host first saw it in the tables.
    pub known_since: Instant,
    /// Time of its last heartbeat or reply.
    pub last_heard: Option<Instant>,
    /// Members that it reports as recently heard.
    pub reachable: Vec<Incarnation>,
    /// True if it drains and takes no new work.
    pub leaving: bool,
    /// Running tasks and waiting requests that it reports.
    pub loads: BTreeMap<LoadKey, TeamLoad>,
    /// Loads last sent to it; only differences are sent.
    pub sent_loads: BTreeMap<LoadKey, TeamLoad>,
    /// Slots recently handed over to it.
    pub handed_slots: HandedSlots,
    /// List of reachable members last sent to it.
    pub sent_reachable: Vec<Incarnation>,
    /// True if the next heartbeat must carry the full state, because an earlier one may be lost.
    pub needs_full: bool,
}

impl PeerView {
    fn new(now: Instant) -> Self {
        Self {
            known_since: now,
            last_heard: None,
            reachable: Vec::new(),
            leaving: false,
            loads: BTreeMap::new(),
            sent_loads: BTreeMap::new(),
            handed_slots: HandedSlots { since: now, count: 0 },
            sent_reachable: Vec::new(),
            needs_full: true,
        }
    }
}

/// Key of a load: running tasks are counted by team, waiting requests by team and pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadKey {
    /// Team name.
    pub team: String,
    /// Pool name; empty for running tasks.
    pub pool: String,
}

/// Slots handed over to a peer within the current counting window.
#[derive(Debug, Clone, Copy)]
pub struct HandedSlots {
    /// Start of the window.
    pub since: Instant,
    /// Number of slots.
    pub count: i64,
}

/// Load of one team on one host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamLoad {
    /// Running tasks.
    pub running: i64,
    /// Waiting requests.
    pub waiting: i64,
}

/// A worker, as listed by the platform and observed by this host.
#[derive(Debug, Clone)]
pub struct WorkerView {
    /// Last entry in the host list.
    pub info: HostInfo,
    /// True while the host list contains it.
    pub listed: bool,
    /// Boot id, if known.
    pub boot: Option<u64>,
    /// Tasks that this host runs there.
    pub inflight: u32,
    /// Running tasks that it last reported, and the time of the report.
    pub reported_load: Option<(u32, Instant)>,
    /// Failures since the last success.
    pub consecutive_failures: u32,
    /// Set while the worker is ejected; it is probed from this time on.
    pub ejected_until: Option<Instant>,
}

/// An append whose outcome is awaited.
#[derive(Debug)]
pub struct PendingAppend {
    /// Sequence number of the entry.
    pub seq: u64,
    /// Channel for the outcomes.
    pub outcomes: oneshot::Sender<Vec<Outcome>>,
}

/// Reason why this host may not start a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// The last confirmation of this host's offset has expired.
    Unconfirmed,
    /// This host is not a live member.
    NotLive,
    /// The worker is out of service.
    WorkerOut,
}

impl State {
    /// Initial state of an incarnation.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            tables: Tables::default(),
            quotas: BTreeMap::new(),
            peers: BTreeMap::new(),
            workers: BTreeMap::new(),
            listed_at: None,
            missing: BTreeMap::new(),
            claims: claims::ClaimTable::default(),
            claims_synced: false,
            freshness: Freshness::default(),
            queues: Queues::default(),
            supervised_jobs: BTreeSet::new(),
            pending_append: None,
            recent_entries: VecDeque::new(),
            joined: false,
            leaving: false,
            open_requests: 0,
        }
    }

    /// True if this host is a live member.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.tables.members.get(&self.incarnation).is_some_and(|m| m.state == MemberState::Live)
    }

    /// True if this host has joined and is no longer a live member.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.joined && !self.is_live()
    }

    /// Number of members that count for majorities.
    #[must_use]
    pub fn voter_count(&self) -> usize {
        self.tables.voters().count()
    }

    /// Time until which this host may start work, if its offset is confirmed.
    ///
    /// A confirmation is valid for `ttl`.
    #[must_use]
    pub fn confirmed_until(&self, now: Instant, ttl: Duration) -> Option<Instant> {
        let until = self.freshness.confirmed_at(now, self.tables.next_offset, self.voter_count())? + ttl;
        (until > now).then_some(until)
    }

    /// True if everything that was on the log at `since` is applied here.
    ///
    /// A confirmation by a majority does not suffice: a job may have been applied only by the host that
    /// accepted it.
    #[must_use]
    pub fn has_read_log_since(&self, since: Instant) -> bool {
        self.freshness.log_confirmed_at().is_some_and(|at| at >= since)
    }

    /// Checks that a task may be started on a worker; returns the time until which that holds.
    ///
    /// # Errors
    /// The reason if the task may not be started.
    pub fn check_start(&self, now: Instant, ttl: Duration, worker: &str) -> Result<Instant, StartRefusal> {
        if !self.is_live() {
            return Err(StartRefusal::NotLive);
        }
        let until = self.confirmed_until(now, ttl).ok_or(StartRefusal::Unconfirmed)?;
        if self.in_service(worker) { Ok(until) } else { Err(StartRefusal::WorkerOut) }
    }

    /// True if a worker is listed as live, belongs to a pool, and neither it nor its rack or zone is out.
    #[must_use]
    pub fn in_service(&self, worker: &str) -> bool {
        let Some(view) = self.workers.get(worker) else {
            return false;
        };
        let Some(host) = self.tables.hosts.get(worker) else {
            return false;
        };
        view.listed
            && view.info.state == edge::HostState::Live
            && !host.down
            && !self.tables.is_out_of_service(worker, host)
    }

    /// Applies one log entry to the tables and updates the state derived from them.
    pub fn apply(&mut self, raw: RawEntry) {
        match serde_json::from_str::<fold::Entry>(&raw.data) {
            Ok(entry) => self.apply_entry(&entry),
            Err(_) => self.tables.skip_entry(),
        }
        self.recent_entries.push_back(raw);
        if self.recent_entries.len() > MAX_RECENT_ENTRIES {
            self.recent_entries.pop_front();
        }
    }

    fn apply_entry(&mut self, entry: &fold::Entry) {
        let outcomes = self.tables.apply(entry);
        if entry.by == self.incarnation {
            self.apply_own_entry(entry, &outcomes);
        }
        self.sync_quotas();
        self.sync_peers();
    }

    fn apply_own_entry(&mut self, entry: &fold::Entry, outcomes: &[Outcome]) {
        for (operation, outcome) in entry.operations.iter().zip(outcomes) {
            self.apply_own_operation(operation, outcome);
        }
        if self.pending_append.as_ref().is_some_and(|p| p.seq == entry.seq)
            && !outcomes.is_empty()
            && let Some(pending) = self.pending_append.take()
        {
            let _ = pending.outcomes.send(outcomes.to_vec());
        }
    }

    fn apply_own_operation(&mut self, operation: &Operation, outcome: &Outcome) {
        match (operation, outcome) {
            (Operation::Join { .. }, Outcome::Applied(_)) => self.joined = true,
            (Operation::Settle { about, .. }, Outcome::Applied(_)) => {
                self.quotas.values_mut().for_each(|q| q.remove_peer(*about));
            }
            (Operation::ReturnUnits(units), _) => {
                if let Some(quota) = self.quotas.get_mut(&units.team) {
                    quota.end_return(units.units);
                }
            }
            _ => {}
        }
    }

    fn sync_quotas(&mut self) {
        for (name, team) in &self.tables.teams {
            let allotted = team.quota.allotted.get(&self.incarnation).copied().unwrap_or(0);
            self.quotas.entry(name.clone()).or_default().set_allotment(allotted);
        }
    }

    fn sync_peers(&mut self) {
        let tables = &self.tables;
        self.peers.retain(|inc, _| tables.members.contains_key(inc));
        self.freshness.retain(|inc| tables.members.get(&inc).is_some_and(|m| m.state != MemberState::Fenced));
        for (inc, _) in tables.members.iter().filter(|(inc, _)| **inc != self.incarnation) {
            self.peers.entry(*inc).or_insert_with(|| PeerView::new(Instant::now()));
        }
    }

    /// Fails the pending append if this host was fenced; returns whether it was.
    pub fn fail_if_fenced(&mut self) -> bool {
        if self.leaving || !self.is_fenced() {
            return false;
        }
        if let Some(pending) = self.pending_append.take() {
            let _ = pending.outcomes.send(vec![Outcome::Refused(Refusal::Fenced)]);
        }
        true
    }

    /// Live members that are not leaving.
    #[must_use]
    pub fn active_members(&self) -> Vec<Incarnation> {
        let leaves = |inc: &Incarnation| self.peers.get(inc).is_some_and(|p| p.leaving);
        let live = self.tables.live_members().map(|(inc, _)| inc);
        live.filter(|inc| if *inc == self.incarnation { !self.leaving } else { !leaves(inc) }).collect()
    }
}

impl WorkerView {
    /// A newly listed worker.
    #[must_use]
    pub const fn new(info: HostInfo) -> Self {
        Self {
            info,
            listed: true,
            boot: None,
            inflight: 0,
            reported_load: None,
            consecutive_failures: 0,
            ejected_until: None,
        }
    }

    /// Estimated number of tasks running there.
    #[must_use]
    pub fn load(&self, now: Instant) -> u32 {
        match self.reported_load {
            Some((load, at)) if now.saturating_duration_since(at) < REPORT_TTL => load.max(self.inflight),
            _ => self.inflight,
        }
    }

    /// True if it gets no tasks until a probe succeeds.
    #[must_use]
    pub const fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// True if the ejection time is over and the worker is to be probed.
    #[must_use]
    pub fn probe_due(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Ends the ejection after an answered probe or extends it; one more failure ejects the worker again.
    pub fn record_probe(&mut self, now: Instant, answered: bool) {
        self.ejected_until = (!answered).then(|| now + EJECTION_TIME);
        self.consecutive_failures = MAX_CONSECUTIVE_FAILURES - 1;
    }

    /// Clears the failure count and the ejection.
    pub const fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejected_until = None;
    }

    /// Counts a failure; too many in a row eject the worker for a time.
    pub fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
            self.ejected_until = Some(now + EJECTION_TIME);
        }
    }
}
