//! Settings and their faults.

use config::{Fault, parse};
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, proptest};

const GOOD: &str = r#"{
    // one entry host
    name: "e1", zone: "z1",
    callers: "127.0.0.1:7001", admin: "127.0.0.1:7002", peer: "127.0.0.1:7003",
    log: "127.0.0.1:7100", list: "127.0.0.1:7101",
    secret: "hush-hush", operator: "root-key",
}"#;

#[gtest]
fn can_read_comments_and_defaults() {
    let settings = parse(GOOD).unwrap();
    expect_eq!(settings.timing.beat_ms, 200);
}

#[gtest]
fn errors_on_an_unknown_key() {
    let text = GOOD.replace("zone:", "colour: 1, zone:");
    let faults = parse(&text).unwrap_err();
    expect_that!(faults[0].to_string(), contains_substring("colour"));
}

#[gtest]
fn errors_on_a_host_name_in_place_of_an_ip_number() {
    let text = GOOD.replace("127.0.0.1:7100", "log.example:7100");
    expect_that!(parse(&text).unwrap_err()[0].to_string(), contains_substring("log"));
}

#[gtest]
fn names_every_value_out_of_range() {
    let text = GOOD.replace("name:", "timing: {beat_ms: 5, call_ms: 99999}, name:");
    let faults = parse(&text).unwrap_err();
    let words: Vec<String> = faults.iter().map(ToString::to_string).collect();
    expect_that!(words, contains(contains_substring("timing.beat_ms: 5 is not accepted; 20 to 2000 ms")));
    expect_that!(words, contains(contains_substring("timing.call_ms")));
}

#[gtest]
fn errors_on_timings_that_do_not_go_together() {
    let text = GOOD.replace("name:", "timing: {beat_ms: 1000, fresh_ms: 1000}, name:");
    expect_that!(
        parse(&text).unwrap_err(),
        contains(matches_pattern!(Fault::Value { field: eq(&"timing.fresh_ms"), .. }))
    );
}

#[gtest]
fn never_prints_a_secret() {
    let settings = parse(GOOD).unwrap();
    expect_that!(format!("{settings:?}"), not(contains_substring("hush")));
    expect_that!(format!("{settings:?}"), not(contains_substring("root-key")));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(12), ..ProptestConfig::default() })]

    #[test]
    fn names_a_fault_for_malformed_text(text in "[ -~]{0,80}") {
        let faults = parse(&text).unwrap_err();
        assert_that!(faults[0].to_string(), not(eq("")));
    }
}

#[gtest]
fn accepts_the_examples() {
    for text in
        [include_str!("../../../examples/tokachi.json"), include_str!("../../../examples/rounds.json")]
    {
        expect_that!(parse(text).map(|s| s.zone), ok(eq("z1")));
    }
}
