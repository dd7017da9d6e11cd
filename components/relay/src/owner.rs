//! Drives one shard while this daemon owns it: feeds inputs and requests to its state machine, and steps it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use quota::{Grant, ShardQuota};
use shard::{Action, Input, JobSpec, Shard, Timing};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::clock::{monotonic_ms, wall_ms};
use crate::desired_state::DesiredState;
use crate::membership::Membership;
use crate::message::{LoadRequest, ReferRequest, Reply, ReplyKind, RequestBody};
use crate::node::{EPOCHS_PER_GENERATION, Node, token_limit};
use crate::partition;
use crate::platform::{Store, Workers};
use crate::repeat::Pace;
use crate::standstill;
use crate::worker_list::WorkerList;

mod actions;

/// Longest time between two steps.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two steps; inputs that arrive meanwhile are handled in one step.
const BATCH_WINDOW: Duration = Duration::from_millis(3);
/// The same while so many steps of jobs wait that each step of the state machine takes longer.
const BATCH_WINDOW_CROWDED: Duration = Duration::from_millis(12);
/// Pause between reports to the quota broker while a start waits for quota.
const QUOTA_URGENT_INTERVAL: Duration = Duration::from_millis(20);
/// Pause between reports otherwise; unused quota is returned with this delay.
const QUOTA_INTERVAL: Duration = Duration::from_millis(400);
/// Pause between two looks for jobs at a standstill.
const STANDSTILL_INTERVAL: Duration = Duration::from_secs(1);
/// Capacity of a shard's channel, in messages.
const CHANNEL_CAPACITY: usize = 8_192;

/// A message to the driver of a shard.
#[derive(Debug)]
pub enum Message {
    /// A request of a caller or of the coordinator, and the channel for its reply.
    Request(RequestBody, oneshot::Sender<Reply>),
    /// An input for the state machine.
    Input(Input),
    /// The broker's reply to the report with this sequence number; `None` if none came.
    Quota(u64, Option<Vec<Grant>>),
    /// Ends the ownership.
    Stop,
}

/// Handle of a shard that this daemon owns.
#[derive(Clone, Debug)]
pub struct ShardHandle {
    messages: mpsc::Sender<Message>,
}

/// What a shard's driver uses of the daemon.
#[derive(Clone, Debug)]
pub struct Context {
    /// This daemon, for requests to the coordinator.
    pub node: Arc<Node>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The platform's workers.
    pub workers: Arc<dyn Workers>,
    /// Timing of the shard.
    pub timing: Timing,
    /// Membership in the group.
    pub membership: watch::Receiver<Membership>,
    /// The platform's list of workers.
    pub worker_list: watch::Receiver<WorkerList>,
    /// Desired state of the fleet.
    pub desired: watch::Receiver<DesiredState>,
}

impl ShardHandle {
    /// Takes over a shard and starts its driver.
    #[must_use]
    pub fn start(partition: u32, epoch: u64, context: Context) -> Self {
        let (messages, inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let sender = messages.clone();
        tokio::spawn(async move {
            let Some(shard) = take_over(partition, epoch, &context).await else { return };
            metrics::counter!("lagoonrelay_shards_taken_total").increment(1);
            Driver::new(partition, shard, context, sender).run(inbox).await;
        });
        Self { messages }
    }

    /// True if the driver has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.messages.is_closed()
    }

    /// Sends a request to the shard and waits for the reply.
    pub async fn request(&self, body: RequestBody) -> Reply {
        let (tx, rx) = oneshot::channel();
        if self.messages.try_send(Message::Request(body, tx)).is_err() {
            return Reply::of(ReplyKind::NotOwner);
        }
        rx.await.unwrap_or(Reply::of(ReplyKind::Uncertain))
    }

    /// Ends the ownership.
    pub fn stop(&self) {
        // If the channel is full, the driver ends once its membership does.
        drop(self.messages.try_send(Message::Stop));
    }
}

/// Fences earlier owners and loads the shard.
async fn take_over(partition: u32, epoch: u64, context: &Context) -> Option<Shard> {
    let is_assigned = || context.membership.borrow().assignment.partitions.contains(&partition);
    let records = partition::take_over(&*context.store, partition, epoch, is_assigned).await?;
    let mut shard = Shard::new(context.timing, epoch, monotonic_ms(), wall_ms());
    shard.limit_large_jobs(context.node.large_job_bytes());
    shard.limit_tokens(token_limit(epoch));
    shard.load(records.iter().map(|(k, v)| (k.as_str(), v.as_slice())));
    tracing::info!(part = partition, epoch, records = records.len(), "owner: shard loaded");
    Some(shard)
}

