//! Daemons whose answers to each other always come late: over long links, or from hosts with little processor time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use shard::JobSpec;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::platform::{Platform, Worker};
use crate::{CALL_TIMEOUT, Daemon, Outcome, coordinator, eventually, job, owner, start_daemon_as};

/// Time for which a link holds all bytes, in each direction. The answer to a request takes twice as long, which is more
/// than any limit on the answers of daemons that are near and idle.
const LINK_DELAY: Duration = Duration::from_millis(400);

/// As many as it takes to have the test's shard and the coordinator's partition at different ones.
const FAR_DAEMONS: usize = 3;

/// Starts a daemon that others reach over a slow link.
async fn start_far_daemon(platform: &Arc<Platform>, n: usize) -> Daemon {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let link = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mesh_addr = link.local_addr().expect("an address");
    tokio::spawn(run_link(link, listener.local_addr().expect("an address")));
    start_daemon_as(mesh_addr, listener, platform, n, true)
}

async fn run_link(link: TcpListener, target: SocketAddr) {
    while let Ok((near, _)) = link.accept().await {
        let Ok(far) = TcpStream::connect(target).await else { continue };
        let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
        tokio::spawn(carry(near_read, far_write));
        tokio::spawn(carry(far_read, near_write));
    }
}

async fn carry(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let (sender, mut held) = mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
    tokio::spawn(async move {
        let mut buffer = vec![0; 65_536];
        while let Ok(n @ 1..) = from.read(&mut buffer).await {
            if sender.send((Instant::now() + LINK_DELAY, buffer[..n].to_vec())).is_err() {
                return;
            }
        }
    });
    while let Some((due, bytes)) = held.recv().await {
        tokio::time::sleep_until(due).await;
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Far daemons, of which one owns the shard and another one is the coordinator.
async fn start_far_fleet() -> (Arc<Platform>, Vec<Daemon>) {
    let platform = Arc::new(Platform::default());
    {
        let mut state = platform.state.lock();
        state.version = 1;
        state.workers = (0..2).map(|n| (format!("w{n}"), Worker::default())).collect();
        state.spare_machines = vec!["m1".into()];
    }
    let mut daemons = Vec::new();
    for n in 0..FAR_DAEMONS {
        daemons.push(start_far_daemon(&platform, n).await);
    }
    let members = || platform.state.lock().owners().len();
    eventually("all daemons are members", || async { members() == FAR_DAEMONS }).await;
    assert_that!(owner(&platform, &daemons).member, not(eq(&coordinator(&platform, &daemons).member)));
    (platform, daemons)
}

/// Hands a job in at the owner of its shard.
async fn submit_at_owner(platform: &Platform, daemons: &[Daemon], spec: JobSpec) {
    eventually("the job is accepted", || async {
        owner(platform, daemons).node.submit("", spec.clone(), CALL_TIMEOUT).await == Outcome::Done
    })
    .await;
}

// Guards against accepted jobs that never start: quota was given up when its grant took longer than 300 ms.
#[tokio::test]
async fn an_accepted_job_runs_although_each_answer_of_the_broker_comes_late() {
    let (platform, daemons) = start_far_fleet().await;
    submit_at_owner(&platform, &daemons, job(1)).await;
    eventually("both tasks start", || async { platform.state.lock().starts.len() == 2 }).await;
}

// Guards against pools that never get machines: a load was given up when it took longer than 250 ms.
#[tokio::test]
async fn a_pool_gets_a_machine_although_each_answer_of_its_owner_comes_late() {
    let (platform, daemons) = start_far_fleet().await;
    let mut wide = job(1);
    wide.steps[0].count = 10_000;
    // A job that is late counts for no pool's size, and this one has to count for the whole test.
    wide.target = 600_000;
    submit_at_owner(&platform, &daemons, wide).await;
    eventually("a machine is moved", || async { !platform.state.lock().moves.is_empty() }).await;
    assert_that!(platform.state.lock().moves, contains(eq(&("m1".to_owned(), "quotes".to_owned()))));
}
