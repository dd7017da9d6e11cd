//! Daemons that talk over loopback and share an in-memory store, workers and machines.

mod moves;
mod owner;
mod platform;
mod pools;
mod restart;
mod slow_link;
mod slow_store;
mod waves;
mod worker_restarts;

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use owner::{Answer, start_owner};
use platform::{PARTITIONS, Platform, PlatformClient, TASK_MS, Worker, config};
use relay::platform::{Store, Workers};
use relay::{Node, NodeOptions, Outcome, Role};
use shard::{JobSpec, JobState, StepSpec, Timing};
use tokio::net::TcpListener;

const TIMING: Timing = Timing {
    lease: 5_000,
    lease_limit: 10_000,
    overlap: 1_500,
    poll_wait: 200,
    request_timeout: 500,
    stall_after: 400,
    stop_interval: 400,
    retention: 120_000,
};
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

fn job(n: usize) -> JobSpec {
    JobSpec {
        id: format!("{n:016x}"),
        queue: "q".into(),
        service: "quotes".into(),
        tenant: "acme".into(),
        steps: vec![StepSpec { count: 2, cpu: 500, mem: 10, estimate: TASK_MS, ..StepSpec::default() }],
        max_attempts: 3,
        stretch: 2.0,
        target: 1_000,
        ..JobSpec::default()
    }
}

struct Daemon {
    node: Arc<Node>,
    member: String,
}

/// Starts preferred daemons on a platform with two workers.
async fn start_fleet(daemons: usize) -> (Arc<Platform>, Vec<Daemon>) {
    let platform = Arc::new(Platform::default());
    {
        let mut state = platform.state.lock();
        state.version = 1;
        state.workers = (0..2).map(|n| (format!("w{n}"), Worker::default())).collect();
    }
    let mut fleet = Vec::new();
    for n in 0..daemons {
        fleet.push(start_daemon(&platform, n, true).await);
    }
    (platform, fleet)
}

async fn wait_for_role(platform: &Platform, member: &str, role: Role) {
    eventually("the role", || async {
        platform.state.lock().members.get(member).is_some_and(|(_, r)| *r == role)
    })
    .await;
}

async fn start_daemon(platform: &Arc<Platform>, n: usize, preferred: bool) -> Daemon {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    start_daemon_at(listener, platform, n, preferred)
}

fn start_daemon_at(listener: TcpListener, platform: &Arc<Platform>, n: usize, preferred: bool) -> Daemon {
    let mesh_addr = listener.local_addr().expect("an address");
    start_daemon_as(mesh_addr, listener, platform, n, preferred)
}

/// Starts a daemon that other daemons reach at `mesh_addr`.
fn start_daemon_as(
    mesh_addr: SocketAddr,
    listener: TcpListener,
    platform: &Arc<Platform>,
    n: usize,
    preferred: bool,
) -> Daemon {
    let member = if preferred { mesh_addr.to_string() } else { format!("{mesh_addr}/standby") };
    let client = Arc::new(PlatformClient { platform: Arc::clone(platform), member: member.clone() });
    let options = NodeOptions {
        name: format!("e{n}"),
        mesh_addr,
        store: Arc::clone(&client) as Arc<dyn Store>,
        workers: Arc::clone(&client) as Arc<dyn Workers>,
        machines: client,
        timing: TIMING,
        lease_ms: 3_000,
        move_ms: 1_500,
        orders_per_s: 64.0,
        partitions: PARTITIONS,
        large_job_bytes: 10 * 1024 * 1024,
        overload_control: true,
        preferred,
    };
    Daemon { node: Node::start(options, listener), member }
}

/// Waits until a condition holds. The limit of a minute is far beyond any step of these tests.
async fn eventually<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    for _ in 0..1_200 {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("not within a minute: {what}");
}

async fn submit_job(node: &Node, n: usize) {
    eventually("the job is accepted", || async {
        node.submit("", job(n), CALL_TIMEOUT).await == Outcome::Done
    })
    .await;
}

async fn wait_for_completion(node: &Node, n: usize) {
    let id = format!("{n:016x}");
    let done = Outcome::State(JobState::Completed);
    eventually("the job is completed", || async {
        node.job_state("quotes", &id, CALL_TIMEOUT).await == done
    })
    .await;
}

