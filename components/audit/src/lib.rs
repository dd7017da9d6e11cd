//! Checks of a configuration before it is published, and its differences from the version in force.
//!
//! Answers operators who publish a version that daemons accept without a complaint, but in which callers are refused,
//! charged to another customer, or never get a worker. The checks know the product's own types only and do no I/O.

mod difference;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use relay::{Configuration, Customer, Queue, UNLIMITED};

pub use difference::{Change, Difference, Item, differences};

/// Smallest CPU of a task in thousandths of a core: a quarter of the smallest known short task, 0.39 of a core.
const MIN_TASK_CPU: u64 = 100;
/// Least memory in MiB for each core of a limit, and for any task: a 64th of what workers have for each core.
const MIN_MEM_PER_CORE: u64 = 64;
/// Characters of a key that are shown.
const KEY_CHARS: usize = 4;

/// What the checks need besides the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Context {
    /// Largest legal text of a job in bytes.
    pub text_bytes: usize,
    /// Time limit for an idle connection in milliseconds, if the document sets one.
    pub idle_ms: Option<u64>,
}

/// Kind of a [`Problem`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The configuration does not do what any operator wants.
    Error,
    /// An entry that no request can use.
    NeverMatches,
    /// Limits that contradict each other.
    Contradiction,
}

/// A problem of a configuration; its text names the entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The version is not above the one in force, so daemons ignore it.
    #[error("version {new} is not above version {in_force}, which is in force")]
    OldVersion {
        /// Version of the new configuration.
        new: u64,
        /// Version in force.
        in_force: u64,
    },
    /// Two entries of one kind have the same name.
    #[error("{item} {name}: the name is used more than once")]
    DuplicateName {
        /// Kind of the entries.
        item: Item,
        /// Their name.
        name: String,
    },
    /// The service of a queue has no pool.
    #[error("queue {queue}: there is no pool for its service {service}")]
    UnknownService {
        /// Name of the queue.
        queue: String,
        /// Its service.
        service: String,
    },
    /// The pool of a queue's service is a spare one, which has no workers.
    #[error("queue {queue}: the pool of its service {service} is a spare one, whose machines are off")]
    SpareService {
        /// Name of the queue.
        queue: String,
        /// Its service.
        service: String,
    },
    /// Two customers have the same key; the first one is charged.
    #[error("customer {other}: its key {key} is also one of customer {customer}, who is charged for it")]
    SharedKey {
        /// Customer that is charged.
        customer: String,
        /// Customer that is not.
        other: String,
        /// First characters of the key.
        key: String,
    },
    /// A key is empty, so requests without a key are charged to the customer.
    #[error("customer {customer}: an empty key; callers without a key are charged to this customer")]
    EmptyKey {
        /// Name of the customer.
        customer: String,
    },
    /// All pools are spare ones, or there is none.
    #[error("there is no pool that is not a spare one")]
    NoPool,
    /// A later queue has the same host and path prefix.
    #[error("queue {queue}: queue {other} has the same host and path prefix and gets its requests")]
    SameRoute {
        /// Queue without requests.
        queue: String,
        /// Queue that gets them.
        other: String,
    },
    /// No request can have the path prefix.
    #[error("queue {queue}: no request path starts with {prefix:?}")]
    BadPrefix {
        /// Name of the queue.
        queue: String,
        /// Its path prefix.
        prefix: String,
    },
    /// No request can have the host.
    #[error("queue {queue}: no request has the host {host:?}")]
    BadHost {
        /// Name of the queue.
        queue: String,
        /// Its host.
        host: String,
    },
    /// A customer has no keys.
    #[error("customer {customer}: no keys, so no request is the customer's")]
    NoKeys {
        /// Name of the customer.
        customer: String,
    },
    /// A queue needs a key and no customer has one.
    #[error("queue {queue}: it needs a key, and no customer has one")]
    NoCaller {
        /// Name of the queue.
        queue: String,
    },
    /// A customer's CPU limit is below any task.
    #[error(
        "customer {customer}: the CPU limit {cpu} is below any task, {MIN_TASK_CPU} thousandths of a core"
    )]
    SmallCpu {
        /// Name of the customer.
        customer: String,
        /// Limit in thousandths of a core.
        cpu: u64,
    },
    /// A customer's memory limit is far too small for its CPU limit.
    #[error(
        "customer {customer}: the memory limit {mem} MiB is below {least} MiB, too small for its CPU limit"
    )]
    SmallMemory {
        /// Name of the customer.
        customer: String,
        /// Limit in MiB.
        mem: u64,
        /// Least reasonable limit in MiB.
        least: u64,
    },
    /// The body limit is below the largest legal text of a job.
    #[error("limits: request bodies of at most {body} bytes cannot hold a job's text of {text} bytes")]
    SmallBody {
        /// Limit in bytes.
        body: usize,
        /// Largest legal text in bytes.
        text: usize,
    },
    /// The time limit for request heads is 0.
    #[error("limits: a time limit of 0 for request heads refuses every request")]
    NoHeadTime,
    /// Connections are closed as idle before the time limit for a request head.
    #[error("limits: the idle time limit {idle} ms is below the time limit for request heads, {head} ms")]
    IdleBeforeHead {
        /// Idle time limit in milliseconds.
        idle: u64,
        /// Time limit for request heads in milliseconds.
        head: u64,
    },
    /// A customer has weight 0 while others have more.
    #[error("customer {customer}: weight 0, while other customers have weights")]
    NoWeight {
        /// Name of the customer.
        customer: String,
    },
}

