//! Work done during a log outage as a share of the work before it.

use std::time::Duration;

use serde::Serialize;
use standin::log::Faults;
use trial::caller::{Ask, Load};
use trial::check;
use trial::fleet::{Fleet, Plan};

use super::{Settings, row};

const SPAN: Duration = Duration::from_secs(10);

#[derive(Debug, Serialize)]
struct Row {
    experiment: &'static str,
    entry_hosts: u8,
    before: usize,
    during: usize,
    share: f64,
    broken_promises: usize,
}

/// Runs the load before and during an outage of equal length.
pub async fn run(settings: &Settings) {
    let entries = 6;
    let fleet = Fleet::start(Plan { entries, ..Plan::new(&settings.program) }).await;
    fleet.set_up(&[("a", 1, 30), ("b", 1, 30)], 2).await;
    let addrs: Vec<String> = (0..usize::from(entries)).map(|n| fleet.callers(n)).collect();
    let load = Load::start(24, &addrs, |n| {
        let team = if n % 2 == 0 { "a" } else { "b" };
        if n % 3 == 0 {
            Ask::booking(team, &format!("b{n}"), 20)
        } else {
            Ask::quote(team, &format!("q{n}"), 20)
        }
    });
    tokio::time::sleep(Duration::from_secs(3)).await;
    let start = load.ran();
    tokio::time::sleep(SPAN).await;
    let middle = load.ran();
    fleet.misbehave(Faults { down: true, ..Faults::default() }).await;
    tokio::time::sleep(SPAN).await;
    let end = load.ran();
    let told = load.stop().await;
    let broken = check::answers(&told, &fleet.all_records().await);
    let (before, during) = (middle - start, end - middle);
    #[expect(clippy::cast_precision_loss, reason = "counts of requests are small")]
    let share = during as f64 / before as f64;
    row(&Row {
        experiment: "outage",
        entry_hosts: entries,
        before,
        during,
        share,
        broken_promises: broken.len(),
    });
}