/// Driver of one shard's state machine.
struct Driver {
    partition: u32,
    shard: Shard,
    context: Context,
    messages: mpsc::Sender<Message>,
    /// Channels for replies by request id.
    pending_replies: HashMap<u64, oneshot::Sender<Reply>>,
    next_request: u64,
    /// Sequence number of the last stored batch.
    sequence: u64,
    /// Pace at which the store answers appends.
    pace: Arc<Pace>,
    /// [`Membership::lapses`] at the take-over.
    lapses: u64,
    quota: ShardQuota,
    /// Time of the last quota report.
    reported_at: Instant,
    /// True until the last quota report is answered.
    report_pending: bool,
    /// Time of the last look for jobs at a standstill.
    looked_at: Instant,
    /// Number of deferred jobs.
    deferred: metrics::Gauge,
}

impl Driver {
    fn new(partition: u32, shard: Shard, context: Context, messages: mpsc::Sender<Message>) -> Self {
        let lapses = context.membership.borrow().lapses;
        let quota = ShardQuota::new(partition, shard.epoch());
        Self {
            partition,
            shard,
            context,
            messages,
            pending_replies: HashMap::new(),
            next_request: 0,
            sequence: 0,
            pace: Arc::default(),
            lapses,
            quota,
            reported_at: Instant::now(),
            report_pending: false,
            looked_at: Instant::now(),
            deferred: metrics::gauge!("lagoonrelay_jobs_deferred", "part" => partition.to_string()),
        }
    }

