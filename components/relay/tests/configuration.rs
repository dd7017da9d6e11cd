//! Assignment of services to partitions.

use std::collections::BTreeMap;

use googletest::prelude::*;
use relay::{Configuration, Customer, Pool};

fn config_of(names: &[&str]) -> Configuration {
    let pool = |name: &&str| Pool { name: (*name).to_owned(), spare: false };
    Configuration { pools: names.iter().map(pool).collect(), ..Configuration::default() }
}

/// Distance on the ring of all 24 partitions, of which the last one is the coordinator's.
fn distance(a: u32, b: u32) -> u32 {
    a.abs_diff(b).min(24 - a.abs_diff(b))
}

/// The store assigns adjacent partitions to one member, which would then own most of the shards in use.
#[test]
fn partitions_in_use_are_spaced_apart() {
    for seed in 0..200 {
        let names: Vec<String> = (0..5).map(|n| format!("service-{seed}-{n}")).collect();
        let config = config_of(&names.iter().map(String::as_str).collect::<Vec<_>>());
        let mut partitions: Vec<u32> = config.new_partitions(23, &BTreeMap::new()).into_values().collect();
        partitions.push(23);
        for (n, a) in partitions.iter().enumerate() {
            assert_that!(partitions[n + 1..].iter().map(|b| distance(*a, *b)).min().unwrap_or(24), ge(2));
        }
    }
}

#[test]
fn more_services_than_partitions_share_them() {
    let names: Vec<String> = (0..60).map(|n| format!("s{n}")).collect();
    let config = config_of(&names.iter().map(String::as_str).collect::<Vec<_>>());
    let partitions = config.new_partitions(23, &BTreeMap::new());
    assert_that!(partitions.len(), eq(60));
    assert_that!(partitions.values().all(|p| *p < 23), eq(true));
}

#[test]
fn a_service_keeps_its_partition_when_a_later_name_is_added() {
    let before = config_of(&["a", "b", "c"]).new_partitions(23, &BTreeMap::new());
    let after = config_of(&["a", "b", "c", "d"]).new_partitions(23, &BTreeMap::new());
    for name in ["a", "b", "c"] {
        assert_that!(after[name], eq(before[name]));
    }
}

/// Guards against jobs that become unknown because a new pool changes the partitions of others.
#[test]
fn services_keep_their_partitions_whatever_names_are_added() {
    let assigned = config_of(&["b", "c", "d"]).new_partitions(23, &BTreeMap::new());
    for name in ["a", "bb", "cc", "e"] {
        let added = config_of(&["b", "c", "d", name]).new_partitions(23, &assigned);
        assert_that!(added.keys().collect::<Vec<_>>(), elements_are![eq(&name)]);
        assert_that!(assigned.values().any(|p| *p == added[name]), eq(false));
    }
}

/// Guards against a service without a partition once all have been used by services that are gone.
#[test]
fn a_new_service_takes_the_partition_of_one_that_is_gone_before_it_shares_one() {
    let all: Vec<String> = (0..23).map(|n| format!("s{n:02}")).collect();
    let assigned =
        config_of(&all.iter().map(String::as_str).collect::<Vec<_>>()).new_partitions(23, &BTreeMap::new());
    let present: Vec<&str> = all.iter().skip(1).map(String::as_str).chain(["new"]).collect();
    let added = config_of(&present).new_partitions(23, &assigned);
    assert_that!(added["new"], eq(assigned["s00"]));
}

/// Guards against overload control in deployments whose customers are all small.
#[gtest]
fn only_a_customer_with_a_quarter_of_all_weight_is_dominant() {
    let of = |weights: &[u64]| Configuration {
        customers: weights.iter().map(|&weight| Customer { weight, ..Customer::default() }).collect(),
        ..Configuration::default()
    };
    expect_true!(of(&[71, 31, 19, 14, 11, 9, 7, 6, 6, 5, 32]).has_dominant_customer());
    expect_false!(of(&[28, 17, 12, 10, 8, 7, 6, 6, 5, 5, 20, 17]).has_dominant_customer());
    expect_false!(of(&[0, 0]).has_dominant_customer());
    expect_false!(of(&[]).has_dominant_customer());
}
