//! Tests of the command line, which is checked before any round starts.

use sycamore_soak::Options;

fn options(line: &str) -> Result<Options, String> {
    let matches = Options::flags().parse(line.split_whitespace()).map_err(|e| e.to_string())?;
    Options::from_matches(&matches).map_err(|error| error.to_string())
}

#[yare::parameterized(
    no_process = { "--processes 0", "--processes: `0` is not a number within its bounds" },
    many_processes = { "--processes 201", "--processes: `201` is not a number within its bounds" },
    no_round = { "--seeds 0", "--seeds: `0` is not a number within its bounds" },
    no_number = { "--seed x", "--seed: `x` is not a number within its bounds" },
    largest_seed = {
        "--seed 18446744073709551615",
        "--seed: `18446744073709551615` is not a number within its bounds"
    },
    many_partitions = { "--partitions 101", "--partitions: `101` is not a number within its bounds" },
    format = { "--format xml", "--format: `xml` is neither `json` nor `text`" },
)]
fn a_wrong_option_is_named(line: &str, message: &str) {
    assert_eq!(options(line).err().as_deref(), Some(message));
}

#[test]
fn one_seed_is_one_round_whatever_else_is_asked_for() {
    let options = options("--seed 7 --seeds 9 --minutes 3").expect("valid options");
    assert_eq!((options.first_seed, options.rounds, options.duration), (7, 1, None));
}
