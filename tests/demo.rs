//! The demo serves requests and finds nothing wrong.

use std::process::{Command, Output};

use googletest::prelude::*;

fn demo(time: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lagoonrelay")).args(["demo", "--for", time]).output().unwrap()
}

#[gtest]
fn a_time_that_is_none_is_refused_with_a_reason() {
    let run = demo("soon");
    expect_that!(run.status.success(), eq(false));
    expect_that!(String::from_utf8_lossy(&run.stderr), contains_substring("--for-time"));
}

#[gtest]
fn can_run_the_demo_for_a_time_with_a_unit() {
    let run = demo("1s");
    expect_that!(run.status.code(), some(eq(0)), "{}", String::from_utf8_lossy(&run.stderr));
}

#[gtest]
fn can_run_the_demo() {
    let run = demo("1");
    let text = String::from_utf8_lossy(&run.stdout).into_owned();
    expect_that!(run.status.code(), some(eq(0)), "{text}{}", String::from_utf8_lossy(&run.stderr));
    expect_that!(text, contains_substring("wrong answers 0  duplicates 0  lost 0"));
}
