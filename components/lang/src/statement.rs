//! Statements: the parsed form of a line.

use fold::ConfigChange;

/// A parsed line.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Statement {
    /// Shows state.
    Query(Query),
    /// Changes state.
    Command(Command),
}

/// What to show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Query {
    /// Pools with their budgets and the number of hosts out of service.
    Pools,
    /// Workers with pool, location and load.
    Hosts,
    /// Teams with share, limit and number of running tasks.
    Teams,
    /// Queues with their pools.
    Queues,
    /// API keys, without their secrets.
    Keys,
    /// Hosts, racks and zones that are out of service or draining.
    Places,
    /// Maintenance plans with progress.
    Plans,
    /// Jobs with their phases.
    Jobs,
    /// Member entry hosts.
    Members,
    /// This host's log offset and the age of its confirmation.
    Status,
}

/// A command with its options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// What to change.
    pub action: Action,
    /// Version that the object must have; any if none.
    pub version: Option<u64>,
    /// Idempotency key.
    pub id: Option<String>,
    /// True to check the command without applying it.
    pub dry_run: bool,
}

/// What a command changes.
#[derive(Clone, PartialEq, Eq)]
pub enum Action {
    /// A change that needs no further data.
    Change(ConfigChange),
    /// Assigns a host to a pool; its rack and zone come from the host list.
    Assign {
        /// Worker name.
        host: String,
        /// Pool name.
        pool: String,
    },
    /// Grants an API key; only a digest of its secret goes to the log.
    Grant {
        /// Key name.
        name: String,
        /// Secret that callers send.
        secret: String,
        /// Team that is charged.
        team: String,
        /// True if the key may run operators' commands.
        operator: bool,
    },
}

impl std::fmt::Debug for Action {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Change(change) => write!(f, "{change:?}"),
            Self::Assign { host, pool } => write!(f, "assign {host} to {pool}"),
            Self::Grant { name, team, .. } => write!(f, "grant {name} to {team}"),
        }
    }
}
