//! Copying of stored claims to a host that has just joined.
//!
//! A new member may vote on claims only after it has copied the claims of enough members to know every claim
//! that a majority has stored.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fold::Incarnation;
use wire::{Body, ClaimPage, FetchClaims};

use crate::idempotency::{claim_from, claim_message};
use crate::node::Node;
use crate::state::State;

const CLAIMS_PER_PAGE: usize = 2000;

/// Copies the claims of a majority once this host's join is in force; afterwards this host may vote on claims.
pub async fn run(node: Arc<Node>) {
    let ticks = node.timer.every(Duration::from_millis(node.settings.timing.beat_ms));
    let mut sync = ClaimSync::default();
    while !sync.mark_if_synced(&node) {
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
struct ClaimSync {
    majority_since: Option<Instant>,
    copied: BTreeMap<Incarnation, CopyResult>,
}

/// What was copied from a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyResult {
    /// All claims that it has stored.
    AllClaims,
    /// Nothing, because it has never voted.
    NeverVoted,
}

impl ClaimSync {
    /// Members whose claims are still to be copied; none until every majority counts this host.
    ///
    /// That holds once all peers have applied the join, or a majority has and the confirmations that the
    /// others had before it have expired.
    fn peers_to_copy(&mut self, node: &Node) -> Vec<Incarnation> {
        let state = node.state.lock();
        let Some(joined) = state.tables.members.get(&node.incarnation).map(|m| m.join_offset) else {
            return Vec::new();
        };
        let peers: Vec<Incarnation> = other_voters(&state);
        let applied = |p: &&Incarnation| state.freshness.applied_by(**p).is_some_and(|a| a > joined);
        let count = peers.iter().filter(applied).count();
        if count < state.voter_count() / 2 {
            return Vec::new();
        }
        let since = *self.majority_since.get_or_insert_with(Instant::now);
        if count < peers.len() && since.elapsed() < node.confirmation_ttl() {
            return Vec::new();
        }
        peers.into_iter().filter(|p| self.copied.get(p) != Some(&CopyResult::AllClaims)).collect()
    }

    /// Marks the claims as synced once every majority contains a copied member or all members are copied;
    /// returns whether they are marked.
    fn mark_if_synced(&self, node: &Node) -> bool {
        let mut state = node.state.lock();
        let peers = other_voters(&state);
        let copied_voters =
            peers.iter().filter(|p| self.copied.get(p) == Some(&CopyResult::AllClaims)).count();
        let all = peers.iter().all(|p| self.copied.contains_key(p));
        let members = state.voter_count();
        if state.is_live() && (all || copied_voters >= members - members / 2) {
            state.claims_synced = true;
        }
        state.claims_synced
    }
}

fn other_voters(state: &State) -> Vec<Incarnation> {
    state.tables.voters().map(|(inc, _)| inc).filter(|inc| *inc != state.incarnation).collect()
}

async fn copy_claims(node: &Node, peer: Incarnation) -> Option<CopyResult> {
    let mut skip = 0;
    loop {
        let fetch = Body::FetchClaims(FetchClaims { skip });
        let Some(Body::ClaimPage(page)) = node.call_peer(peer, fetch).await else {
            return None;
        };
        skip += page.claims.len() as u64;
        let mut state = node.state.lock();
        page.claims.iter().for_each(|c| state.claims.merge(&claim_from(c)));
        if page.last {
            return Some(if page.synced { CopyResult::AllClaims } else { CopyResult::NeverVoted });
        }
    }
}

impl Node {
    /// Answers a request for a page of the claims stored here.
    pub(crate) fn answer_fetch_claims(&self, fetch: &FetchClaims) -> ClaimPage {
        let state = self.state.lock();
        if !state.claims_synced {
            return ClaimPage { last: true, ..ClaimPage::default() };
        }
        let skip = usize::try_from(fetch.skip).unwrap_or(usize::MAX);
        let claims: Vec<_> =
            state.claims.iter().skip(skip).take(CLAIMS_PER_PAGE).map(claim_message).collect();
        let last = claims.len() < CLAIMS_PER_PAGE;
        ClaimPage { claims, last, synced: true }
    }
}
