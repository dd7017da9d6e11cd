//! The operators' configuration in the product's terms, and partitions for new services.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use shard::Resources;

/// Amount that stands for no limit: far above any fleet's resources, and far below an overflow of sums.
pub const UNLIMITED: u64 = 1 << 50;

/// A customer with one part in this many of all weight is dominant: four times its usual load takes a whole pool.
const DOMINANT_DIVISOR: u64 = 4;

/// Target distance between partitions in use. With the platform's 24 partitions and six daemons, each daemon
/// gets four adjacent partitions, of which one should be in use.
const TARGET_SPACING: u32 = 4;

/// A queue, to which callers submit jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host name in callers' requests.
    pub host: String,
    /// Path prefix in callers' requests; a job's id follows it.
    #[serde(rename = "prefix")]
    pub path_prefix: String,
    /// Service whose workers run the jobs.
    pub service: String,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task has failed.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Latency objective: factor on the estimated time of the longest chain of a job's steps.
    pub stretch: f64,
    /// Latency objective: milliseconds added to the stretched time.
    #[serde(rename = "target")]
    pub target_ms: u64,
    /// Accepts callers without a key.
    #[serde(rename = "open")]
    pub public: bool,
}

impl Queue {
    /// Address that callers use for its jobs: host name and path prefix.
    #[must_use]
    pub fn address(&self) -> String {
        format!("{}{}", self.host.to_ascii_lowercase(), self.path_prefix)
    }
}

/// A pool of machines, whose workers run one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the pool and its service.
    pub name: String,
    /// Spare pool: its machines are off until they move to another pool.
    pub spare: bool,
}

/// A customer, who is charged for tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the customer.
    pub name: String,
    /// API keys that identify the customer.
    pub keys: Vec<String>,
    /// Weight of the customer when its pool is short of capacity; 0 counts as 1.
    pub weight: u64,
    /// Upper limit of the resources of its running tasks.
    pub limit: Resources,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number; rises with each change.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// All customers.
    pub customers: Vec<Customer>,
    /// Largest accepted request head in bytes.
    pub head_bytes: usize,
    /// Largest accepted request body in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a request head in milliseconds.
    pub head_ms: u64,
}

/// A maintenance wave: machines due for maintenance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Number of the wave.
    pub number: u64,
    /// Names of the machines.
    pub machines: Vec<String>,
    /// Seconds within which the wave should be complete.
    #[serde(rename = "seconds")]
    pub duration_s: u64,
    /// Most machines that may be down at a time.
    #[serde(rename = "at_once")]
    pub max_down: u32,
}

impl Configuration {
    /// Finds the queue with the longest matching path prefix; also returns the rest of the path.
    #[must_use]
    pub fn queue<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let fits = |q: &&Queue| q.host.eq_ignore_ascii_case(host) && path.starts_with(&q.path_prefix);
        let queue = self.queues.iter().filter(fits).max_by_key(|q| q.path_prefix.len())?;
        Some((queue, &path[queue.path_prefix.len()..]))
    }

    /// Finds the customer that a key identifies.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.customers.iter().find(|c| c.keys.iter().any(|k| k == key))
    }

    /// Names of the spare pools.
    #[must_use]
    pub fn spare_pools(&self) -> BTreeSet<String> {
        self.pools.iter().filter(|p| p.spare).map(|p| p.name.clone()).collect()
    }

    /// Upper limit of each customer.
    #[must_use]
    pub fn customer_limits(&self) -> BTreeMap<String, Resources> {
        self.customers.iter().map(|c| (c.name.clone(), c.limit)).collect()
    }

    /// Weight of each customer.
    #[must_use]
    pub fn customer_weights(&self) -> HashMap<String, u64> {
        self.customers.iter().map(|c| (c.name.clone(), c.weight)).collect()
    }

    /// Whether one customer has at least a quarter of all weight, so that a burst of a few times its usual load fills a
    /// pool and keeps the others out. Only then does the order of a short pool go by customers' shares.
    #[must_use]
    pub fn has_dominant_customer(&self) -> bool {
        let weights = || self.customers.iter().map(|c| c.weight);
        let total = weights().fold(0, u64::saturating_add);
        weights().any(|w| w > 0 && w.saturating_mul(DOMINANT_DIVISOR) >= total)
    }

    /// Names of all services.
    #[must_use]
    pub fn services(&self) -> BTreeSet<&str> {
        let queues = self.queues.iter().map(|q| q.service.as_str());
        self.pools.iter().map(|p| p.name.as_str()).chain(queues).collect()
    }

    /// Partitions for the services that are not in `assigned`: of `count` partitions, as the one after them is the
    /// coordinator's. Prefers those that no service has ever had, then those of services that are gone.
    ///
    /// The store assigns adjacent partitions to the same member, so partitions in use are spaced apart.
    #[must_use]
    pub fn new_partitions(&self, count: u32, assigned: &BTreeMap<String, u32>) -> BTreeMap<String, u32> {
        let names = self.services();
        let present = assigned.iter().filter(|(name, _)| names.contains(name.as_str()));
        let mut used: Vec<u32> = present.map(|(_, partition)| *partition).collect();
        used.push(count);
        let mut ever_used: Vec<u32> = assigned.values().copied().collect();
        ever_used.push(count);
        let mut added = BTreeMap::new();
        for name in names.into_iter().filter(|name| !assigned.contains_key(*name)) {
            let home = hash_partition(name, count);
            let partition =
                pick_partition(home, count, &ever_used).or_else(|| pick_partition(home, count, &used));
            let partition = partition.unwrap_or(home);
            used.push(partition);
            ever_used.push(partition);
            added.insert(name.to_owned(), partition);
        }
        added
    }
}

/// First partition from `home` on with the largest possible distance from those in use, up to
/// [`TARGET_SPACING`]; `None` if all are in use.
fn pick_partition(home: u32, count: u32, used: &[u32]) -> Option<u32> {
    let ring = count + 1;
    let distance = |a: u32, b: u32| a.abs_diff(b).min(ring - a.abs_diff(b));
    let from_home = || (0..count).map(|step| (home + step) % count);
    let spaced = |least: u32| from_home().find(|p| used.iter().all(|t| distance(*p, *t) >= least));
    (1..=TARGET_SPACING).rev().find_map(spaced)
}

/// Preferred partition of a service, by the hash of its name.
fn hash_partition(name: &str, count: u32) -> u32 {
    // The hash has to be the same on every host and build, which the standard hasher does not promise.
    let mut hasher = FnvHasher(0xcbf2_9ce4_8422_2325);
    name.hash(&mut hasher);
    u32::try_from(hasher.finish() % u64::from(count.max(1))).unwrap_or(0)
}

/// 64-bit FNV-1a.
struct FnvHasher(u64);

impl Hasher for FnvHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}
