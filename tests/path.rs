//! The whole path on real processes.

use edge::{Fetcher, Verdict};
use googletest::prelude::*;
use trial::caller::{Ask, call};
use trial::check;
use trial::fleet::{Fleet, Plan};

fn plan() -> Plan {
    Plan::new(env!("CARGO_BIN_EXE_lagoonrelay").as_ref())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn can_serve_quotes_and_bookings_through_any_entry_host() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 8), ("b", 1, 8)], 2).await;
    let http = Fetcher::default();
    let mut told = Vec::new();
    for number in 0..12 {
        let addr = fleet.callers(number % 3);
        let team = if number % 2 == 0 { "a" } else { "b" };
        told.push(call(&http, &addr, &Ask::quote(team, &format!("quote-{number}"), 5)).await);
        told.push(call(&http, &addr, &Ask::booking(team, &format!("booking-{number}"), 5)).await);
    }
    for one in &told {
        assert_that!((one.verdict, one.own), eq((Some(Verdict::Ran), true)), "{one:?}");
    }
    assert_that!(check::answers(&told, &fleet.all_records().await), is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gives_a_repeat_through_another_host_the_first_answer() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 8)], 2).await;
    let http = Fetcher::default();
    let ask = Ask::booking("a", "once", 5);
    for number in [0, 1, 2, 0] {
        let told = call(&http, &fleet.callers(number), &ask).await;
        assert_that!(told.ran(), eq(true), "{told:?}");
    }
    let starts = fleet.all_records().await.into_iter().filter(|r| r.body == "once").count();
    assert_that!(starts, eq(1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refuses_work_without_a_granted_key() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 8)], 2).await;
    let told = call(&Fetcher::default(), &fleet.callers(1), &Ask::quote("nobody", "x", 5)).await;
    assert_that!((told.status, told.verdict), eq((401, Some(Verdict::NotRun))));
    assert_that!(fleet.all_records().await, is_empty());
}
