//! Daemons that are killed and come back under their address, while the store refuses their calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use relay::Node;
use tokio::net::TcpSocket;
use tokio::runtime::Runtime;

use crate::platform::Platform;
use crate::{quotes_partition, start_daemon_at, submit_job, wait_for_completion};

/// A daemon on threads of its own, which end when it is killed.
struct Process {
    runtime: Runtime,
    node: Arc<Node>,
    addr: SocketAddr,
}

impl Process {
    fn start(platform: &Arc<Platform>, addr: SocketAddr) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let daemon = runtime.block_on(async {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.set_reuseaddr(true).expect("an option");
            socket.bind(addr).expect("a free port");
            start_daemon_at(socket.listen(64).expect("a listener"), platform, 0, true)
        });
        let addr = daemon.member.parse().expect("an address");
        Self { runtime, node: daemon.node, addr }
    }

    fn kill(self) -> SocketAddr {
        self.runtime.shutdown_timeout(Duration::from_secs(5));
        self.addr
    }
}

#[test]
fn a_daemon_that_restarts_while_the_store_refuses_its_calls_loses_no_job_that_it_accepts() {
    let platform = Arc::new(Platform::default());
    {
        let mut state = platform.state.lock();
        state.version = 1;
        state.workers = (0..2).map(|n| (format!("w{n}"), crate::Worker::default())).collect();
    }
    let first = Process::start(&platform, "127.0.0.1:0".parse().expect("an address"));
    first.runtime.block_on(async {
        submit_job(&first.node, 1).await;
        wait_for_completion(&first.node, 1).await;
    });
    platform.state.lock().rejected.insert(first.addr.to_string());
    let addr = first.kill();
    let second = Process::start(&platform, addr);
    std::thread::sleep(Duration::from_millis(300));
    platform.state.lock().rejected.clear();
    second.runtime.block_on(async {
        submit_job(&second.node, 2).await;
        wait_for_completion(&second.node, 2).await;
    });
    let partition = quotes_partition();
    let state = platform.state.lock();
    let stored: Vec<&String> = state.partitions[&partition].keys().filter(|k| k.starts_with("j:")).collect();
    assert_that!(stored, contains(eq(&&format!("j:{:016x}", 2))));
}
