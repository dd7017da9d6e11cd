//! Execution of maintenance plans: drain within the budgets, wait until idle, reboot, verify, bring back.
//!
//! One active member coordinates the plans. Every step is recorded on the log, so another member can continue
//! after any of them. The boot id before a reboot is recorded too: a worker that comes back with another boot
//! id has been rebooted.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fold::Operation;

use crate::node::Node;
use crate::state::State;

const STEP_PERIOD: Duration = Duration::from_millis(100);
const LOG_TIMEOUT: Duration = Duration::from_secs(5);
/// Added to the validity of a confirmation before a drained worker is rebooted.
const DRAIN_MARGIN: Duration = Duration::from_millis(200);

/// The current step of a plan for one worker.
#[derive(Debug, Clone)]
struct WorkerStep {
    plan: String,
    host: String,
    addr: String,
    /// Boot id before the reboot; `None` while the worker drains.
    old_boot: Option<u64>,
}

/// Executes the plans until the node stops.
pub async fn run(node: Arc<Node>) {
    let ticks = node.timer.every(STEP_PERIOD);
    let mut drained_since = BTreeMap::new();
    loop {
        ticks.tick().await;
        if !node.is_coordinator("plans") {
            drained_since.clear();
            continue;
        }
        let (operations, steps) = {
            let state = node.state.lock();
            (state.next_drains(), state.plan_steps())
        };
        drained_since.retain(|host, _| steps.iter().any(|s| s.host == *host));
        let calls = steps.iter().map(|step| {
            let since = *drained_since.entry(step.host.clone()).or_insert_with(Instant::now);
            advance(&node, step, since)
        });
        let proposals = operations.into_iter().map(|operation| node.propose(operation, LOG_TIMEOUT));
        tokio::join!(futures_util::future::join_all(calls), futures_util::future::join_all(proposals));
    }
}

impl State {
    /// Next drain of each running plan; drains beyond a budget are refused when they are applied.
    fn next_drains(&self) -> Vec<Operation> {
        let plans = self.tables.plans.iter();
        let drains = plans.filter_map(|(name, plan)| {
            let host = self.tables.next_host_to_drain(plan)?;
            Some(Operation::PlanDrain { plan: name.clone(), host })
        });
        drains.collect()
    }

    fn plan_steps(&self) -> Vec<WorkerStep> {
        let mut steps = Vec::new();
        for (name, plan) in &self.tables.plans {
            let drained = plan.drained.iter().map(|host| (host, None));
            let rebooting = plan.rebooting.iter().map(|(host, boot)| (host, Some(*boot)));
            for (host, old_boot) in drained.chain(rebooting) {
                let Some(view) = self.workers.get(host) else { continue };
                let (plan, host, addr) = (name.clone(), host.clone(), view.info.addr.clone());
                steps.push(WorkerStep { plan, host, addr, old_boot });
            }
        }
        steps
    }
}

/// Moves a worker to its next step if the current one is complete.
async fn advance(node: &Node, step: &WorkerStep, drained_since: Instant) {
    let Ok(usage) = node.clients.workers.usage(&step.addr).await else { return };
    let (plan, host) = (step.plan.clone(), step.host.clone());
    match step.old_boot {
        Some(old_boot) if usage.boot != old_boot => {
            if let Some(view) = node.state.lock().workers.get_mut(&host) {
                view.boot = None;
            }
            node.propose(Operation::PlanDone { plan, host }, LOG_TIMEOUT).await;
        }
        Some(_) => drop(node.clients.workers.reboot(&step.addr).await),
        // After this time no host holds a confirmation from before the drain, so none can start work there.
        None if usage.running == 0 && drained_since.elapsed() > node.confirmation_ttl() + DRAIN_MARGIN => {
            node.propose(Operation::PlanReboot { plan, host, boot: usage.boot }, LOG_TIMEOUT).await;
        }
        None => {}
    }
}