impl Problem {
    /// Kind of the problem.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::OldVersion { .. }
            | Self::DuplicateName { .. }
            | Self::UnknownService { .. }
            | Self::SpareService { .. }
            | Self::SharedKey { .. }
            | Self::EmptyKey { .. }
            | Self::NoPool => Kind::Error,
            Self::SameRoute { .. }
            | Self::BadPrefix { .. }
            | Self::BadHost { .. }
            | Self::NoKeys { .. }
            | Self::NoCaller { .. } => Kind::NeverMatches,
            Self::SmallCpu { .. }
            | Self::SmallMemory { .. }
            | Self::SmallBody { .. }
            | Self::NoHeadTime
            | Self::IdleBeforeHead { .. }
            | Self::NoWeight { .. } => Kind::Contradiction,
        }
    }
}

/// Finds all problems of a configuration.
#[must_use]
pub fn problems(config: &Configuration, context: Context) -> Vec<Problem> {
    let mut found = Vec::new();
    found.extend(duplicate_names(Item::Queue, config.queues.iter().map(|q| q.name.as_str())));
    found.extend(duplicate_names(Item::Pool, config.pools.iter().map(|p| p.name.as_str())));
    found.extend(duplicate_names(Item::Customer, config.customers.iter().map(|c| c.name.as_str())));
    if config.pools.iter().all(|p| p.spare) {
        found.push(Problem::NoPool);
    }
    found.extend(config.queues.iter().filter_map(|q| service_problem(config, q)));
    found.extend(key_problems(&config.customers));
    found.extend(route_problems(config));
    found.extend(config.customers.iter().flat_map(limit_problems));
    found.extend(weight_problems(&config.customers));
    found.extend(http_problems(config, context));
    found
}

/// A version that daemons ignore, as they keep the highest one.
#[must_use]
pub fn version_problem(new: u64, in_force: u64) -> Option<Problem> {
    (new <= in_force).then_some(Problem::OldVersion { new, in_force })
}

fn duplicate_names<'a>(item: Item, names: impl Iterator<Item = &'a str>) -> Vec<Problem> {
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    for name in names {
        *seen.entry(name).or_default() += 1;
    }
    let repeated = seen.into_iter().filter(|(_, count)| *count > 1);
    repeated.map(|(name, _)| Problem::DuplicateName { item, name: name.to_owned() }).collect()
}

fn service_problem(config: &Configuration, queue: &Queue) -> Option<Problem> {
    let (name, service) = (queue.name.clone(), queue.service.clone());
    match config.pools.iter().find(|p| p.name == queue.service) {
        None => Some(Problem::UnknownService { queue: name, service }),
        Some(pool) if pool.spare => Some(Problem::SpareService { queue: name, service }),
        Some(_) => None,
    }
}

