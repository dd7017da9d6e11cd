//! Results of operators' queries, as rows in JSON.

use std::time::Instant;

use fold::JobPhase;
use lang::Query;
use serde::Serialize;
use serde_json::{Value, json};

use crate::node::Node;
use crate::state::State;

/// Result of a query.
#[derive(Debug, Serialize)]
pub struct Report {
    /// One JSON object for each row.
    pub rows: Vec<Value>,
}

impl Node {
    /// Runs a query on this host's tables.
    pub(crate) fn run_query(&self, query: Query) -> Report {
        let state = self.state.lock();
        let rows = match query {
            Query::Pools => state.pool_rows(),
            Query::Hosts => state.host_rows(),
            Query::Teams => state.team_rows(),
            Query::Queues => state.queue_rows(),
            Query::Keys => state.key_rows(),
            Query::Places => state.place_rows(),
            Query::Plans => state.plan_rows(),
            Query::Jobs => state.job_rows(),
            Query::Members => state.member_rows(),
            Query::Status => vec![self.status_row(&state)],
        };
        Report { rows }
    }

    fn status_row(&self, state: &State) -> Value {
        let now = Instant::now();
        let age_ms =
            |at: Option<std::time::Duration>| at.map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
        let confirmed = state.freshness.confirmed_at(now, state.tables.next_offset, state.voter_count());
        json!({
            "host": self.settings.name,
            "incarnation": format!("{:016x}", self.incarnation),
            "offset": state.tables.next_offset,
            "confirmed_ms_ago": age_ms(confirmed.map(|at| now.saturating_duration_since(at))),
            "log_ms_ago": age_ms(state.freshness.log_confirmed_at().map(|at| now.saturating_duration_since(at))),
            "starts_work": state.confirmed_until(now, self.confirmation_ttl()).is_some() && state.is_live() && !state.leaving,
            "votes": state.claims_synced,
            "claims": state.claims.len(),
        })
    }
}

impl State {
    fn pool_rows(&self) -> Vec<Value> {
        let row = |(name, pool): (&String, &fold::Pool)| {
            let hosts = self.tables.hosts.values().filter(|h| h.pool == *name).count();
            json!({
                "pool": name, "hosts": hosts, "budget": pool.budget,
                "out": self.tables.hosts_out(name), "version": self.tables.version(&format!("pool {name}")),
            })
        };
        self.tables.pools.iter().map(row).collect()
    }

    fn host_rows(&self) -> Vec<Value> {
        let row = |(name, view): (&String, &crate::state::WorkerView)| {
            let pool = self.tables.hosts.get(name).map(|h| h.pool.clone());
            json!({
                "host": name, "pool": pool, "zone": view.info.zone, "rack": view.info.rack,
                "listed": view.info.state, "in_service": self.in_service(name), "ejected": view.is_ejected(),
                "inflight": view.inflight, "slots": view.info.slots,
                "version": self.tables.version(&format!("host {name}")),
            })
        };
        self.workers.iter().map(row).collect()
    }

    fn team_rows(&self) -> Vec<Value> {
        let row = |(name, team): (&String, &fold::Team)| {
            let held = self.quotas.get(name).map_or(0, escrow::HostQuota::held);
            json!({
                "team": name, "share": team.share, "limit": team.quota.limit, "running": self.running(name),
                "held_here": held, "unallotted": team.quota.unallotted(), "waiting": self.waiting(name),
                "version": self.tables.version(&format!("team {name}")),
            })
        };
        self.tables.teams.iter().map(row).collect()
    }

    fn queue_rows(&self) -> Vec<Value> {
        let row = |(name, queue): (&String, &fold::Queue)| json!({ "queue": name, "pool": queue.pool, "open": queue.open_team });
        self.tables.queues.iter().map(row).collect()
    }

    fn key_rows(&self) -> Vec<Value> {
        let row = |(name, key): (&String, &fold::Key)| json!({ "key": name, "team": key.team, "operator": key.operator, "withdrawn": key.withdrawn });
        self.tables.keys.iter().map(row).collect()
    }

    fn place_rows(&self) -> Vec<Value> {
        let outages = self.tables.outages.iter().map(|p| json!({ "place": p.to_string(), "state": "out" }));
        let drains =
            self.tables.drains.iter().map(|p| json!({ "place": p.to_string(), "state": "draining" }));
        outages.chain(drains).collect()
    }

    fn plan_rows(&self) -> Vec<Value> {
        let row = |(name, plan): (&String, &fold::Plan)| {
            let all = self.tables.hosts_in(&plan.place).len();
            json!({
                "plan": name, "place": plan.place.to_string(), "state": plan.state, "hosts": all,
                "done": plan.done.len(), "draining": plan.drained, "rebooting": plan.rebooting.keys().collect::<Vec<_>>(),
                "version": self.tables.version(&format!("plan {name}")),
            })
        };
        self.tables.plans.iter().map(row).collect()
    }

    fn job_rows(&self) -> Vec<Value> {
        let row = |(id, job): (&String, &fold::Job)| {
            let worker = match &job.phase {
                JobPhase::Claimed { worker, .. } => Some(worker.clone()),
                _ => None,
            };
            json!({ "team": job.team, "worker": worker, "view": crate::jobs::JobView::new(id, job) })
        };
        self.tables.jobs.iter().map(row).collect()
    }

    fn member_rows(&self) -> Vec<Value> {
        let row = |(inc, member): (&fold::Incarnation, &fold::Member)| {
            let heard =
                self.peers.get(inc).and_then(|p| p.last_heard).map(|at| at.elapsed().as_millis().to_string());
            json!({
                "host": member.host, "incarnation": format!("{inc:016x}"), "zone": member.zone,
                "admin": member.admin, "state": member.state, "applied": self.freshness.applied_by(*inc),
                "heard_ms_ago": heard,
            })
        };
        self.tables.members.iter().map(row).collect()
    }
}
