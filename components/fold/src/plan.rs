//! Checks and applies the steps of maintenance plans.

use std::collections::{BTreeMap, BTreeSet};

use crate::apply::ApplyResult;
use crate::record::{Place, PlanState};
use crate::tables::{Plan, Refusal, Tables, places_of};

impl Tables {
    /// Names of the workers in a place.
    #[must_use]
    pub fn hosts_in(&self, place: &Place) -> BTreeSet<String> {
        let inside = self.hosts.iter().filter(|(name, host)| places_of(name, host).contains(place));
        inside.map(|(name, _)| name.clone()).collect()
    }

    /// Worker that a running plan can drain next within the budgets.
    ///
    /// At most as many workers of a pool as its budget can be drained at once. The pool whose remaining workers
    /// need the most batches of that size comes first, since it finishes last.
    #[must_use]
    pub fn next_host_to_drain(&self, plan: &Plan) -> Option<String> {
        if plan.state != PlanState::Running {
            return None;
        }
        let remaining: Vec<String> =
            self.hosts_in(&plan.place).into_iter().filter(|h| !plan.has_drained(h)).collect();
        let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
        for host in &remaining {
            *counts.entry(&self.hosts[host].pool).or_default() += 1;
        }
        let batches = |host: &String| {
            let pool = self.hosts[host].pool.as_str();
            let budget = self.pools.get(pool).map_or(1, |p| u64::from(p.budget.max(1)));
            counts[pool].div_ceil(budget)
        };
        let allowed = remaining.iter().filter(|host| self.check_drain(&Place::Host((*host).clone())).is_ok());
        allowed.max_by_key(|host| batches(host)).cloned()
    }

    pub(crate) fn check_plan(&self, name: &str, place: &Place) -> ApplyResult {
        if self.plans.get(name).is_some_and(|p| p.state == PlanState::Running) {
            return Err(Refusal::InvalidState(format!("plan {name} is running")));
        }
        if self.hosts_in(place).is_empty() {
            return Err(Refusal::Missing(format!("host at {place}")));
        }
        Ok(())
    }

    pub(crate) fn check_plan_state(&self, name: &str) -> ApplyResult {
        match self.plans.get(name) {
            None => Err(Refusal::Missing(format!("plan {name}"))),
            Some(plan) if matches!(plan.state, PlanState::Running | PlanState::Paused) => Ok(()),
            Some(plan) => Err(Refusal::InvalidState(format!("plan {name} is {:?}", plan.state))),
        }
    }

    pub(crate) fn start_plan(&mut self, name: &str, place: &Place) {
        let plan = Plan {
            place: place.clone(),
            state: PlanState::Running,
            drained: BTreeSet::new(),
            rebooting: BTreeMap::new(),
            done: BTreeSet::new(),
        };
        self.plans.insert(name.to_owned(), plan);
    }

    /// Sets the state of a plan.
    ///
    /// Aborting returns the drained workers to service; workers being rebooted return once they are up.
    pub(crate) fn set_plan_state(&mut self, name: &str, state: PlanState) {
        let Some(plan) = self.plans.get_mut(name) else { return };
        plan.state = state;
        if state == PlanState::Aborted {
            for host in std::mem::take(&mut plan.drained) {
                self.drains.remove(&Place::Host(host));
            }
        }
    }

    pub(crate) fn plan_drain(&mut self, name: &str, host: &str) -> ApplyResult {
        let place = Place::Host(host.to_owned());
        let plan = self.plans.get(name).ok_or_else(|| Refusal::Missing(format!("plan {name}")))?;
        if plan.state != PlanState::Running || plan.has_drained(host) || self.drains.contains(&place) {
            return Err(Refusal::InvalidState(format!("plan {name} does not drain {host} now")));
        }
        self.check_drain(&place)?;
        self.drains.insert(place);
        if let Some(plan) = self.plans.get_mut(name) {
            plan.drained.insert(host.to_owned());
        }
        Ok(())
    }

    pub(crate) fn plan_reboot(&mut self, name: &str, host: &str, boot: u64) -> ApplyResult {
        let plan = self.plans.get_mut(name).ok_or_else(|| Refusal::Missing(format!("plan {name}")))?;
        if !plan.drained.remove(host) {
            return Err(Refusal::InvalidState(format!("plan {name} has not drained {host}")));
        }
        plan.rebooting.insert(host.to_owned(), boot);
        Ok(())
    }

    pub(crate) fn plan_done(&mut self, name: &str, host: &str) -> ApplyResult {
        let plan = self.plans.get_mut(name).ok_or_else(|| Refusal::Missing(format!("plan {name}")))?;
        if plan.rebooting.remove(host).is_none() {
            return Err(Refusal::InvalidState(format!("plan {name} does not reboot {host}")));
        }
        plan.done.insert(host.to_owned());
        self.drains.remove(&Place::Host(host.to_owned()));
        self.finish_plan(name);
        Ok(())
    }

    fn finish_plan(&mut self, name: &str) {
        let Some(plan) = self.plans.get(name) else { return };
        let all_done = self.hosts_in(&plan.place).iter().all(|host| plan.done.contains(host));
        if let Some(plan) = self.plans.get_mut(name).filter(|p| all_done && p.state != PlanState::Aborted) {
            plan.state = PlanState::Done;
        }
    }
}

impl Plan {
    /// True if the plan has drained a worker, also if it was rebooted since.
    #[must_use]
    pub fn has_drained(&self, host: &str) -> bool {
        self.drained.contains(host) || self.rebooting.contains_key(host) || self.done.contains(host)
    }
}
