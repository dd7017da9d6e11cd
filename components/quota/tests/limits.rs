//! Division of limits between shards, with lost, late and reordered messages and new owners and brokers.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use quota::{Broker, Grant, Report, ShardQuota};
use shard::{Resources, Usage};

/// The customer's limit, in thousandths of a core.
const LIMIT: u64 = 1_000;
const SHARD_COUNT: u32 = 3;

fn cpu(cpu: u64) -> Resources {
    Resources { cpu, mem: 0, gpu: 0 }
}

fn limits(limit: u64) -> BTreeMap<String, Resources> {
    [("acme".to_owned(), cpu(limit))].into()
}

fn broker() -> Broker {
    let mut broker = Broker::default();
    broker.configure(limits(LIMIT), (0..SHARD_COUNT).collect::<BTreeSet<u32>>());
    broker
}

fn shard_quota(shard: u32, epoch: u64) -> ShardQuota {
    let mut quota = ShardQuota::new(shard, epoch);
    quota.configure(limits(LIMIT));
    quota
}

fn usage(used: u64, wanted: u64) -> HashMap<String, Usage> {
    [("acme".to_owned(), Usage { used: cpu(used), demand: cpu(wanted), ..Usage::default() })].into()
}

fn held_cpu(quota: &ShardQuota) -> u64 {
    quota.quotas().get("acme").map_or(0, |r| r.cpu)
}

/// Sends a report to the broker and applies its reply.
fn exchange(broker: &mut Broker, quota: &mut ShardQuota, used: u64, wanted: u64) {
    let report = quota.next_report(&usage(used, wanted));
    if let Some(grants) = broker.handle_report(0, &report) {
        quota.apply_grants(report.sequence, grants);
    }
}

#[gtest]
fn a_new_broker_grants_nothing_until_every_shard_has_reported() {
    let mut broker = broker();
    let mut quotas: Vec<ShardQuota> = (0..SHARD_COUNT).map(|shard| shard_quota(shard, 1)).collect();
    exchange(&mut broker, &mut quotas[0], 0, 500);
    exchange(&mut broker, &mut quotas[1], 0, 0);
    exchange(&mut broker, &mut quotas[0], 0, 500);
    expect_that!(held_cpu(&quotas[0]), eq(0));
    exchange(&mut broker, &mut quotas[2], 0, 0);
    exchange(&mut broker, &mut quotas[0], 0, 500);
    expect_that!(held_cpu(&quotas[0]), ge(500));
}

#[gtest]
fn one_shard_gets_the_whole_limit_while_the_others_request_nothing() {
    let mut broker = broker();
    let mut quotas: Vec<ShardQuota> = (0..SHARD_COUNT).map(|shard| shard_quota(shard, 1)).collect();
    for quota in &mut quotas {
        exchange(&mut broker, quota, 0, 0);
    }
    for _ in 0..3 {
        exchange(&mut broker, &mut quotas[0], 0, 5_000);
    }
    expect_that!(held_cpu(&quotas[0]), eq(LIMIT));
}

#[gtest]
fn unused_quota_is_given_back() {
    let mut broker = broker();
    let mut quotas: Vec<ShardQuota> = (0..SHARD_COUNT).map(|shard| shard_quota(shard, 1)).collect();
    for quota in &mut quotas {
        exchange(&mut broker, quota, 0, 0);
    }
    exchange(&mut broker, &mut quotas[0], 0, 5_000);
    exchange(&mut broker, &mut quotas[0], 0, 0);
    exchange(&mut broker, &mut quotas[1], 0, 900);
    expect_that!(held_cpu(&quotas[1]), ge(900));
}

#[gtest]
fn a_lowered_limit_is_respected_before_the_broker_learns_of_it() {
    let mut broker = broker();
    let mut quotas: Vec<ShardQuota> = (0..SHARD_COUNT).map(|shard| shard_quota(shard, 1)).collect();
    for _ in 0..3 {
        for quota in &mut quotas {
            exchange(&mut broker, quota, 0, 400);
        }
    }
    for quota in &mut quotas {
        quota.configure(limits(LIMIT / 10));
    }
    let total: u64 = quotas.iter().map(held_cpu).sum();
    expect_that!(total, le(LIMIT / 10));
}

