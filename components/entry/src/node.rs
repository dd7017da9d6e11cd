//! The node: data shared by all tasks of one entry host, and their startup and shutdown.

use std::sync::Arc;
use std::time::{Duration, Instant};

use config::Settings;
use edge::{HostList, HttpHostList, HttpLog, HttpWorkers, Log, Workers, wall_ms};
use events::{Event, Store};
use fold::{Incarnation, Operation, Outcome};
use metrics_exporter_prometheus::PrometheusHandle;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, watch};

use crate::append::{self, CommitResult, Proposal};
use crate::idempotency::ResultCache;
use crate::peers::Links;
use crate::retry_budget::RetryBudget;
use crate::state::State;
use crate::timer::Timer;
use crate::{
    admin, admission, claim_sync, drain, heartbeat, jobs, log_reader, members, peers, plans, serve, units,
    workers,
};

const JOIN_TIMEOUT: Duration = Duration::from_secs(3600);
const FENCE_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Reason why an entry host stopped on its own.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listen address cannot be bound.
    #[error("cannot listen: {0}")]
    Listen(#[from] std::io::Error),
    /// The log has dropped entries that this host has not applied yet.
    #[error("the log has dropped unread entries; restart to recover from a checkpoint")]
    LogTruncated,
    /// The other members have fenced this incarnation.
    #[error("fenced by the other entry hosts; restart to join as a new incarnation")]
    Fenced,
    /// The operating system's random source cannot be read.
    #[error("cannot read the operating system's random source")]
    RandomSource,
}

/// Clients of the services outside this process.
#[derive(Debug)]
pub struct Clients {
    /// The platform's log.
    pub log: Box<dyn Log>,
    /// The platform's host list.
    pub host_list: Box<dyn HostList>,
    /// The workers.
    pub workers: Box<dyn Workers>,
}

impl Clients {
    /// HTTP clients for the addresses in the settings.
    #[must_use]
    pub fn http(settings: &Settings) -> Self {
        let timeout = Duration::from_millis(settings.timing.call_ms);
        Self {
            log: Box::new(HttpLog::new(&settings.log.to_string(), timeout)),
            host_list: Box::new(HttpHostList::new(&settings.list.to_string(), timeout)),
            workers: Box::new(HttpWorkers::new(timeout)),
        }
    }
}

/// Bound sockets of one entry host.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For operators and metrics.
    pub admin: TcpListener,
    /// For other entry hosts.
    pub peer: TcpListener,
}

impl Listeners {
    /// Binds the addresses in the settings.
    ///
    /// # Errors
    /// [`Error::Listen`] if an address cannot be bound.
    pub async fn bind(settings: &Settings) -> Result<Self, Error> {
        Ok(Self {
            callers: TcpListener::bind(settings.callers).await?,
            admin: TcpListener::bind(settings.admin).await?,
            peer: TcpListener::bind(settings.peer).await?,
        })
    }
}

/// Data shared by all tasks of one entry host.
#[derive(Debug)]
pub struct Node {
    /// Settings of this host.
    pub settings: Settings,
    /// Incarnation of this host.
    pub incarnation: Incarnation,
    pub(crate) secret: [u8; 32],
    pub(crate) clients: Clients,
    pub(crate) state: Mutex<State>,
    pub(crate) events: Store,
    pub(crate) timer: Timer,
    pub(crate) proposals: mpsc::UnboundedSender<Proposal>,
    pub(crate) tail_wake: Notify,
    pub(crate) entries_applied: Notify,
    pub(crate) dispatch_wake: Notify,
    pub(crate) heartbeat_wake: Notify,
    pub(crate) links: Links,
    pub(crate) results: ResultCache,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) metrics: Option<PrometheusHandle>,
}

impl Node {
    /// Time for which a confirmation of the offset is valid; without a valid one no work is started.
    #[must_use]
    pub(crate) const fn confirmation_ttl(&self) -> Duration {
        Duration::from_millis(self.settings.timing.fresh_ms)
    }

    /// Adds an event to the timeline.
    pub(crate) fn record_event(&self, event: Event) {
        self.events.add(wall_ms(), event);
    }

    /// True if this host coordinates an activity, chosen by rendezvous hashing over the active members.
    pub(crate) fn is_coordinator(&self, activity: &str) -> bool {
        let state = self.state.lock();
        state.is_live() && coordinator_of(&state, activity) == Some(self.incarnation)
    }
}