    async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        let mut last_step = Instant::now();
        let mut partitions = self.context.node.partitions().subscribe();
        self.apply_desired_state();
        self.apply_worker_list();
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(Message::Stop) | None => break,
                    Some(message) => self.handle(message),
                },
                () = tokio::time::sleep_until(last_step + MAX_STEP_INTERVAL) => {}
                _ = self.context.desired.changed() => self.apply_desired_state(),
                _ = self.context.worker_list.changed() => self.apply_worker_list(),
                _ = partitions.changed() => self.apply_worker_list(),
            }
            let step_at =
                last_step + if self.shard.backlogged() { BATCH_WINDOW_CROWDED } else { BATCH_WINDOW };
            if Instant::now() < step_at {
                tokio::time::sleep_until(step_at).await;
            }
            last_step = Instant::now();
            let mut stopping = false;
            while let Ok(message) = inbox.try_recv() {
                match message {
                    Message::Stop => stopping = true,
                    message => self.handle(message),
                }
            }
            if stopping || !self.is_owner() || !self.step() {
                break;
            }
        }
        standstill::report(self.partition, None);
        self.deferred.set(0.0);
        tracing::info!(part = self.partition, epoch = self.shard.epoch(), "owner: shard released");
    }

    /// True if the partition is still assigned to this daemon, without a lapse since the take-over or in the
    /// same generation.
    fn is_owner(&self) -> bool {
        let membership = self.context.membership.borrow();
        membership.assignment.partitions.contains(&self.partition)
            && (membership.lapses == self.lapses
                || membership.assignment.generation == self.shard.epoch() / EPOCHS_PER_GENERATION)
    }

    /// Runs a step of the state machine; returns false if the ownership is lost.
    fn step(&mut self) -> bool {
        // One reading for the check and for the leases of this step: if the host is suspended after it, the
        // leases still end as early as if it had not been.
        let now = monotonic_ms();
        let may_start =
            self.context.membership.borrow().valid_at(now) && self.context.worker_list.borrow().is_some();
        let actions = self.shard.step(now, wall_ms(), may_start);
        self.context.node.use_epochs(self.partition, self.shard.last_token());
        for action in actions {
            if action == Action::OwnershipLost {
                return false;
            }
            self.perform(action);
        }
        self.report_deferred();
        self.report_quota();
        self.report_standstill();
        for outcome in self.shard.take_copy_outcomes() {
            metrics::counter!("lagoonrelay_copies_total", "outcome" => outcome.label()).increment(1);
        }
        true
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Request(body, reply) => self.handle_request(body, reply),
            Message::Input(input) => self.apply(input),
            Message::Quota(sequence, grants) => {
                self.report_pending = false;
                if let Some(grants) = grants {
                    self.quota.apply_grants(sequence, grants);
                    self.apply(Input::Quotas(self.quota.quotas()));
                }
            }
            Message::Stop => {}
        }
    }

    /// Passes an input to the state machine.
    fn apply(&mut self, input: Input) {
        if matches!(input, Input::Stored) {
            self.sequence += 1;
        }
        self.shard.apply(monotonic_ms(), wall_ms(), input);
    }

    fn handle_request(&mut self, body: RequestBody, reply: oneshot::Sender<Reply>) {
        if !self.context.membership.borrow().is_valid() {
            // Another daemon may own the shard and have newer records.
            let _ = reply.send(Reply::of(ReplyKind::NotOwner));
            return;
        }
        let answer = match body {
            RequestBody::Submit(spec) => return self.submit(spec, false, reply),
            RequestBody::SubmitSearched(spec) => return self.submit(spec, true, reply),
            RequestBody::Refer(ReferRequest { id, queue, service, searched }) => {
                let request_id = self.add_request(reply);
                return self.apply(Input::Refer { request_id, id, queue, service, searched });
            }
            RequestBody::Cancel(id) => {
                let request_id = self.add_request(reply);
                return self.apply(Input::Cancel { request_id, id });
            }
            RequestBody::JobState(id) => {
                self.shard.job_state(&id).map_or(Reply::of(ReplyKind::NotFound), Reply::state)
            }
            RequestBody::CordonWorker(worker) => {
                self.apply(Input::Cordon { worker: worker.clone(), cordoned: true });
                self.shard.remaining_runs(&worker).map_or(Reply::of(ReplyKind::Unspecified), Reply::count)
            }
            // Node::handle_locally answers these.
            RequestBody::Quota(_) | RequestBody::Documents(_) => Reply::of(ReplyKind::Unspecified),
            RequestBody::Load(LoadRequest { service, due_workers, lead_ms, largest_cpu }) => {
                self.apply(Input::MaintenanceDue { service: service.clone(), workers: due_workers });
                let load = Some(self.shard.service_load(&service, lead_ms, largest_cpu).into());
                Reply { load, ..Reply::of(ReplyKind::Load) }
            }
            RequestBody::UncordonWorker(worker) => {
                self.apply(Input::Cordon { worker, cordoned: false });
                Reply::of(ReplyKind::Done)
            }
            RequestBody::CountWaiting(queue) => {
                let services = self.shard.referred_services(&queue);
                Reply { services, ..Reply::count(self.shard.queued_jobs(&queue)) }
            }
        };
        // The requesting task may have given up.
        let _ = reply.send(answer);
    }

    fn submit(&mut self, spec: JobSpec, searched: bool, reply: oneshot::Sender<Reply>) {
        let request_id = self.add_request(reply);
        self.apply(Input::Submit { request_id, spec, searched });
    }

    /// Registers a reply and returns its request id.
    fn add_request(&mut self, reply: oneshot::Sender<Reply>) -> u64 {
        self.next_request += 1;
        self.pending_replies.insert(self.next_request, reply);
        self.next_request
    }

    fn answer(&mut self, request_id: u64, reply: Reply) {
        if let Some(channel) = self.pending_replies.remove(&request_id) {
            // The requesting task may have given up.
            let _ = channel.send(reply);
        }
    }

    /// Passes zones and customers' limits to the state machine.
    fn apply_desired_state(&mut self) {
        let desired = self.context.desired.borrow_and_update().clone();
        self.apply(Input::ZonesOut(desired.zones_out));
        let Some(config) = desired.config else { return };
        let shared = self.context.node.overload_control() && config.has_dominant_customer();
        self.apply(Input::Weights(shared.then(|| config.customer_weights())));
        self.apply(Input::Limits(config.customer_limits().into_iter().collect()));
        self.quota.configure(config.customer_limits());
        self.apply(Input::Quotas(self.quota.quotas()));
    }

    /// Reports to the quota broker, more often while a start waits for quota.
    fn report_quota(&mut self) {
        if self.report_pending {
            return;
        }
        let interval = if self.shard.quota_limited() { QUOTA_URGENT_INTERVAL } else { QUOTA_INTERVAL };
        if Instant::now() < self.reported_at + interval {
            return;
        }
        self.reported_at = Instant::now();
        self.report_pending = true;
        let report = self.quota.next_report(&self.shard.usage());
        // Quota that the report returned must not be used any more.
        self.apply(Input::Quotas(self.quota.quotas()));
        let sequence = report.sequence;
        let (node, messages) = (Arc::clone(&self.context.node), self.messages.clone());
        tokio::spawn(async move {
            let reply = node.report_quota(report.into()).await;
            // The driver may have ended.
            drop(messages.send(Message::Quota(sequence, reply.map(Reply::into_grants))).await);
        });
    }

    /// Shows how many jobs are deferred.
    fn report_deferred(&self) {
        let deferred = u32::try_from(self.shard.deferred_jobs()).unwrap_or(u32::MAX);
        self.deferred.set(f64::from(deferred));
    }

    /// Looks for jobs at a standstill from time to time.
    fn report_standstill(&mut self) {
        if self.looked_at.elapsed() >= STANDSTILL_INTERVAL {
            self.looked_at = Instant::now();
            standstill::report(self.partition, self.shard.find_standstill().as_ref());
        }
    }

    /// Passes the workers of this shard to the state machine.
    fn apply_worker_list(&mut self) {
        let Some(worker_list) = self.context.worker_list.borrow_and_update().clone() else { return };
        let partitions = self.context.node.partitions().newest();
        let mut list = Vec::new();
        for worker in worker_list.values() {
            match partitions.service(&worker.service) {
                Some(partition) if partition == self.partition => list.push(worker.clone()),
                Some(_) if self.shard.has_worker(&worker.id) => {
                    self.apply(Input::Foreign { worker: worker.id.clone() });
                }
                Some(_) | None => {}
            }
        }
        self.apply(Input::Workers(list));
    }
}
