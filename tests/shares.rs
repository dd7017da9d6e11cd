//! Slots pass between entry hosts to the team that is further below its share.

use edge::{Fetch, Fetcher};
use googletest::prelude::*;
use trial::caller::{Ask, Load};
use trial::fleet::{Fleet, Plan};
use trial::{check, until};

const SLOTS: u32 = 4;

async fn slots_handed(fleet: &Fleet, number: usize) -> u64 {
    let addr = fleet.admin(number);
    let call = Fetch::get(&addr, "/metrics", std::time::Duration::from_secs(5));
    let Ok(done) = Fetcher::unpooled().fetch(call).await else { return 0 };
    let text = String::from_utf8_lossy(&done.body).into_owned();
    let line = text.lines().find(|line| line.starts_with("lagoonrelay_slots_handed_total"));
    line.and_then(|line| line.split(' ').next_back()?.parse().ok()).unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hands_slots_to_a_team_that_waits_at_another_host() {
    let plan = Plan::new(env!("CARGO_BIN_EXE_lagoonrelay").as_ref());
    let fleet = Fleet::start(Plan { workers: 1, zones: 1, slots: SLOTS, ..plan }).await;
    fleet.set_up(&[("a", 1, 40), ("b", 1, 40)], 1).await;
    let many = Load::start(16, &[fleet.callers(0)], |n| Ask::quote("a", &format!("a{n}"), 40));
    until("team a holds all slots", || async { check::most_running(&fleet.all_records().await, "a") == 4 })
        .await;
    let few = Load::start(4, &[fleet.callers(1)], |n| Ask::quote("b", &format!("b{n}"), 40));
    until("slots handed to team b's host", || async { slots_handed(&fleet, 0).await > 0 }).await;
    until("team b at its half of the slots", || async {
        check::most_running(&fleet.all_records().await, "b") >= i64::from(SLOTS) / 2
    })
    .await;
    let mut told = many.stop().await;
    told.extend(few.stop().await);
    assert_that!(check::answers(&told, &fleet.all_records().await), is_empty());
}
