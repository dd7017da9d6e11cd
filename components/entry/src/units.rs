//! Units of the teams' upper limits: allotted through the log, requested from peers, and returned when a limit
//! is lowered.

use std::sync::Arc;
use std::time::Duration;

use fold::{Operation, TeamUnits};
use wire::UnitNeed;

use crate::append::CommitResult;
use crate::node::Node;
use crate::state::State;

const REBALANCE_PERIOD: Duration = Duration::from_millis(50);
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// Moves units to where they are needed until the node stops.
pub async fn run(node: Arc<Node>) {
    let ticks = node.timer.every(REBALANCE_PERIOD);
    loop {
        ticks.tick().await;
        let operations = node.state.lock().unit_operations();
        if !operations.is_empty() {
            let proposals: Vec<_> = operations
                .into_iter()
                .map(|operation| spawn_proposal(Arc::clone(&node), operation))
                .collect();
            for proposal in proposals {
                let _ = proposal.await;
            }
            node.dispatch_wake.notify_one();
        }
        if !node.state.lock().unit_needs().is_empty() {
            node.heartbeat_wake.notify_one();
        }
    }
}

fn spawn_proposal(node: Arc<Node>, operation: Operation) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        let withdrawn = node.propose(operation.clone(), LOG_TIMEOUT).await == CommitResult::Withdrawn;
        if let (true, Operation::ReturnUnits(units)) = (withdrawn, operation) {
            node.state.lock().cancel_return(&units);
        }
    })
}

impl State {
    /// Makes units available again after their return was withdrawn.
    fn cancel_return(&mut self, units: &TeamUnits) {
        if let Some(quota) = self.quotas.get_mut(&units.team) {
            quota.end_return(units.units);
        }
    }

    /// Operations that take or return units, at most one for each team.
    fn unit_operations(&mut self) -> Vec<Operation> {
        if !self.is_live() || self.leaving {
            return Vec::new();
        }
        let live = i64::try_from(self.tables.live_members().count()).unwrap_or(1).max(1);
        let names: Vec<String> = self.tables.teams.keys().cloned().collect();
        names.into_iter().filter_map(|team| self.unit_operation(team, live)).collect()
    }

    /// Returns this host's share of the excess over a lowered limit, or takes units up to what the waiting
    /// requests need and at least an even share of the limit.
    fn unit_operation(&mut self, team: String, live: i64) -> Option<Operation> {
        let team_quota = &self.tables.teams.get(&team)?.quota;
        let unallotted = team_quota.unallotted();
        let waiting = self.queues.waiting(&team);
        let even_share = (team_quota.limit / live).max(1);
        let quota = self.quotas.entry(team.clone()).or_default();
        if unallotted < 0 {
            let excess = (-unallotted + live - 1) / live;
            let units = quota.begin_return(excess);
            return (units > 0).then_some(Operation::ReturnUnits(TeamUnits { team, units }));
        }
        let missing_units = (waiting - quota.free()).max(even_share - quota.held());
        let units = missing_units.min(unallotted);
        (units > 0).then_some(Operation::RequestUnits(TeamUnits { team, units }))
    }

    /// Units that the waiting requests of this host need, by team.
    #[must_use]
    pub fn unit_needs(&self) -> Vec<UnitNeed> {
        let need = |(team, quota): (&String, &escrow::HostQuota)| {
            let units = self.queues.waiting(team) - quota.free();
            (units > 0).then(|| UnitNeed { team: team.clone(), units })
        };
        self.quotas.iter().filter_map(need).collect()
    }
}
