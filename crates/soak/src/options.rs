//! Options of the command line, checked before any round starts. A value outside its bounds
//! is an error; it is not clamped.

use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use displaydoc::Display;
use getopts::Matches;

/// Most processes in a round. More don't fit on one host along with other programs.
const MAX_PROCESSES: u64 = 200;

/// Most rounds at the same time.
const MAX_PARALLEL_ROUNDS: u64 = 64;

/// Largest seed and largest number of rounds. Their sum is a valid `u64`, so the seeds of a
/// run don't overflow.
const MAX_SEED: u64 = u64::MAX / 4;

/// Longest time for which new rounds start, in minutes: one day.
const MAX_MINUTES: u64 = 24 * 60;

/// Which rounds to run, and what to keep and print of them.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the first round; each further round uses the next number.
    pub first_seed: u64,
    /// Number of rounds. Ignored if a duration is given.
    pub rounds: u64,
    /// Time for which new rounds start; those that run are finished.
    pub duration: Option<Duration>,
    /// Number of processes in a round.
    pub processes: usize,
    /// Share of rounds with a partition and long jobs, in percent.
    pub partition_percent: u64,
    /// Number of rounds that run at the same time.
    pub parallel_rounds: usize,
    /// Directory in which settings and logs are kept. Without it they are deleted.
    pub keep_dir: Option<PathBuf>,
    /// Path of `sycamore-node`. By default the file of that name next to this program.
    pub node_program: Option<PathBuf>,
    /// Print only the final report, without a summary of each round.
    pub is_json: bool,
}

/// Why the options can't be used.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum OptionsError {
    /// --{0}: `{1}` is not a number within its bounds
    Number(&'static str, String),
    /// --format: `{0}` is neither `json` nor `text`
    Format(String),
}

impl std::error::Error for OptionsError {}

impl Options {
    /// Returns the options that the command line accepts.
    pub fn flags() -> getopts::Options {
        let mut flags = getopts::Options::new();
        flags.optopt("", "seeds", "number of rounds (1)", "N");
        flags.optopt("", "first-seed", "seed of the first round (1)", "S");
        flags.optopt("", "seed", "repeat the round of one seed", "S");
        flags.optopt("", "minutes", "start new rounds for this many minutes", "M");
        flags.optopt("", "processes", "processes per round, 1 to 200 (3)", "P");
        flags.optopt("", "partitions", "percentage of rounds with a partition (0)", "PERCENT");
        flags.optopt("", "parallel", "rounds at the same time (1)", "K");
        flags.optopt("", "keep", "keep settings and logs in this directory", "DIR");
        flags.optopt("", "node", "path of sycamore-node (next to this program)", "FILE");
        flags.optopt("", "format", "text or json (text)", "FORMAT");
        flags.optflag("h", "help", "print this help and exit");
        flags
    }

    /// Reads the options from a parsed command line.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first option with a bad value.
    pub fn from_matches(matches: &Matches) -> Result<Options, OptionsError> {
        let number = |name: &'static str, default: u64, bounds: RangeInclusive<u64>| {
            let Some(text) = matches.opt_str(name) else { return Ok(default) };
            match text.parse() {
                Ok(number) if bounds.contains(&number) => Ok(number),
                _ => Err(OptionsError::Number(name, text)),
            }
        };
        let is_single_seed = matches.opt_present("seed");
        let first_seed = number("seed", number("first-seed", 1, 0..=MAX_SEED)?, 0..=MAX_SEED)?;
        let rounds = number("seeds", 1, 1..=MAX_SEED)?;
        let minutes = number("minutes", 0, 1..=MAX_MINUTES)?;
        let is_json = match matches.opt_str("format").as_deref() {
            None | Some("text") => false,
            Some("json") => true,
            Some(other) => return Err(OptionsError::Format(other.to_string())),
        };
        Ok(Options {
            first_seed,
            rounds: if is_single_seed { 1 } else { rounds },
            duration: (minutes > 0 && !is_single_seed).then(|| Duration::from_secs(60 * minutes)),
            processes: number("processes", 3, 1..=MAX_PROCESSES)? as usize,
            partition_percent: number("partitions", 0, 0..=100)?,
            parallel_rounds: number("parallel", 1, 1..=MAX_PARALLEL_ROUNDS)? as usize,
            keep_dir: matches.opt_str("keep").map(PathBuf::from),
            node_program: matches.opt_str("node").map(PathBuf::from),
            is_json,
        })
    }
}