/// Partition of the test service.
fn quotes_partition() -> u32 {
    config(1).new_partitions(PARTITIONS - 1, &BTreeMap::new())["quotes"]
}

/// The daemon that owns the shard of the test service.
fn owner<'a>(platform: &Platform, daemons: &'a [Daemon]) -> &'a Daemon {
    owner_of(platform, daemons, quotes_partition())
}

fn coordinator<'a>(platform: &Platform, daemons: &'a [Daemon]) -> &'a Daemon {
    owner_of(platform, daemons, PARTITIONS - 1)
}

fn owner_of<'a>(platform: &Platform, daemons: &'a [Daemon], partition: u32) -> &'a Daemon {
    let state = platform.state.lock();
    daemons.iter().find(|d| state.assignment(&d.member).partitions.contains(&partition)).expect("an owner")
}

#[tokio::test]
async fn a_job_can_be_submitted_and_queried_at_any_daemon() {
    let (platform, daemons) = start_fleet(3).await;
    for (n, daemon) in daemons.iter().enumerate() {
        submit_job(&daemon.node, n).await;
    }
    for n in 0..3 {
        wait_for_completion(&daemons[(n + 1) % 3].node, n).await;
    }
    let starts = platform.state.lock().starts.clone();
    assert_that!(starts.len(), eq(6), "{starts:?}");
}

#[tokio::test]
async fn an_unknown_job_is_not_found() {
    let (_platform, daemons) = start_fleet(2).await;
    submit_job(&daemons[0].node, 1).await;
    let node = &daemons[1].node;
    eventually("the job is not found", || async {
        node.job_state("quotes", "00000000000000ff", CALL_TIMEOUT).await == Outcome::NotFound
    })
    .await;
}

#[tokio::test]
async fn a_draining_daemon_hands_its_shard_over_and_still_serves_calls() {
    let (platform, daemons) = start_fleet(3).await;
    submit_job(&daemons[0].node, 1).await;
    let leaving = owner(&platform, &daemons);
    leaving.node.drain(Duration::from_secs(60));
    assert_that!(leaving.node.ready(), eq(false));
    submit_job(&leaving.node, 2).await;
    wait_for_completion(&leaving.node, 1).await;
    wait_for_completion(&leaving.node, 2).await;
    assert_that!(platform.state.lock().starts.len(), eq(4));
}

#[tokio::test]
async fn an_owner_that_loses_the_store_is_replaced_and_denies_no_stored_job() {
    let (platform, daemons) = start_fleet(3).await;
    submit_job(&daemons[0].node, 1).await;
    let lost = owner(&platform, &daemons);
    platform.state.lock().rejected.insert(lost.member.clone());
    let other = daemons.iter().find(|d| d.member != lost.member).expect("another daemon");
    submit_job(&other.node, 2).await;
    wait_for_completion(&other.node, 2).await;
    // The old owner has no record of the second job, and must not answer that there is none.
    for _ in 0..20 {
        let outcome = lost.node.cancel("quotes", &format!("{:016x}", 2), Duration::from_millis(200)).await;
        assert_that!(outcome, not(eq(Outcome::NotFound)));
    }
}

#[tokio::test]
async fn a_daemon_that_loses_the_store_gets_a_new_configuration_from_a_peer() {
    let (platform, daemons) = start_fleet(3).await;
    for daemon in &daemons {
        eventually("a configuration is read", || async { daemon.node.config().is_some() }).await;
        submit_job(&daemon.node, 1).await;
    }
    let lost = &daemons[0];
    eventually("a peer is known", || async { !lost.node.peers().is_empty() }).await;
    {
        let mut state = platform.state.lock();
        state.rejected.insert(lost.member.clone());
        state.version = 2;
    }
    eventually("the new version is read", || async { lost.node.config().is_some_and(|s| s.version == 2) })
        .await;
}

