//! Execution of operators' commands, which are accepted only once they are in force.
//!
//! A command is in force once every live member has applied it, or once a majority has and the others can no
//! longer confirm their offset and have therefore stopped starting work.

use std::time::{Duration, Instant};

use events::Event;
use fold::{ConfigChange, Incarnation, Operation, Outcome, Refusal, Tables};
use lang::{Action, Command};
use serde::Serialize;

use crate::append::CommitResult;
use crate::node::{Node, time_left};
use crate::state::State;

/// Added to the validity of a confirmation before lagging hosts count as stopped; also the longest wait between
/// two checks.
const IN_FORCE_MARGIN: Duration = Duration::from_millis(200);

/// Result of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum CommandResult {
    /// The command is in force: every host has applied it or has stopped starting work.
    Accepted {
        /// Version of the changed object.
        version: u64,
        /// Hosts that have stopped starting work.
        stopped: Vec<String>,
    },
    /// The command may be on the log, but is not known to be in force.
    Pending {
        /// Version of the changed object; `None` while it is unknown whether the command is on the log.
        version: Option<u64>,
        /// Hosts, or other conditions, that are still awaited.
        waiting: Vec<String>,
    },
    /// The command has no effect.
    Refused {
        /// Cause as text.
        reason: String,
    },
    /// A dry run found that the command would be applied.
    Allowed {
        /// Current version of the object.
        version: u64,
    },
}

impl Node {
    /// Runs a command and waits until it is in force.
    pub(crate) async fn run_command(&self, who: &str, command: &Command, deadline: Instant) -> CommandResult {
        let change = match self.resolve_change(&command.action) {
            Ok(change) => change,
            Err(reason) => return CommandResult::Refused { reason },
        };
        if !self.state.lock().is_live() {
            return CommandResult::Refused { reason: "this host has not joined, or is shut out".into() };
        }
        if command.dry_run {
            return self.dry_run(command.version, &change);
        }
        let id = command.id.clone().unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
        let object = change.object();
        let team = match &change {
            ConfigChange::Team { name, .. } => Some(name.clone()),
            _ => None,
        };
        let operation = Operation::Configure {
            operator_key: who.to_owned(),
            command_id: id,
            version: command.version,
            change,
        };
        let version = match self.propose(operation, time_left(deadline)).await {
            CommitResult::Done(Outcome::Applied(version)) => version,
            CommitResult::Done(Outcome::Refused(reason)) => {
                return CommandResult::Refused { reason: reason.to_string() };
            }
            CommitResult::Withdrawn => {
                return CommandResult::Refused { reason: "the log does not answer".into() };
            }
            CommitResult::Sent => {
                return CommandResult::Pending { version: None, waiting: vec!["log".into()] };
            }
        };
        self.record_event(Event {
            kind: "command".into(),
            note: format!("{who}: {object}"),
            ..Event::default()
        });
        if let Some(team) = team
            && !self.wait_until_within_limit(&team, deadline).await
        {
            return CommandResult::Pending {
                version: Some(version),
                waiting: vec![format!("running tasks of team {team}")],
            };
        }
        self.wait_until_in_force(version, deadline).await
    }

    /// Waits until the allotted units of a team are within its limit; false if the deadline passes.
    async fn wait_until_within_limit(&self, team: &str, deadline: Instant) -> bool {
        loop {
            let changed = self.entries_applied.notified();
            if !self.state.lock().is_over_limit(team) {
                return true;
            }
            if time_left(deadline) == Duration::ZERO {
                return false;
            }
            let _ = tokio::time::timeout(time_left(deadline).min(IN_FORCE_MARGIN), changed).await;
        }
    }

    fn dry_run(&self, version: Option<u64>, change: &ConfigChange) -> CommandResult {
        let state = self.state.lock();
        match state.tables.check_change(version, change) {
            Ok(()) => CommandResult::Allowed { version: state.tables.version(&change.object()) },
            Err(reason) => CommandResult::Refused { reason: reason.to_string() },
        }
    }

