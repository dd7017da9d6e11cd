//! HTTP API for operators: commands and queries, metrics, and the timeline of events.
//!
//! `POST /command` runs one line of the operators' language, `GET /metrics` returns the metrics, and
//! `GET /events?since=` returns this host's events. All but the metrics require an operator's key.

use std::sync::Arc;
use std::time::{Duration, Instant};

use edge::{VERDICT_HEADER, Verdict};
use lang::Statement;
use poem::http::StatusCode;
use poem::web::{Data, Query};
use poem::{EndpointExt, Request, Response, Route, get, handler, post};
use serde::Deserialize;
use tokio::net::TcpListener;

use crate::command::CommandResult;
use crate::node::Node;
use crate::serve::bearer;

const COMMAND_TIMEOUT: Duration = Duration::from_secs(9);

#[derive(Debug, Deserialize)]
struct Since {
    #[serde(default)]
    since: u64,
}

/// Serves operators until the node stops.
pub async fn listen(node: Arc<Node>, listener: TcpListener) {
    let app = Route::new()
        .at("/command", post(post_command))
        .at("/metrics", get(get_metrics))
        .at("/events", get(get_events))
        .data(node);
    let Ok(acceptor) = poem::listener::TcpAcceptor::from_tokio(listener) else {
        return;
    };
    if let Err(error) = poem::Server::new_with_acceptor(acceptor).run(app).await {
        tracing::error!("admin: HTTP server failed: {error}");
    }
}

#[handler]
async fn post_command(node: Data<&Arc<Node>>, request: &Request, line: String) -> Response {
    let Some(who) = bearer(request).and_then(|secret| node.operator_of_key(secret)) else {
        return text(StatusCode::UNAUTHORIZED, "an operator's key is needed".into());
    };
    match lang::parse(&line) {
        Err(fault) => text(StatusCode::BAD_REQUEST, fault.to_string()),
        Ok(Statement::Query(query)) => json(StatusCode::OK, &node.run_query(query)),
        Ok(Statement::Command(command)) => {
            let answer = node.run_command(&who, &command, Instant::now() + COMMAND_TIMEOUT).await;
            json(http_status(&answer), &answer)
        }
    }
}

const fn http_status(answer: &CommandResult) -> StatusCode {
    match answer {
        CommandResult::Accepted { .. } | CommandResult::Allowed { .. } => StatusCode::OK,
        CommandResult::Pending { .. } => StatusCode::ACCEPTED,
        CommandResult::Refused { .. } => StatusCode::CONFLICT,
    }
}

#[handler]
fn get_metrics(node: Data<&Arc<Node>>) -> String {
    node.update_gauges();
    node.metrics.as_ref().map(metrics_exporter_prometheus::PrometheusHandle::render).unwrap_or_default()
}

impl Node {
    /// Updates the gauges that are computed from the state.
    #[expect(clippy::cast_precision_loss, reason = "metrics are floating point")]
    fn update_gauges(&self) {
        let now = Instant::now();
        let state = self.state.lock();
        metrics::gauge!("lagoonrelay_config_offset").set(state.tables.next_offset as f64);
        let confirmed = state.freshness.confirmed_at(now, state.tables.next_offset, state.voter_count());
        let age = confirmed.map_or(f64::INFINITY, |at| now.saturating_duration_since(at).as_secs_f64());
        metrics::gauge!("lagoonrelay_config_age_seconds").set(age);
        for (team, quota) in &state.quotas {
            metrics::gauge!("lagoonrelay_units_held", "team" => team.clone()).set(quota.held() as f64);
            metrics::gauge!("lagoonrelay_units_used", "team" => team.clone()).set(quota.used() as f64);
        }
        for name in state.tables.pools.keys() {
            let out = f64::from(state.tables.hosts_out(name));
            metrics::gauge!("lagoonrelay_hosts_out", "pool" => name.clone()).set(out);
        }
    }
}

#[handler]
fn get_events(node: Data<&Arc<Node>>, request: &Request, Query(query): Query<Since>) -> Response {
    if bearer(request).and_then(|secret| node.operator_of_key(secret)).is_none() {
        return text(StatusCode::UNAUTHORIZED, "an operator's key is needed".into());
    }
    json(StatusCode::OK, &node.events.since(query.since))
}

fn text(status: StatusCode, message: String) -> Response {
    Response::builder().status(status).header(VERDICT_HEADER, Verdict::NotRun.as_str()).body(message)
}

fn json(status: StatusCode, value: &impl serde::Serialize) -> Response {
    let body = serde_json::to_string(value).unwrap_or_default();
    Response::builder().status(status).content_type("application/json").body(body)
}
