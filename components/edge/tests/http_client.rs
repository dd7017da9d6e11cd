//! Timeouts of HTTP calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use edge::{Fetch, Fetcher, TimeoutScope};
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n";

/// Starts a server that answers one call with a body of three bytes and pauses before each.
async fn start_server(pause: Duration) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        let mut request = [0; 1_024];
        let read = stream.read(&mut request).await.expect("a request");
        assert_that!(read, gt(0));
        stream.write_all(RESPONSE_HEAD).await.expect("head sent");
        for _ in 0..3 {
            tokio::time::sleep(pause).await;
            stream.write_all(b"x").await.expect("byte sent");
        }
        // The connection stays open, so that only the content length ends the response.
        tokio::time::sleep(Duration::from_secs(60)).await;
    });
    addr
}

#[tokio::test]
async fn a_steady_response_may_take_longer_than_the_inactivity_timeout() {
    let addr = start_server(Duration::from_secs(1)).await;
    let call = Fetch::get(&addr, "/", Duration::from_millis(2_500));
    let call = Fetch { scope: TimeoutScope::Inactivity, ..call };
    let response = Fetcher::default().fetch(call).await.expect("a response");
    assert_that!(response.body.as_ref(), eq(b"xxx".as_slice()));
}

#[tokio::test]
async fn a_stalled_response_times_out() {
    for scope in [TimeoutScope::Inactivity, TimeoutScope::Total] {
        let addr = start_server(Duration::from_secs(3_600)).await;
        let call = Fetch { scope, ..Fetch::get(&addr, "/", Duration::from_millis(200)) };
        let fault = Fetcher::default().fetch(call).await.expect_err("no response");
        assert_that!(fault.verdict, eq(edge::Verdict::MayHaveRun));
    }
}

/// Starts a server that answers each request after a pause; counts connections and requests in progress.
async fn start_slow_server(pause: Duration) -> (String, Arc<AtomicUsize>, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address").to_string();
    let (connections, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (opened, peak, running) =
        (Arc::clone(&connections), Arc::clone(&most), Arc::new(AtomicUsize::new(0)));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            opened.fetch_add(1, Ordering::SeqCst);
            let (peak, running) = (Arc::clone(&peak), Arc::clone(&running));
            tokio::spawn(async move {
                let mut request = [0; 1_024];
                while stream.read(&mut request).await.is_ok_and(|n| n > 0) {
                    peak.fetch_max(running.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                    tokio::time::sleep(pause).await;
                    running.fetch_sub(1, Ordering::SeqCst);
                    stream.write_all(RESPONSE_HEAD).await.expect("head sent");
                    stream.write_all(b"xxx").await.expect("body sent");
                }
            });
        }
    });
    (addr, connections, most)
}

#[tokio::test]
async fn a_burst_of_calls_shares_the_connections_of_its_target() {
    let (addr, connections, most) = start_slow_server(Duration::from_millis(5)).await;
    let client = Fetcher::bounded(2);
    for _ in 0..3 {
        let calls = (0..20).map(|_| client.fetch(Fetch::get(&addr, "/", Duration::from_secs(5))));
        for response in futures_util::future::join_all(calls).await {
            assert_that!(response.expect("a response").body.as_ref(), eq(b"xxx".as_slice()));
        }
    }
    assert_that!(most.load(Ordering::SeqCst), eq(2));
    assert_that!(connections.load(Ordering::SeqCst), eq(2));
}

#[tokio::test]
async fn a_call_that_waits_in_vain_for_its_turn_says_that_it_was_not_run() {
    let (addr, _, _) = start_slow_server(Duration::from_millis(400)).await;
    let client = Fetcher::bounded(1);
    let call = |ms| client.fetch(Fetch::get(&addr, "/", Duration::from_millis(ms)));
    let (first, second) = tokio::join!(call(200), call(100));
    assert_that!(first.expect_err("no response").verdict, eq(edge::Verdict::MayHaveRun));
    assert_that!(second.expect_err("no response").verdict, eq(edge::Verdict::NotRun));
}

#[tokio::test]
async fn a_call_after_the_server_has_closed_an_idle_connection_uses_a_new_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1_024];
            let read = stream.read(&mut request).await.expect("a request");
            assert_that!(read, gt(0));
            stream.write_all(RESPONSE_HEAD).await.expect("head sent");
            stream.write_all(b"xxx").await.expect("body sent");
        }
    });
    let client = Fetcher::bounded(1);
    for _ in 0..20 {
        let response = client.fetch(Fetch::get(&addr, "/", Duration::from_secs(5))).await;
        assert_that!(response.expect("a response").body.as_ref(), eq(b"xxx".as_slice()));
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
