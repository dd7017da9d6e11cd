//! `demo`: runs stand-ins, workers and entry hosts in one process and sends requests through them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use edge::{Fetch, Fetcher, HostInfo, HostState, VERDICT_HEADER};
use entry::Listeners;
use http::HeaderValue;
use standin::{list, log, serve, worker};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::{Error, ctl};
use crate::cli::Demo;

const ENTRY_HOSTS: usize = 2;
const ZONES: usize = 3;
const WORKERS_PER_ZONE: usize = 2;
const SLOTS_PER_WORKER: u32 = 8;
const CLIENTS: usize = 8;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);
const OPERATOR_KEY: &str = "demo-operator";
/// Teams with their shares.
const TEAM_SHARES: [(&str, u32); 2] = [("north", 3), ("south", 1)];

/// Requests sent and responses received, by verdict. `mismatched` counts those that ran but returned another
/// body.
#[derive(Debug, Default)]
struct Counters {
    sent: AtomicU64,
    ran: AtomicU64,
    not_run: AtomicU64,
    may_have_run: AtomicU64,
    mismatched: AtomicU64,
}

/// Addresses of the entry hosts, and the workers; all on loopback.
struct Fleet {
    callers: Vec<SocketAddr>,
    admin: Vec<SocketAddr>,
    workers: Vec<Arc<worker::Store>>,
}

/// Runs the demo and prints a summary; fails if a request was lost, ran twice or got a wrong answer.
pub async fn run(flags: &Demo) -> Result<(), Error> {
    let (stop, stop_count) = watch::channel(0);
    let mut standins = JoinSet::new();
    let mut entry_hosts = JoinSet::new();
    let fleet = start_fleet(&mut standins, &mut entry_hosts, &stop_count).await?;
    configure(&fleet).await?;
    println!("callers: {}  operators: {} (key {OPERATOR_KEY})", fleet.callers[0], fleet.admin[0]);
    let counters = Arc::new(Counters::default());
    let finished = Arc::new(AtomicBool::new(false));
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        let addr = fleet.callers[number % ENTRY_HOSTS].to_string();
        clients.spawn(run_client(number, addr, Arc::clone(&counters), Arc::clone(&finished)));
    }
    wait_for_end(flags.for_time.map(|t| t.0)).await;
    finished.store(true, Ordering::SeqCst);
    while clients.join_next().await.is_some() {}
    stop.send_modify(|n| *n += 1);
    while entry_hosts.join_next().await.is_some() {}
    summarize(&counters, &fleet)
}

async fn start_fleet(
    standins: &mut JoinSet<std::io::Result<()>>,
    entry_hosts: &mut JoinSet<Result<(), entry::Error>>,
    stop_count: &watch::Receiver<u32>,
) -> Result<Fleet, Error> {
    let (log_listener, log_addr) = bind().await?;
    let (list_listener, list_addr) = bind().await?;
    let host_list = Arc::new(list::Store::default());
    standins.spawn(serve(log_listener, log::app(Arc::default())));
    standins.spawn(serve(list_listener, list::app(Arc::clone(&host_list))));
    let mut fleet = Fleet { callers: Vec::new(), admin: Vec::new(), workers: Vec::new() };
    let mut hosts = Vec::new();
    for number in 0..ZONES * WORKERS_PER_ZONE {
        let (listener, addr) = bind().await?;
        let store = Arc::new(worker::Store::new(SLOTS_PER_WORKER));
        standins.spawn(serve(listener, worker::app(Arc::clone(&store))));
        fleet.workers.push(store);
        hosts.push(host_info(number, addr));
    }
    host_list.set(hosts);
    for number in 0..ENTRY_HOSTS {
        let (callers, admin, peer) = (bind().await?, bind().await?, bind().await?);
        let text = settings_text(number, callers.1, admin.1, peer.1, log_addr, list_addr);
        let settings = config::parse(&text).map_err(|f| Error::Command(super::format_errors(&f)))?;
        fleet.callers.push(callers.1);
        fleet.admin.push(admin.1);
        let listeners = Listeners { callers: callers.0, admin: admin.0, peer: peer.0 };
        entry_hosts.spawn(entry::run(settings, listeners, None, stop_count.clone()));
    }
    Ok(fleet)
}

async fn bind() -> Result<(TcpListener, SocketAddr), Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

fn host_info(number: usize, addr: SocketAddr) -> HostInfo {
    let zone = number % ZONES;
    HostInfo {
        name: format!("w{number}"),
        addr: addr.to_string(),
        zone: format!("z{zone}"),
        rack: format!("z{zone}-r0"),
        slots: SLOTS_PER_WORKER,
        state: HostState::Live,
    }
}

