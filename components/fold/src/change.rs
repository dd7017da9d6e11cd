//! Checks and applies changes of the configuration.

use std::collections::BTreeSet;

use crate::apply::ApplyResult;
use crate::record::{ConfigChange, Place};
use crate::tables::{Host, Key, Outcome, Pool, Queue, Refusal, Tables, Team, places_of};

const MAX_RECENT_COMMANDS: usize = 1024;

impl Tables {
    /// Applies a change, or returns the recorded outcome if the command is repeated.
    pub(crate) fn configure(
        &mut self,
        offset: u64,
        command_id: &str,
        version: Option<u64>,
        change: &ConfigChange,
    ) -> Outcome {
        if let Some(earlier) = self.command_outcomes.get(command_id) {
            return earlier.clone();
        }
        let outcome = match self.check_change(version, change) {
            Ok(()) => {
                self.apply_change(change);
                self.versions.insert(change.object(), offset);
                Outcome::Applied(offset)
            }
            Err(refusal) => Outcome::Refused(refusal),
        };
        self.record_outcome(command_id, &outcome);
        outcome
    }

    /// Checks whether a change would be applied now.
    ///
    /// # Errors
    /// The [`Refusal`] with which the change would be refused.
    pub fn check_change(&self, version: Option<u64>, change: &ConfigChange) -> Result<(), Refusal> {
        self.check_version(version, change)?;
        match change {
            ConfigChange::Pool { .. } | ConfigChange::Team { .. } | ConfigChange::TakeOut(_) => Ok(()),
            ConfigChange::Assign { pool, .. } => self.require_pool(pool),
            ConfigChange::Queue { pool, open_team, .. } => {
                self.require_pool(pool)?;
                open_team.as_ref().map_or(Ok(()), |team| self.require_team(team))
            }
            ConfigChange::Grant { name, team, .. } => self.check_grant(name, team),
            ConfigChange::Withdraw { name } => self.require_key(name),
            ConfigChange::Drain(place) => self.check_drain(place),
            ConfigChange::BringBack(place) => self.check_bring_back(place),
            ConfigChange::Plan { name, place } => self.check_plan(name, place),
            ConfigChange::SetPlan { name, .. } => self.check_plan_state(name),
        }
    }

    fn check_version(&self, version: Option<u64>, change: &ConfigChange) -> ApplyResult {
        let object = change.object();
        let current = self.version(&object);
        match version {
            Some(required) if required != current => Err(Refusal::Outdated { object, version: current }),
            _ => Ok(()),
        }
    }

    fn require_pool(&self, name: &str) -> ApplyResult {
        if self.pools.contains_key(name) { Ok(()) } else { Err(Refusal::Missing(format!("pool {name}"))) }
    }

    fn require_team(&self, name: &str) -> ApplyResult {
        if self.teams.contains_key(name) { Ok(()) } else { Err(Refusal::Missing(format!("team {name}"))) }
    }

    fn require_key(&self, name: &str) -> ApplyResult {
        if self.keys.contains_key(name) { Ok(()) } else { Err(Refusal::Missing(format!("key {name}"))) }
    }

    fn check_grant(&self, name: &str, team: &str) -> ApplyResult {
        if self.keys.get(name).is_some_and(|k| k.withdrawn) {
            return Err(Refusal::Withdrawn(format!("key {name}")));
        }
        self.require_team(team)
    }

    /// Refuses a drain that would take further hosts of a pool out of service beyond its budget.
    pub(crate) fn check_drain(&self, place: &Place) -> ApplyResult {
        let mut after = self.clone_service_state();
        after.drains.insert(place.clone());
        for name in self.pools_in(place) {
            let out = after.hosts_out(&name);
            let budget = self.pools.get(&name).map_or(0, |p| p.budget);
            if out > budget && out > self.hosts_out(&name) {
                return Err(Refusal::Budget { pool: name, budget, out });
            }
        }
        Ok(())
    }

    fn check_bring_back(&self, place: &Place) -> ApplyResult {
        if self.outages.contains(place) || self.drains.contains(place) {
            return Ok(());
        }
        Err(Refusal::InvalidState(format!("{place} is in service")))
    }

    fn clone_service_state(&self) -> Self {
        Self {
            hosts: self.hosts.clone(),
            outages: self.outages.clone(),
            drains: self.drains.clone(),
            ..Self::default()
        }
    }

    fn pools_in(&self, place: &Place) -> BTreeSet<String> {
        let inside = self.hosts.iter().filter(|(name, host)| places_of(name, host).contains(place));
        inside.map(|(_, host)| host.pool.clone()).collect()
    }

    fn apply_change(&mut self, change: &ConfigChange) {
        match change {
            ConfigChange::Pool { name, budget } => {
                self.pools.insert(name.clone(), Pool { budget: *budget });
            }
            ConfigChange::Assign { host, pool, rack, zone } => self.assign(host, pool, rack, zone),
            ConfigChange::Team { name, share, limit } => self.set_team(name, *share, *limit),
            ConfigChange::Queue { name, pool, open_team } => {
                self.queues.insert(name.clone(), Queue { pool: pool.clone(), open_team: open_team.clone() });
            }
            ConfigChange::Grant { name, digest, team, operator } => {
                let key =
                    Key { digest: digest.clone(), team: team.clone(), operator: *operator, withdrawn: false };
                self.keys.insert(name.clone(), key);
            }
            ConfigChange::Withdraw { name } => {
                if let Some(key) = self.keys.get_mut(name) {
                    key.withdrawn = true;
                }
            }
            ConfigChange::TakeOut(place) => {
                self.outages.insert(place.clone());
            }
            ConfigChange::Drain(place) => {
                self.drains.insert(place.clone());
            }
            ConfigChange::BringBack(place) => {
                self.outages.remove(place);
                self.drains.remove(place);
            }
            ConfigChange::Plan { name, place } => self.start_plan(name, place),
            ConfigChange::SetPlan { name, state } => self.set_plan_state(name, *state),
        }
    }

    fn assign(&mut self, name: &str, pool: &str, rack: &str, zone: &str) {
        let down = self.hosts.get(name).is_some_and(|h| h.down);
        let host = Host { pool: pool.to_owned(), rack: rack.to_owned(), zone: zone.to_owned(), down };
        self.hosts.insert(name.to_owned(), host);
    }

    fn set_team(&mut self, name: &str, share: u32, limit: i64) {
        let team =
            self.teams.entry(name.to_owned()).or_insert_with(|| Team { share, quota: Default::default() });
        team.share = share;
        team.quota.limit = limit;
    }

    fn record_outcome(&mut self, command_id: &str, outcome: &Outcome) {
        self.command_outcomes.insert(command_id.to_owned(), outcome.clone());
        self.recent_commands.push(command_id.to_owned());
        if self.recent_commands.len() > MAX_RECENT_COMMANDS {
            let oldest = self.recent_commands.remove(0);
            self.command_outcomes.remove(&oldest);
        }
    }
}