#[tokio::test]
async fn jobs_survive_the_loss_of_all_daemons() {
    let (platform, daemons) = start_fleet(2).await;
    for n in 0..4 {
        submit_job(&daemons[0].node, n).await;
    }
    {
        let mut state = platform.state.lock();
        for daemon in &daemons {
            state.rejected.insert(daemon.member.clone());
        }
    }
    let next = start_daemon(&platform, 9, true).await;
    for n in 0..4 {
        wait_for_completion(&next.node, n).await;
    }
    let state = platform.state.lock();
    let started: HashSet<&String> = state.starts.iter().map(|(name, _)| name).collect();
    assert_that!(started.len(), eq(8));
}

#[tokio::test]
async fn a_standby_daemon_owns_shards_only_while_no_preferred_daemon_runs() {
    let (platform, preferred) = start_fleet(1).await;
    submit_job(&preferred[0].node, 1).await;
    let standby = start_daemon(&platform, 8, false).await;
    wait_for_role(&platform, &standby.member, Role::Standby).await;
    submit_job(&standby.node, 2).await;
    wait_for_completion(&standby.node, 2).await;
    assert_that!(platform.state.lock().readers, unordered_elements_are![&preferred[0].member]);
    platform.state.lock().rejected.insert(preferred[0].member.clone());
    wait_for_role(&platform, &standby.member, Role::Owner).await;
    submit_job(&standby.node, 3).await;
    wait_for_completion(&standby.node, 3).await;
    assert_that!(platform.state.lock().readers, contains(eq(&standby.member)));
    platform.state.lock().rejected.clear();
    wait_for_role(&platform, &standby.member, Role::Standby).await;
    wait_for_completion(&preferred[0].node, 3).await;
}

/// A daemon on standby beside an owner that gives `answers` to submissions.
async fn start_beside_owner(answers: &[Answer]) -> Daemon {
    let (platform, _) = start_fleet(0).await;
    let addr = start_owner(answers).await;
    platform.state.lock().members.insert(addr.to_string(), (u64::MAX, Role::Owner));
    start_daemon(&platform, 0, false).await
}

#[tokio::test]
async fn a_refusal_after_a_try_without_an_answer_does_not_say_that_the_job_was_not_run() {
    let daemon = start_beside_owner(&[Answer::Silence, Answer::Refused]).await;
    eventually("the daemon is ready", || async { daemon.node.ready() }).await;
    // The first try may still be on its way to the owner.
    let outcome = daemon.node.submit("", job(1), CALL_TIMEOUT).await;
    assert_that!(outcome, eq(Outcome::Uncertain));
}

#[tokio::test]
async fn a_refusal_of_the_only_try_says_that_the_job_was_not_run() {
    let daemon = start_beside_owner(&[Answer::Refused]).await;
    eventually("the daemon is ready", || async { daemon.node.ready() }).await;
    let outcome = daemon.node.submit("", job(1), CALL_TIMEOUT).await;
    assert_that!(outcome, eq(Outcome::Refused { retry_ms: 0 }));
}

/// Guards against a time of return that is lost between the owner and the daemon that the caller asked.
#[tokio::test]
async fn a_refusal_carries_the_time_until_the_caller_may_return() {
    let daemon = start_beside_owner(&[Answer::RefusedFor(4_200)]).await;
    eventually("the daemon is ready", || async { daemon.node.ready() }).await;
    let outcome = daemon.node.submit("", job(1), CALL_TIMEOUT).await;
    assert_that!(outcome, eq(Outcome::Refused { retry_ms: 4_200 }));
}

#[tokio::test]
async fn a_lost_answer_of_the_store_does_not_hold_up_a_job_until_the_call_times_out() {
    let (platform, daemons) = start_fleet(1).await;
    submit_job(&daemons[0].node, 1).await;
    wait_for_completion(&daemons[0].node, 1).await;
    platform.state.lock().lost_answers = 1;
    let start = std::time::Instant::now();
    let outcome = daemons[0].node.submit("", job(2), CALL_TIMEOUT).await;
    assert_that!(outcome, eq(Outcome::Done));
    assert_that!(start.elapsed(), lt(platform::STORE_TIMEOUT));
    wait_for_completion(&daemons[0].node, 2).await;
    assert_that!(platform.state.lock().lost_answers, eq(0));
}
