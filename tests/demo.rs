//! The demo serves requests and finds nothing wrong.

use std::process::Command;

use googletest::prelude::*;

#[gtest]
fn can_run_the_demo() {
    let run = Command::new(env!("CARGO_BIN_EXE_lagoonrelay")).args(["demo", "--for", "1"]).output().unwrap();
    let text = String::from_utf8_lossy(&run.stdout).into_owned();
    expect_that!(run.status.code(), some(eq(0)), "{text}{}", String::from_utf8_lossy(&run.stderr));
    expect_that!(text, contains_substring("wrong answers 0  duplicates 0  lost 0"));
}
