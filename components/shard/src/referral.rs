//! Referrals of jobs to the shards of other services.
//!
//! Jobs of a queue are registered at one shard, its home, whatever service the queue is sent to. The home accepts a job
//! itself or refers it to another service for good, so that daemons that hold different versions of the configuration,
//! and requests that come again after the queue has moved, find the one shard that the job is for.
//!
//! A referral is kept for the retention of ended jobs. The services to which jobs of a queue were ever referred are kept
//! for good: before a job without a referral is accepted, it is looked for there.

use std::collections::{BTreeSet, HashMap};

use crate::batch::{Batch, MAX_BATCH_BYTES, batch_bytes};
use crate::io::{Action, Refusal};
use crate::record::{self, Record, ReferralRecord};
use crate::state::Shard;

/// A job that another service's shard accepts.
#[derive(Debug)]
struct Referral {
    record: ReferralRecord,
    /// The log holds it.
    stored: bool,
    /// Requests to answer once it is stored.
    requests: Vec<u64>,
}

/// Referrals of a shard.
#[derive(Debug, Default)]
pub(crate) struct Referrals {
    /// By job id.
    jobs: HashMap<String, Referral>,
    /// Services to which jobs were referred, by queue.
    services: HashMap<String, BTreeSet<String>>,
    /// Jobs whose referral is not in a batch yet.
    dirty_jobs: BTreeSet<String>,
    /// Queues with services that are not stored.
    dirty_queues: BTreeSet<String>,
}

impl Referrals {
    pub fn is_dirty(&self) -> bool {
        !self.dirty_jobs.is_empty() || !self.dirty_queues.is_empty()
    }

    pub fn load_job(&mut self, id: String, record: ReferralRecord) {
        self.jobs.insert(id, Referral { record, stored: true, requests: Vec::new() });
    }

    pub fn load_queue(&mut self, queue: String, services: impl IntoIterator<Item = String>) {
        self.services.entry(queue).or_default().extend(services);
    }
}

impl Shard {
    /// Services to which jobs of a queue were referred.
    #[must_use]
    pub fn referred_services(&self, queue: &str) -> Vec<String> {
        self.referrals.services.get(queue).into_iter().flatten().cloned().collect()
    }

    /// Refers a new job of a queue to a service.
    pub(crate) fn refer(
        &mut self,
        request_id: u64,
        id: String,
        (queue, service): (String, String),
        searched: bool,
    ) {
        if self.answer_known_job(request_id, &id) || self.answer_referred(request_id, &id) {
            return;
        }
        if self.log_stalled() {
            self.actions.push(Action::Refused { request_id, retry_ms: 0, why: Refusal::Log });
            return;
        }
        if !searched && self.ask_for_search(request_id, &queue, &service) {
            return;
        }
        if self.referrals.services.entry(queue.clone()).or_default().insert(service.clone()) {
            tracing::info!(queue, service, "shard: new jobs of the queue go to another service");
            self.referrals.dirty_queues.insert(queue.clone());
        }
        let record = ReferralRecord { queue, service, referred_at: self.wall_ms };
        let referral = Referral { record, stored: false, requests: vec![request_id] };
        self.referrals.jobs.insert(id.clone(), referral);
        self.referrals.dirty_jobs.insert(id);
    }

    /// Answers a submission of a job that was referred to another service; returns whether it was.
    pub(crate) fn answer_referred(&mut self, request_id: u64, id: &str) -> bool {
        let Some(referral) = self.referrals.jobs.get_mut(id) else { return false };
        if referral.stored {
            let service = referral.record.service.clone();
            self.actions.push(Action::Referred { request_id, service });
        } else {
            referral.requests.push(request_id);
        }
        true
    }

    /// Asks the caller to look for a job at the services to which jobs of its queue were referred, besides the one that is
    /// to accept it; returns whether there are any.
    pub(crate) fn ask_for_search(&mut self, request_id: u64, queue: &str, service: &str) -> bool {
        let services: Vec<String> =
            self.referred_services(queue).into_iter().filter(|s| s != service).collect();
        let needed = !services.is_empty();
        if needed {
            self.actions.push(Action::Search { request_id, services });
        }
        needed
    }

    /// Adds referrals that are not stored to a batch, each with the services of its queue.
    pub(crate) fn collect_referrals(&mut self, batch: &mut Batch, records: &mut Vec<Record>) {
        let Referrals { jobs, services, dirty_jobs, dirty_queues } = &mut self.referrals;
        for queue in dirty_queues.iter() {
            records.push(record::queue_services(queue, services.get(queue).into_iter().flatten()));
            batch.queues.push(queue.clone());
        }
        dirty_queues.clear();
        let mut bytes = batch_bytes(records);
        while bytes < MAX_BATCH_BYTES
            && let Some(id) = dirty_jobs.pop_first()
        {
            if let Some(referral) = jobs.get(&id) {
                records.push(record::referral(&id, &referral.record));
                bytes += records.last().map_or(0, |r| batch_bytes(std::slice::from_ref(r)));
                batch.referrals.push(id);
            }
        }
    }

    pub(crate) fn referrals_stored(&mut self, ids: Vec<String>) {
        for id in ids {
            let Some(referral) = self.referrals.jobs.get_mut(&id) else { continue };
            referral.stored = true;
            let service = &referral.record.service;
            tracing::info!(job = id, queue = %referral.record.queue, service, "shard: job referred to another service");
            let answer = |request_id| Action::Referred { request_id, service: service.clone() };
            self.actions.extend(referral.requests.drain(..).map(answer));
        }
    }

    /// Refuses the jobs of a batch that is certain not to be stored.
    pub(crate) fn referrals_failed(&mut self, ids: Vec<String>, queues: Vec<String>) {
        ids.iter().for_each(|id| self.refuse_referral(id));
        self.referrals.dirty_queues.extend(queues);
    }

    /// Refuses the jobs whose referrals are in no batch.
    pub(crate) fn refuse_unsent_referrals(&mut self) {
        for id in std::mem::take(&mut self.referrals.dirty_jobs) {
            self.refuse_referral(&id);
        }
    }

    fn refuse_referral(&mut self, id: &str) {
        let Some(referral) = self.referrals.jobs.remove(id) else { return };
        let refused = |request_id| Action::Refused { request_id, retry_ms: 0, why: Refusal::Log };
        self.actions.extend(referral.requests.into_iter().map(refused));
    }

    /// Deletes referrals that were made before a wall-clock time.
    pub(crate) fn delete_expired_referrals(&mut self, before: u64) {
        let expired = |r: &Referral| r.stored && r.record.referred_at < before;
        for (id, _) in self.referrals.jobs.extract_if(|_, r| expired(r)) {
            self.deletions.push(record::referral_deletion(&id));
        }
    }
}
