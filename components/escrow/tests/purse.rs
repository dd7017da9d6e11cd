//! Units of a purse and a ledger.

use escrow::{Ledger, Purse};
use googletest::prelude::*;

fn purse(units: i64) -> Purse {
    let mut purse = Purse::default();
    purse.allot(units);
    purse
}

#[gtest]
fn can_use_only_what_is_free() {
    let mut p = purse(1);
    expect_true!(p.acquire());
    expect_false!(p.acquire());
    p.release();
    expect_true!(p.acquire());
}

#[gtest]
fn can_repeat_and_reorder_transfers() {
    let (mut a, mut b) = (purse(4), purse(0));
    let first = a.give(2, 1);
    let second = a.give(2, 2);
    b.receive(1, second);
    b.receive(1, first);
    b.receive(1, second);
    expect_eq!(a.rights(), 1);
    expect_eq!(b.rights(), 3);
}

#[gtest]
fn gives_no_more_than_is_free() {
    let mut a = purse(2);
    a.acquire();
    expect_eq!(a.give(2, 5), 1);
    expect_eq!(a.free(), 0);
}

#[gtest]
fn keeps_the_sum_when_a_lost_transfer_is_settled() {
    let mut ledger = Ledger { limit: 4, ..Ledger::default() };
    let mut live = purse(ledger.take(1, 4));
    live.give(2, 3);
    ledger.settle(1, 2, live.net_from(2));
    live.settle(2);
    live.allot(ledger.allotted[&1]);
    expect_eq!(live.rights(), 1);
    ledger.reclaim(&[2]);
    ledger.kept += 2;
    expect_eq!(ledger.unallotted(), 1);
}

#[gtest]
fn allots_nothing_while_a_lowered_limit_is_passed() {
    let mut ledger = Ledger { limit: 4, ..Ledger::default() };
    ledger.take(1, 4);
    ledger.limit = 2;
    expect_eq!(ledger.take(2, 1), 0);
    expect_eq!(ledger.unallotted(), -2);
}