#[gtest]
fn an_outdated_report_is_ignored() {
    let mut broker = broker();
    let mut quota = shard_quota(0, 1);
    let first = quota.next_report(&usage(0, 100));
    let second = quota.next_report(&usage(0, 100));
    expect_true!(broker.handle_report(0, &second).is_some());
    expect_true!(broker.handle_report(0, &first).is_none());
}

/// A message in flight.
enum Message {
    Report(Report),
    /// Shard, epoch and sequence number of the report, and the grants.
    Grants(u32, u64, u64, Vec<Grant>),
}

#[derive(Clone, Debug)]
enum Event {
    Report { shard: u32, wanted: u64 },
    Start { shard: u32, cpu: u64 },
    End { shard: u32, cpu: u64 },
    Deliver(usize),
    Drop(usize),
    ReplaceOwner(u32),
    ReplaceBroker,
}

fn event() -> impl Strategy<Value = Event> {
    let shards = 0..SHARD_COUNT;
    prop_oneof![
        6 => (shards.clone(), 0_u64..2_000).prop_map(|(shard, wanted)| Event::Report { shard, wanted }),
        6 => (shards.clone(), 1_u64..800).prop_map(|(shard, cpu)| Event::Start { shard, cpu }),
        4 => (shards.clone(), 1_u64..800).prop_map(|(shard, cpu)| Event::End { shard, cpu }),
        9 => (0_usize..8).prop_map(Event::Deliver),
        1 => (0_usize..8).prop_map(Event::Drop),
        1 => shards.prop_map(Event::ReplaceOwner),
        1 => Just(Event::ReplaceBroker),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn all_shards_together_never_use_more_than_the_limit(events in prop::collection::vec(event(), 5..120)) {
        let mut broker = broker();
        let mut brokers = 1;
        let mut epochs = [1_u64; SHARD_COUNT as usize];
        let mut quotas: Vec<ShardQuota> = (0..SHARD_COUNT).map(|shard| shard_quota(shard, 1)).collect();
        let mut used = [0_u64; SHARD_COUNT as usize];
        let mut in_flight: Vec<Message> = Vec::new();
        for event in events {
            match event {
                Event::Report { shard, wanted } => {
                    let index = shard as usize;
                    in_flight.push(Message::Report(quotas[index].next_report(&usage(used[index], wanted))));
                }
                Event::Start { shard, cpu } => {
                    let index = shard as usize;
                    if used[index] + cpu <= held_cpu(&quotas[index]) {
                        used[index] += cpu;
                    }
                }
                Event::End { shard, cpu } => used[shard as usize] = used[shard as usize].saturating_sub(cpu),
                Event::Deliver(n) if n < in_flight.len() => match in_flight.remove(n) {
                    Message::Report(report) => {
                        if let Some(grants) = broker.handle_report(0, &report) {
                            in_flight
                                .push(Message::Grants(report.shard, report.epoch, report.sequence, grants));
                        }
                    }
                    Message::Grants(shard, epoch, sequence, grants) => {
                        if epochs[shard as usize] == epoch {
                            quotas[shard as usize].apply_grants(sequence, grants);
                        }
                    }
                },
                Event::Drop(n) if n < in_flight.len() => drop(in_flight.remove(n)),
                Event::Deliver(_) | Event::Drop(_) => {}
                Event::ReplaceOwner(shard) => {
                    epochs[shard as usize] += 1;
                    quotas[shard as usize] = shard_quota(shard, epochs[shard as usize]);
                }
                Event::ReplaceBroker => {
                    // Replies of the previous broker are ignored: its daemon is no longer the coordinator.
                    brokers += 1;
                    broker = self::broker();
                    in_flight.retain(|m| matches!(m, Message::Report(_)));
                }
            }
            prop_assert!(used.iter().sum::<u64>() <= LIMIT, "{used:?} under broker {brokers}");
        }
    }
}
