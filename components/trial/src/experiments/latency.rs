//! Added latency and throughput of one entry host against the same caller straight to a worker.

use std::time::{Duration, Instant};

use bytes::Bytes;
use edge::{Fetch, Fetcher};
use hdrhistogram::Histogram;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::Serialize;
use trial::caller::{Ask, call};
use trial::fleet::{Fleet, Plan};
use trial::proxy::Mode;

use super::{Settings, row};

const SPAN: Duration = Duration::from_secs(6);
const STEADY_CALLERS: usize = 8;
const WORK_MS: u64 = 5;

#[derive(Debug, Serialize)]
struct Row {
    experiment: &'static str,
    way: &'static str,
    case: &'static str,
    callers: usize,
    per_second: f64,
    failed: u64,
    p50_ms: f64,
    p90_ms: f64,
    p99_ms: f64,
    max_ms: f64,
}

/// Runs all cases, each way beside the other.
pub async fn run(settings: &Settings) {
    let plan = Plan { entries: 3, workers: 6, slots: 64, ..Plan::new(&settings.program) };
    let fleet = Fleet::start(plan).await;
    fleet.set_up(&[("a", 1, 600)], 2).await;
    for (case, callers) in [("steady", STEADY_CALLERS), ("burst", 5 * STEADY_CALLERS)] {
        measure(&fleet, "straight", case, callers).await;
        measure(&fleet, "quote", case, callers).await;
        measure(&fleet, "booking", case, callers).await;
    }
    fleet.workers[0].proxy.set(Mode::Silent);
    measure(&fleet, "quote", "one worker silent", STEADY_CALLERS).await;
}

async fn measure(fleet: &Fleet, way: &'static str, case: &'static str, callers: usize) {
    let worker = fleet.worker_addr(1);
    let boot = boot_of(&worker).await;
    let entry = fleet.callers(0);
    let tasks: Vec<_> = (0..callers)
        .map(|caller| {
            let (worker, entry) = (worker.clone(), entry.clone());
            tokio::spawn(async move { one_caller(way, case, caller, &worker, boot, &entry).await })
        })
        .collect();
    let mut whole = Histogram::<u64>::new(3).expect("three digits");
    let mut failed = 0;
    for task in tasks {
        let (part, lost) = task.await.expect("a caller");
        whole.add(&part).expect("the same bounds");
        failed += lost;
    }
    #[expect(clippy::cast_precision_loss, reason = "milliseconds and counts")]
    let ms = |q: f64| whole.value_at_quantile(q) as f64 / 1000.0;
    #[expect(clippy::cast_precision_loss, reason = "milliseconds and counts")]
    row(&Row {
        experiment: "latency",
        way,
        case,
        callers,
        per_second: whole.len() as f64 / SPAN.as_secs_f64(),
        failed,
        p50_ms: ms(0.5),
        p90_ms: ms(0.9),
        p99_ms: ms(0.99),
        max_ms: ms(1.0),
    });
}

async fn one_caller(
    way: &str,
    case: &str,
    caller: usize,
    worker: &str,
    boot: u64,
    entry: &str,
) -> (Histogram<u64>, u64) {
    let http = Fetcher::default();
    let mut histogram = Histogram::new(3).expect("three digits");
    let mut failed = 0;
    let until = Instant::now() + SPAN;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let body = format!("{way}-{case}-{caller}-{number}").replace(' ', "-");
        let begun = Instant::now();
        let ok = match way {
            "straight" => straight(&http, worker, boot, &body).await,
            "booking" => call(&http, entry, &Ask::booking("a", &body, WORK_MS)).await.ran(),
            _ => call(&http, entry, &Ask::quote("a", &body, WORK_MS)).await.ran(),
        };
        failed += u64::from(!ok);
        let micros = u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX);
        histogram.record(micros).expect("below the bound");
    }
    (histogram, failed)
}

async fn boot_of(worker: &str) -> u64 {
    let done = Fetcher::default().fetch(Fetch::get(worker, "/usage", SPAN)).await.expect("a worker");
    serde_json::from_slice::<edge::Usage>(&done.body).expect("usage").boot
}

async fn straight(http: &Fetcher, worker: &str, boot: u64, body: &str) -> bool {
    let fields = [("x-task", body.to_owned()), ("x-lease", "1".into()), ("x-boot", boot.to_string())];
    let more =
        [("x-team", "a".to_owned()), ("x-kind", "request".into()), ("x-not-after", u64::MAX.to_string())];
    let mut headers = HeaderMap::new();
    for (name, value) in fields.into_iter().chain(more) {
        headers.insert(HeaderName::from_static(name), HeaderValue::from_str(&value).expect("a header value"));
    }
    let path = format!("/start/q/quotes/quote?work_ms={WORK_MS}");
    let call = Fetch { headers, ..Fetch::post(worker, &path, Bytes::from(body.to_owned()), SPAN) };
    http.fetch(call).await.is_ok_and(|done| done.body == format!("done {body}"))
}