fn settings_text(
    number: usize,
    callers: SocketAddr,
    admin: SocketAddr,
    peer: SocketAddr,
    log: SocketAddr,
    list: SocketAddr,
) -> String {
    let zone = number % ZONES;
    format!(
        r#"{{ name: "e{number}", zone: "z{zone}", callers: "{callers}", admin: "{admin}", peer: "{peer}",
             log: "{log}", list: "{list}", secret: "demo-secret", operator: "{OPERATOR_KEY}" }}"#
    )
}

/// Creates the pool, the queue, the teams and their keys.
async fn configure(fleet: &Fleet) -> Result<(), Error> {
    let mut lines = vec!["set pool main budget 2".to_owned()];
    lines.extend((0..fleet.workers.len()).map(|n| format!("assign host w{n} pool main")));
    lines.push("set queue quotes pool main".into());
    for (team, share) in TEAM_SHARES {
        lines.push(format!("set team {team} share {share} limit 32"));
        lines.push(format!("grant key {team}-1 secret {team}-secret team {team}"));
    }
    let http = Fetcher::default();
    for line in lines {
        send_command(&http, &fleet.admin[0].to_string(), &line).await?;
    }
    Ok(())
}

/// Sends a command, retrying while the entry host starts up.
async fn send_command(http: &Fetcher, addr: &str, line: &str) -> Result<(), Error> {
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    loop {
        let body = Bytes::from(line.to_owned());
        let request = Fetch {
            headers: ctl::auth_headers(OPERATOR_KEY)?,
            ..Fetch::post(addr, "/command", body, REQUEST_TIMEOUT)
        };
        let response = http.fetch(request).await?;
        if response.status == http::StatusCode::OK {
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err(Error::Command(format!("{line}: {}", String::from_utf8_lossy(&response.body))));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Sends requests until `finished` is set: three quotes, then a booking with an idempotency key. Each has a
/// unique body, by which its runs are counted.
async fn run_client(number: usize, addr: String, counters: Arc<Counters>, finished: Arc<AtomicBool>) {
    let http = Fetcher::default();
    let (team, _) = TEAM_SHARES[number % TEAM_SHARES.len()];
    let mut count = 0;
    while !finished.load(Ordering::SeqCst) {
        count += 1;
        let body = format!("{number}-{count}");
        let Ok(mut headers) = ctl::auth_headers(&format!("{team}-secret")) else {
            return;
        };
        let booking = count % 4 == 0;
        if booking {
            headers.insert(
                "idempotency-key",
                HeaderValue::from_str(&body).unwrap_or(HeaderValue::from_static("k")),
            );
        }
        let path = if booking { "/q/quotes/book?work_ms=20" } else { "/q/quotes/quote?work_ms=5" };
        let method = if booking { http::Method::POST } else { http::Method::PUT };
        let request =
            Fetch { headers, method, ..Fetch::post(&addr, path, Bytes::from(body.clone()), REQUEST_TIMEOUT) };
        counters.sent.fetch_add(1, Ordering::Relaxed);
        let counter = match http.fetch(request).await {
            Ok(response) => match response.header(VERDICT_HEADER) {
                Some("ran") if response.body == format!("done {body}") => &counters.ran,
                Some("ran") => &counters.mismatched,
                Some("not-run") => &counters.not_run,
                _ => &counters.may_have_run,
            },
            Err(_) => &counters.may_have_run,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

async fn wait_for_end(time: Option<Duration>) {
    match time {
        Some(time) => tokio::time::sleep(time).await,
        None => {
            let _ = tokio::signal::ctrl_c().await;
        }
    }
}

/// Compares the responses with the tasks that the workers recorded, and prints the result.
fn summarize(counters: &Counters, fleet: &Fleet) -> Result<(), Error> {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for record in fleet.workers.iter().flat_map(|w| w.records()) {
        *runs.entry(record.body).or_default() += 1;
    }
    let get = |n: &AtomicU64| n.load(Ordering::Relaxed);
    let duplicates = runs.values().filter(|n| **n > 1).count();
    let lost = get(&counters.ran).saturating_sub(runs.len() as u64);
    println!(
        "sent {}  answered {}  refused {}",
        get(&counters.sent),
        get(&counters.ran),
        get(&counters.not_run)
    );
    println!(
        "verdicts: ran {}  not-run {}  may-have-run {}",
        get(&counters.ran),
        get(&counters.not_run),
        get(&counters.may_have_run)
    );
    println!("wrong answers {}  duplicates {duplicates}  lost {lost}", get(&counters.mismatched));
    if duplicates == 0 && lost == 0 && get(&counters.mismatched) == 0 && get(&counters.ran) > 0 {
        return Ok(());
    }
    Err(Error::Command("a request was lost, ran twice or got a wrong answer, or none succeeded".into()))
}
