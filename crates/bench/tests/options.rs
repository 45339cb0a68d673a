//! Wrong options are named, and not replaced by their defaults.

use std::process::Command;

use yare::parameterized;

#[parameterized(
    no_number = { "--load", "much" },
    negative = { "--seed", "-1" },
    no_load = { "--load", "0" },
    no_burst = { "--burst", "0" },
    too_many_slow = { "--slow", "101" },
)]
fn a_wrong_option_is_refused(option: &str, value: &str) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sycamore-bench"));

    let output = command.args(["site", option, value]).output().expect("the program runs");

    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains(option));
}