/// Active member with the highest hash for an activity.
pub(crate) fn coordinator_of(state: &State, activity: &str) -> Option<Incarnation> {
    let weight = |inc: &Incarnation| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(activity.as_bytes());
        hasher.update(&inc.to_le_bytes());
        *hasher.finalize().as_bytes()
    };
    state.active_members().into_iter().max_by_key(weight)
}

/// Runs an entry host until `stop` counts a signal, then drains it; a second signal ends the drain.
///
/// # Errors
/// An [`Error`] if the host cannot continue as this incarnation.
pub async fn run(
    settings: Settings,
    listeners: Listeners,
    metrics: Option<PrometheusHandle>,
    stop: watch::Receiver<u32>,
) -> Result<(), Error> {
    let (node, proposals) = new_node(settings, metrics)?;
    let mut tasks = tokio::task::JoinSet::new();
    let timer_node = Arc::clone(&node);
    tasks.spawn(async move { timer_node.timer.run().await });
    tasks.spawn(append::run(Arc::clone(&node), proposals));
    tasks.spawn(peers::listen(Arc::clone(&node), listeners.peer));
    tasks.spawn(admin::listen(Arc::clone(&node), listeners.admin));
    log_reader::recover(&node).await;
    let tail = tokio::spawn(log_reader::run(Arc::clone(&node)));
    join(&node).await;
    spawn_tasks(&node, &mut tasks);
    tasks.spawn(serve::listen(Arc::clone(&node), listeners.callers));
    tracing::info!("node: {} serves as incarnation {:016x}", node.settings.name, node.incarnation);
    let end = tokio::select! {
    end = tail => end.unwrap_or(Ok(())),
    () = wait_until_fenced(&node) => Err(Error::Fenced),
    () = drain::run(Arc::clone(&node), stop) => Ok(()),
    };
    tasks.shutdown().await;
    end
}

fn new_node(
    settings: Settings,
    metrics: Option<PrometheusHandle>,
) -> Result<(Arc<Node>, mpsc::UnboundedReceiver<Proposal>), Error> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(|_| Error::RandomSource)?;
    let incarnation = Incarnation::from_le_bytes(bytes) >> 1;
    let (sender, receiver) = mpsc::unbounded_channel();
    let node = Node {
        incarnation,
        secret: blake3::derive_key("lagoonrelay shared secret", settings.secret.expose().as_bytes()),
        clients: Clients::http(&settings),
        state: Mutex::new(State::new(incarnation)),
        events: Store::new(&settings.name, settings.limits.events),
        timer: Timer::default(),
        proposals: sender,
        tail_wake: Notify::new(),
        entries_applied: Notify::new(),
        dispatch_wake: Notify::new(),
        heartbeat_wake: Notify::new(),
        links: Links::default(),
        results: ResultCache::default(),
        retry_budget: RetryBudget::default(),
        metrics,
        settings,
    };
    Ok((Arc::new(node), receiver))
}

async fn join(node: &Node) {
    let operation = Operation::Join {
        host: node.settings.name.clone(),
        peer: node.settings.advertised_addr().to_string(),
        admin: node.settings.admin.to_string(),
        zone: node.settings.zone.clone(),
    };
    while !matches!(
        node.propose(operation.clone(), JOIN_TIMEOUT).await,
        CommitResult::Done(Outcome::Applied(_))
    ) {}
    node.record_event(Event { kind: "join".into(), zone: node.settings.zone.clone(), ..Event::default() });
}

fn spawn_tasks(node: &Arc<Node>, tasks: &mut tokio::task::JoinSet<()>) {
    tasks.spawn(heartbeat::run(Arc::clone(node)));
    tasks.spawn(claim_sync::run(Arc::clone(node)));
    tasks.spawn(workers::run(Arc::clone(node)));
    tasks.spawn(admission::run(Arc::clone(node)));
    tasks.spawn(jobs::run(Arc::clone(node)));
    tasks.spawn(members::run(Arc::clone(node)));
    tasks.spawn(members::run_checkpoints(Arc::clone(node)));
    tasks.spawn(units::run(Arc::clone(node)));
    tasks.spawn(plans::run(Arc::clone(node)));
}

async fn wait_until_fenced(node: &Node) {
    let ticks = node.timer.every(FENCE_CHECK_PERIOD);
    loop {
        ticks.tick().await;
        if node.state.lock().fail_if_fenced() {
            return;
        }
    }
}

/// Time left until a deadline; zero once it has passed.
pub(crate) fn time_left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
