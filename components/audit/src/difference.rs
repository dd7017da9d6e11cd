//! Differences of a configuration from the version in force.

use std::collections::BTreeSet;
use std::fmt::{self, Display};

use relay::{Configuration, Customer, Pool, Queue, UNLIMITED};

use crate::masked;

/// Kind of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Item {
    /// A queue.
    Queue,
    /// A pool.
    Pool,
    /// A customer.
    Customer,
}

/// What happened to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// A field has another value.
    Field {
        /// Name of the field.
        field: &'static str,
        /// Value in force.
        old: String,
        /// New value.
        new: String,
    },
    /// A customer has a new key; its first characters.
    KeyAdded(String),
    /// A customer has lost a key; its first characters.
    KeyRemoved(String),
}

/// A difference from the version in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Difference {
    /// Of an entry.
    Entry {
        /// Kind of the entry.
        item: Item,
        /// Its name.
        name: String,
        /// What happened to it.
        change: Change,
    },
    /// Of a limit of the HTTP API for callers.
    Limit {
        /// Name of the limit.
        field: &'static str,
        /// Value in force.
        old: u64,
        /// New value.
        new: u64,
    },
}

impl Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Queue => "queue",
            Self::Pool => "pool",
            Self::Customer => "customer",
        })
    }
}

impl Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added => f.write_str("added"),
            Self::Removed => f.write_str("removed"),
            Self::Field { field, old, new } => write!(f, "{field} changed from {old} to {new}"),
            Self::KeyAdded(key) => write!(f, "key {key} added"),
            Self::KeyRemoved(key) => write!(f, "key {key} removed"),
        }
    }
}

impl Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Entry { item, name, change } => write!(f, "{item} {name}: {change}"),
            Self::Limit { field, old, new } => write!(f, "limits: {field} changed from {old} to {new}"),
        }
    }
}

/// Fields of an entry and their values as text.
type Fields = Vec<(&'static str, String)>;

/// Lists what differs from the version in force, entry by entry; entries are known by their names.
#[must_use]
pub fn differences(in_force: &Configuration, new: &Configuration) -> Vec<Difference> {
    let mut found = Vec::new();
    let queue = |q: &Queue| (q.name.clone(), queue_fields(q));
    found.extend(compare(Item::Queue, &in_force.queues, &new.queues, queue));
    let pool = |p: &Pool| (p.name.clone(), vec![("spare", p.spare.to_string())]);
    found.extend(compare(Item::Pool, &in_force.pools, &new.pools, pool));
    let customer = |c: &Customer| (c.name.clone(), customer_fields(c));
    found.extend(compare(Item::Customer, &in_force.customers, &new.customers, customer));
    for after in &new.customers {
        let before = in_force.customers.iter().find(|c| c.name == after.name);
        found.extend(before.map(|before| key_changes(before, after)).into_iter().flatten());
    }
    let limits = [
        ("largest request head in bytes", in_force.head_bytes as u64, new.head_bytes as u64),
        ("largest request body in bytes", in_force.body_bytes as u64, new.body_bytes as u64),
        ("time limit for request heads in ms", in_force.head_ms, new.head_ms),
    ];
    let changed = limits.into_iter().filter(|(_, old, new)| old != new);
    found.extend(changed.map(|(field, old, new)| Difference::Limit { field, old, new }));
    found
}

fn compare<T>(
    item: Item,
    old: &[T],
    new: &[T],
    describe: impl Fn(&T) -> (String, Fields),
) -> Vec<Difference> {
    let old: Vec<(String, Fields)> = old.iter().map(&describe).collect();
    let new: Vec<(String, Fields)> = new.iter().map(&describe).collect();
    let entry = |name: &String, change| Difference::Entry { item, name: name.clone(), change };
    let lacks = |list: &[(String, Fields)], name: &String| list.iter().all(|(n, _)| n != name);
    let mut found = Vec::new();
    for (name, fields) in &new {
        let Some((_, before)) = old.iter().find(|(n, _)| n == name) else {
            found.push(entry(name, Change::Added));
            continue;
        };
        for ((field, old), (_, new)) in before.iter().zip(fields).filter(|((_, a), (_, b))| a != b) {
            let change = Change::Field { field, old: old.clone(), new: new.clone() };
            found.push(entry(name, change));
        }
    }
    let removed = old.iter().filter(|(name, _)| lacks(&new, name));
    found.extend(removed.map(|(name, _)| entry(name, Change::Removed)));
    found
}

fn queue_fields(queue: &Queue) -> Fields {
    let Queue { name: _, host, path_prefix, service, priority, max_attempts, stretch, target_ms, public } =
        queue;
    vec![
        ("host", host.clone()),
        ("path prefix", path_prefix.clone()),
        ("service", service.clone()),
        ("priority", priority.to_string()),
        ("attempts", max_attempts.to_string()),
        ("stretch", stretch.to_string()),
        ("target in ms", target_ms.to_string()),
        ("public", public.to_string()),
    ]
}

fn customer_fields(customer: &Customer) -> Fields {
    let Customer { name: _, keys: _, weight, limit } = customer;
    let amount = |v: u64| if v == UNLIMITED { "unlimited".to_owned() } else { v.to_string() };
    vec![
        ("weight", weight.to_string()),
        ("CPU limit", amount(limit.cpu)),
        ("memory limit in MiB", amount(limit.mem)),
        ("accelerator limit", amount(limit.gpu)),
    ]
}

/// Keys that a customer has lost or gained. They are compared whole, as several can begin with the same characters.
fn key_changes(before: &Customer, after: &Customer) -> Vec<Difference> {
    let keys = |c: &Customer| c.keys.iter().cloned().collect::<BTreeSet<String>>();
    let (old, new) = (keys(before), keys(after));
    let entry = |change| Difference::Entry { item: Item::Customer, name: after.name.clone(), change };
    let removed = old.difference(&new).map(|k| entry(Change::KeyRemoved(masked(k))));
    let added = new.difference(&old).map(|k| entry(Change::KeyAdded(masked(k))));
    removed.chain(added).collect()
}