fn key_problems(customers: &[Customer]) -> Vec<Problem> {
    let mut found = Vec::new();
    let mut owners: HashMap<&str, &str> = HashMap::new();
    for customer in customers {
        let name = || customer.name.clone();
        if customer.keys.is_empty() {
            found.push(Problem::NoKeys { customer: name() });
        }
        let keys: BTreeSet<&str> = customer.keys.iter().map(String::as_str).collect();
        for key in keys {
            if key.is_empty() {
                found.push(Problem::EmptyKey { customer: name() });
            }
            match owners.get(key) {
                Some(owner) => found.push(Problem::SharedKey {
                    customer: (*owner).to_owned(),
                    other: name(),
                    key: masked(key),
                }),
                None => drop(owners.insert(key, &customer.name)),
            }
        }
    }
    found
}

fn route_problems(config: &Configuration) -> Vec<Problem> {
    let has_callers = config.customers.iter().any(|c| !c.keys.is_empty());
    let mut found = Vec::new();
    for (n, queue) in config.queues.iter().enumerate() {
        let name = || queue.name.clone();
        if !possible_path(&queue.path_prefix) {
            found.push(Problem::BadPrefix { queue: name(), prefix: queue.path_prefix.clone() });
        }
        if !possible_host(&queue.host) {
            found.push(Problem::BadHost { queue: name(), host: queue.host.clone() });
        }
        // Of equal routes, `Configuration::queue` takes the last one.
        let same =
            |q: &&Queue| q.host.eq_ignore_ascii_case(&queue.host) && q.path_prefix == queue.path_prefix;
        if let Some(other) = config.queues[n + 1..].iter().rfind(same) {
            found.push(Problem::SameRoute { queue: name(), other: other.name.clone() });
        }
        if !queue.public && !has_callers {
            found.push(Problem::NoCaller { queue: name() });
        }
    }
    found
}

/// Whether the path of a request can start with this; a path has no query, fragment or white space.
fn possible_path(prefix: &str) -> bool {
    prefix.starts_with('/')
        && !prefix.contains(|c: char| c.is_whitespace() || c.is_control() || matches!(c, '?' | '#'))
}

/// Whether a request can be for this host; the port of a request is not compared.
fn possible_host(host: &str) -> bool {
    !host.is_empty()
        && !host.contains(|c: char| c.is_whitespace() || c.is_control() || matches!(c, ':' | '/'))
}

fn limit_problems(customer: &Customer) -> Vec<Problem> {
    let (name, limit) = (|| customer.name.clone(), customer.limit);
    let mut found = Vec::new();
    if limit.cpu < MIN_TASK_CPU {
        found.push(Problem::SmallCpu { customer: name(), cpu: limit.cpu });
    }
    let cores = if limit.cpu < UNLIMITED { (limit.cpu / 1_000).max(1) } else { 1 };
    let least = cores.saturating_mul(MIN_MEM_PER_CORE);
    if limit.mem < least {
        found.push(Problem::SmallMemory { customer: name(), mem: limit.mem, least });
    }
    found
}

fn weight_problems(customers: &[Customer]) -> Vec<Problem> {
    if customers.iter().all(|c| c.weight == 0) {
        return Vec::new();
    }
    let without = customers.iter().filter(|c| c.weight == 0);
    without.map(|c| Problem::NoWeight { customer: c.name.clone() }).collect()
}

fn http_problems(config: &Configuration, context: Context) -> Vec<Problem> {
    let mut found = Vec::new();
    if config.body_bytes < context.text_bytes {
        found.push(Problem::SmallBody { body: config.body_bytes, text: context.text_bytes });
    }
    if config.head_ms == 0 {
        found.push(Problem::NoHeadTime);
    }
    if let Some(idle) = context.idle_ms.filter(|idle| *idle < config.head_ms) {
        found.push(Problem::IdleBeforeHead { idle, head: config.head_ms });
    }
    found
}

/// The first characters of a key; keys are secrets.
fn masked(key: &str) -> String {
    format!("{}...", key.chars().take(KEY_CHARS).collect::<String>())
}
