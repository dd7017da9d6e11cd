//! Claims at one member and their count at the claimant.

use claims::{Claim, MAX_ROUNDS, Next, Poll, Reply, Table};
use googletest::prelude::*;

fn claim(owner: u64, round: u32) -> Claim {
    Claim { id: "a".into(), round, owner, worker: format!("w{owner}"), boot: 1 }
}

fn granted(others: Vec<Claim>) -> Reply {
    Reply { granted: true, others }
}

fn refused(others: Vec<Claim>) -> Reply {
    Reply { granted: false, others }
}

#[gtest]
fn can_repeat_the_same_claim() {
    let mut table = Table::default();
    expect_eq!(table.offer(&claim(1, 1)), granted(vec![]));
    expect_eq!(table.offer(&claim(1, 1)), granted(vec![]));
}

#[gtest]
fn refuses_a_second_owner_in_the_same_round() {
    let mut table = Table::default();
    table.offer(&claim(1, 1));
    expect_eq!(table.offer(&claim(2, 1)), refused(vec![claim(1, 1)]));
}

#[gtest]
fn reports_every_earlier_claim_with_a_higher_round() {
    let mut table = Table::default();
    table.offer(&claim(1, 1));
    table.offer(&claim(2, 2));
    expect_eq!(table.offer(&claim(3, 3)), granted(vec![claim(1, 1), claim(2, 2)]));
}

#[gtest]
fn starts_only_with_a_majority() {
    let mut poll = Poll::default();
    poll.count(granted(vec![]));
    poll.count(granted(vec![claim(9, 1)]));
    expect_eq!(poll.next(4), Next::Wait);
    poll.count(granted(vec![]));
    expect_eq!(poll.next(4), Next::Start(vec![claim(9, 1)]));
}

#[gtest]
fn retries_above_what_a_majority_shows() {
    let mut poll = Poll::default();
    poll.count(refused(vec![claim(1, 3)]));
    expect_eq!(poll.next(3), Next::Wait);
    poll.count(granted(vec![]));
    expect_eq!(poll.next(3), Next::Retry(vec![claim(1, 3)]));
    expect_eq!(poll.next_round(1), 4);
}

#[gtest]
fn refuses_more_rounds_than_it_stores() {
    let mut table = Table::default();
    for round in 1..=u32::try_from(MAX_ROUNDS).unwrap() {
        expect_true!(table.offer(&claim(1, round)).granted);
    }
    expect_false!(table.offer(&claim(1, 99)).granted);
}

#[gtest]
fn drops_the_oldest_ids_first() {
    let mut table = Table::default();
    for id in ["x", "y", "z"] {
        table.offer(&Claim { id: id.into(), ..claim(1, 1) });
    }
    table.trim(2);
    expect_true!(table.newest("x").is_none());
    expect_eq!(table.len(), 2);
}
