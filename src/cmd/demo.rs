//! `demo`: stand-ins, workers and entry hosts in one process, with real requests through them.

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
const SLOTS: u32 = 8;
const CALLERS: usize = 8;
const CALL_TIME: Duration = Duration::from_secs(12);
const OPERATOR: &str = "demo-operator";
const KEYS: [(&str, u32); 2] = [("north", 3), ("south", 1)];

/// What the callers were told.
#[derive(Debug, Default)]
struct Tally {
    sent: AtomicU64,
    ran: AtomicU64,
    refused: AtomicU64,
    open: AtomicU64,
    wrong: AtomicU64,
}

/// Everything that runs on loopback.
struct Fleet {
    callers: Vec<SocketAddr>,
    admin: Vec<SocketAddr>,
    workers: Vec<Arc<worker::Store>>,
}

/// Runs the demo and prints a summary.
pub async fn run(flags: &Demo) -> Result<(), Error> {
    let (stop, stopped) = watch::channel(0);
    let mut tasks = JoinSet::new();
    let mut hosts = JoinSet::new();
    let fleet = start(&mut tasks, &mut hosts, &stopped).await?;
    set_up(&fleet).await?;
    println!("callers: {}  operators: {} (key {OPERATOR})", fleet.callers[0], fleet.admin[0]);
    let tally = Arc::new(Tally::default());
    let over = Arc::new(AtomicBool::new(false));
    let mut senders = JoinSet::new();
    for number in 0..CALLERS {
        let addr = fleet.callers[number % ENTRY_HOSTS].to_string();
        senders.spawn(send(number, addr, Arc::clone(&tally), Arc::clone(&over)));
    }
    wait(flags.for_time.map(|t| t.0)).await;
    over.store(true, Ordering::SeqCst);
    while senders.join_next().await.is_some() {}
    stop.send_modify(|n| *n += 1);
    while hosts.join_next().await.is_some() {}
    summarize(&tally, &fleet)
}

async fn start(
    tasks: &mut JoinSet<std::io::Result<()>>,
    hosts: &mut JoinSet<Result<(), entry::Error>>,
    stopped: &watch::Receiver<u32>,
) -> Result<Fleet, Error> {
    let (log_listener, log_addr) = bind().await?;
    let (list_listener, list_addr) = bind().await?;
    let listed = Arc::new(list::Store::default());
    tasks.spawn(serve(log_listener, log::app(Arc::default())));
    tasks.spawn(serve(list_listener, list::app(Arc::clone(&listed))));
    let mut fleet = Fleet { callers: Vec::new(), admin: Vec::new(), workers: Vec::new() };
    let mut infos = Vec::new();
    for number in 0..ZONES * WORKERS_PER_ZONE {
        let (listener, addr) = bind().await?;
        let store = Arc::new(worker::Store::new(SLOTS));
        tasks.spawn(serve(listener, worker::app(Arc::clone(&store))));
        fleet.workers.push(store);
        infos.push(host_info(number, addr));
    }
    listed.set(infos);
    for number in 0..ENTRY_HOSTS {
        let (callers, admin, peer) = (bind().await?, bind().await?, bind().await?);
        let text = settings(number, callers.1, admin.1, peer.1, log_addr, list_addr);
        let settings = config::parse(&text).map_err(|f| Error::Refused(super::list(&f)))?;
        fleet.callers.push(callers.1);
        fleet.admin.push(admin.1);
        let listeners = Listeners { callers: callers.0, admin: admin.0, peer: peer.0 };
        hosts.spawn(entry::run(settings, listeners, None, stopped.clone()));
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
        slots: SLOTS,
        state: HostState::Live,
    }
}

fn settings(
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
             log: "{log}", list: "{list}", secret: "demo-secret", operator: "{OPERATOR}" }}"#
    )
}

/// Creates the pool, the queue, the teams and their keys.
async fn set_up(fleet: &Fleet) -> Result<(), Error> {
    let mut lines = vec!["set pool main budget 2".to_owned()];
    lines.extend((0..fleet.workers.len()).map(|n| format!("assign host w{n} pool main")));
    lines.push("set queue quotes pool main".into());
    for (team, share) in KEYS {
        lines.push(format!("set team {team} share {share} limit 32"));
        lines.push(format!("grant key {team}-1 secret {team}-secret team {team}"));
    }
    let http = Fetcher::default();
    for line in lines {
        command(&http, &fleet.admin[0].to_string(), &line).await?;
    }
    Ok(())
}

/// Sends one command; repeats it while the host starts up.
async fn command(http: &Fetcher, addr: &str, line: &str) -> Result<(), Error> {
    let until = Instant::now() + CALL_TIME;
    loop {
        let body = Bytes::from(line.to_owned());
        let call =
            Fetch { headers: ctl::bearer(OPERATOR)?, ..Fetch::post(addr, "/command", body, CALL_TIME) };
        let done = http.fetch(call).await?;
        if done.status == http::StatusCode::OK {
            return Ok(());
        }
        if Instant::now() > until {
            return Err(Error::Refused(format!("{line}: {}", String::from_utf8_lossy(&done.body))));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// One caller: quotes and bookings in turn, each with a body of its own.
async fn send(number: usize, addr: String, tally: Arc<Tally>, over: Arc<AtomicBool>) {
    let http = Fetcher::default();
    let (team, _) = KEYS[number % KEYS.len()];
    let mut count = 0;
    while !over.load(Ordering::SeqCst) {
        count += 1;
        let body = format!("{number}-{count}");
        let Ok(mut headers) = ctl::bearer(&format!("{team}-secret")) else {
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
        let call =
            Fetch { headers, method, ..Fetch::post(&addr, path, Bytes::from(body.clone()), CALL_TIME) };
        tally.sent.fetch_add(1, Ordering::Relaxed);
        let counter = match http.fetch(call).await {
            Ok(done) => match done.header(VERDICT_HEADER) {
                Some("ran") if done.body == format!("done {body}") => &tally.ran,
                Some("ran") => &tally.wrong,
                Some("not-run") => &tally.refused,
                _ => &tally.open,
            },
            Err(_) => &tally.open,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

async fn wait(time: Option<Duration>) {
    match time {
        Some(time) => tokio::time::sleep(time).await,
        None => {
            let _ = tokio::signal::ctrl_c().await;
        }
    }
}

/// Compares what callers were told with what workers ran.
fn summarize(tally: &Tally, fleet: &Fleet) -> Result<(), Error> {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for record in fleet.workers.iter().flat_map(|w| w.records()) {
        *runs.entry(record.body).or_default() += 1;
    }
    let get = |n: &AtomicU64| n.load(Ordering::Relaxed);
    let duplicates = runs.values().filter(|n| **n > 1).count();
    let lost = get(&tally.ran).saturating_sub(runs.len() as u64);
    println!("sent {}  answered {}  refused {}", get(&tally.sent), get(&tally.ran), get(&tally.refused));
    println!(
        "verdicts: ran {}  not-run {}  may-have-run {}",
        get(&tally.ran),
        get(&tally.refused),
        get(&tally.open)
    );
    println!("wrong answers {}  duplicates {duplicates}  lost {lost}", get(&tally.wrong));
    if duplicates == 0 && lost == 0 && get(&tally.wrong) == 0 && get(&tally.ran) > 0 {
        return Ok(());
    }
    Err(Error::Refused("a request was answered wrongly, twice or not at all".into()))
}
