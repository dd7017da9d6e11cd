//! Control cost of an entry host at several sizes: processor time, memory, bytes, with no callers.

use std::time::Duration;

use serde::Serialize;
use trial::fleet::{Fleet, Plan};

use super::{Settings, row};

const SETTLE: Duration = Duration::from_secs(4);
const SPAN: Duration = Duration::from_secs(10);
const CHANGES: u32 = 100;

#[derive(Debug, Serialize)]
struct Row {
    experiment: &'static str,
    entry_hosts: u8,
    workers: u16,
    teams: u32,
    pools: u32,
    cpu_percent: f64,
    memory_mb: f64,
    peer_bytes_per_second: f64,
    log_bytes_per_second: f64,
    state_bytes: usize,
    cpu_ms_per_change: f64,
    bytes_per_change: f64,
}

/// One size of everything.
#[derive(Debug, Clone, Copy)]
struct Size {
    entries: u8,
    workers: u16,
    teams: u32,
    pools: u32,
}

const TODAY: Size = Size { entries: 4, workers: 50, teams: 6, pools: 5 };
const MIDDLE: Size = Size { entries: 4, workers: 220, teams: 37, pools: 86 };
const TWO_YEARS: Size = Size { entries: 4, workers: 660, teams: 110, pools: 257 };

/// Runs all sizes: workers, teams and pools together, then entry hosts.
pub async fn run(settings: &Settings) {
    for size in [TODAY, MIDDLE, TWO_YEARS, Size { entries: 8, ..TODAY }] {
        measure(settings, size).await;
    }
    run_largest(settings).await;
}

/// Runs the two-year size with 8 and 16 entry hosts.
pub async fn run_largest(settings: &Settings) {
    for entries in [8, 16] {
        measure(settings, Size { entries, ..TWO_YEARS }).await;
    }
}

async fn measure(settings: &Settings, size: Size) {
    let Size { entries, workers, teams, pools } = size;
    let plan = Plan { entries, workers: 3, listed: workers, ..Plan::new(&settings.program) };
    let fleet = Fleet::start(plan).await;
    fleet.order_many(0, &(0..pools).map(|n| format!("set pool p{n} budget 1")).collect::<Vec<_>>()).await;
    let assign = |n: u16| format!("assign host listed-{n} pool p{}", u32::from(n) % pools);
    fleet.order_many(0, &(0..workers).map(assign).collect::<Vec<_>>()).await;
    let team = |n: u32| format!("set team team-{n} share 1 limit 50");
    fleet.order_many(0, &(0..teams).map(team).collect::<Vec<_>>()).await;
    tokio::time::sleep(SETTLE).await;
    let before = Usage::read(&fleet);
    tokio::time::sleep(SPAN).await;
    let idle = Usage::read(&fleet).since(&before);
    let begun = std::time::Instant::now();
    let before = Usage::read(&fleet);
    let change = |n: u32| format!("set pool p{} budget {}", n % pools, 1 + n % 2);
    fleet.order_many(0, &(0..CHANGES).map(change).collect::<Vec<_>>()).await;
    let busy = Usage::read(&fleet).since(&before);
    let spent = begun.elapsed().as_secs_f64();
    let hosts = f64::from(entries);
    let per_host = |figure: f64| figure / hosts / SPAN.as_secs_f64();
    let more = |busy: f64, idle: f64| {
        (busy - idle * spent / SPAN.as_secs_f64()).max(0.0) / hosts / f64::from(CHANGES)
    };
    row(&Row {
        experiment: "slopes",
        entry_hosts: entries,
        workers,
        teams,
        pools,
        cpu_percent: 100.0 * per_host(idle.cpu),
        memory_mb: fleet.memory_mb(0),
        peer_bytes_per_second: per_host(idle.peer),
        log_bytes_per_second: per_host(idle.log),
        state_bytes: fleet.state_bytes().await,
        cpu_ms_per_change: 1000.0 * more(busy.cpu, idle.cpu),
        bytes_per_change: more(busy.peer + busy.log, idle.peer + idle.log),
    });
}

/// Seconds of processor time and bytes of all entry hosts so far.
#[derive(Debug, Clone, Copy)]
struct Usage {
    cpu: f64,
    peer: f64,
    log: f64,
}

impl Usage {
    #[expect(clippy::cast_precision_loss, reason = "a few megabytes")]
    fn read(fleet: &Fleet) -> Self {
        let cpu = (0..fleet.entries.len()).map(|n| fleet.cpu_seconds(n)).sum();
        let peer = fleet.entries.iter().map(|e| e.peer_proxy.bytes()).sum::<u64>() as f64;
        let log = fleet.entries.iter().map(|e| e.log_proxy.bytes()).sum::<u64>() as f64;
        Self { cpu, peer, log }
    }

    fn since(self, before: &Self) -> Self {
        Self { cpu: self.cpu - before.cpu, peer: self.peer - before.peer, log: self.log - before.log }
    }
}