    fn resolve_change(&self, action: &Action) -> Result<ConfigChange, String> {
        match action {
            Action::Change(change) => Ok(change.clone()),
            Action::Assign { host, pool } => {
                let state = self.state.lock();
                let view = state
                    .workers
                    .get(host)
                    .ok_or_else(|| Refusal::Missing(format!("host {host}")).to_string())?;
                Ok(ConfigChange::Assign {
                    host: host.clone(),
                    pool: pool.clone(),
                    rack: view.info.rack.clone(),
                    zone: view.info.zone.clone(),
                })
            }
            Action::Grant { name, secret, team, operator } => Ok(ConfigChange::Grant {
                name: name.clone(),
                digest: self.keyed_digest(secret).to_hex().to_string(),
                team: team.clone(),
                operator: *operator,
            }),
        }
    }

    /// Waits until the entry at an offset is in force on all hosts.
    async fn wait_until_in_force(&self, offset: u64, deadline: Instant) -> CommandResult {
        let mut majority_since: Option<Instant> = None;
        loop {
            let changed = self.entries_applied.notified();
            let (lagging, by_majority) = {
                let state = self.state.lock();
                (state.lagging_members(offset), state.applied_by_majority(offset))
            };
            if by_majority && majority_since.is_none() {
                majority_since = Some(Instant::now());
            }
            let stopped =
                majority_since.is_some_and(|at| at.elapsed() > self.confirmation_ttl() + IN_FORCE_MARGIN);
            if lagging.is_empty() || stopped {
                return CommandResult::Accepted { version: offset, stopped: lagging };
            }
            if time_left(deadline) == Duration::ZERO {
                return CommandResult::Pending { version: Some(offset), waiting: lagging };
            }
            let _ = tokio::time::timeout(time_left(deadline).min(IN_FORCE_MARGIN), changed).await;
        }
    }

    /// Digest of a secret, keyed with the shared secret of the entry hosts.
    fn keyed_digest(&self, secret: &str) -> blake3::Hash {
        blake3::keyed_hash(&self.secret, secret.as_bytes())
    }

    /// Team of a granted key; digests are compared in constant time.
    pub(crate) fn team_of_key(&self, tables: &Tables, secret: &str) -> Option<String> {
        let digest = self.keyed_digest(secret);
        let matches_digest =
            |key: &&fold::Key| blake3::Hash::from_hex(&key.digest).is_ok_and(|d| d == digest);
        tables.keys.values().filter(|k| !k.withdrawn).find(matches_digest).map(|key| key.team.clone())
    }

    /// Name of the operator's key that a secret belongs to.
    pub(crate) fn operator_of_key(&self, secret: &str) -> Option<String> {
        let digest = self.keyed_digest(secret);
        if digest == self.keyed_digest(self.settings.operator.expose()) {
            return Some("root".to_owned());
        }
        let state = self.state.lock();
        let matches_digest = |key: &fold::Key| blake3::Hash::from_hex(&key.digest).is_ok_and(|d| d == digest);
        let granted = state.tables.keys.iter().find(|(_, k)| k.operator && !k.withdrawn && matches_digest(k));
        granted.map(|(name, _)| name.clone())
    }
}

impl State {
    /// True while more units of a team are allotted than its limit, which happens after the limit was lowered.
    #[must_use]
    pub fn is_over_limit(&self, team: &str) -> bool {
        self.tables.teams.get(team).is_some_and(|t| t.quota.unallotted() < 0)
    }

    /// Names of members that are not known to have applied an offset.
    fn lagging_members(&self, offset: u64) -> Vec<String> {
        let is_lagging = |inc: Incarnation| {
            let applied = if inc == self.incarnation {
                Some(self.tables.next_offset)
            } else {
                self.freshness.applied_by(inc)
            };
            applied.is_none_or(|a| a <= offset)
        };
        self.tables.voters().filter(|(inc, _)| is_lagging(*inc)).map(|(_, m)| m.host.clone()).collect()
    }
}
