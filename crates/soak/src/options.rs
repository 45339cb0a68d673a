use std::path::PathBuf;
use std::time::Duration;

use displaydoc::Display;
use getopts::Matches;

/// Most processes of a round: more don't fit on one machine beside others.
const MAX_PROCESSES: usize = 200;

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the first round; the others follow.
    pub first_seed: u64,
    /// Number of rounds. Without effect when a time is given.
    pub seeds: u64,
    /// Time for which new rounds are begun.
    pub time: Option<Duration>,
    /// Processes of a round.
    pub processes: usize,
    /// Rounds at the same time.
    pub parallel: usize,
    /// Directory for settings and logs.
    pub keep: Option<PathBuf>,
    /// The program. By default the one beside this one.
    pub node: Option<PathBuf>,
    /// Only the report goes to standard output, as JSON.
    pub is_json: bool,
}

/// Why options can't be used.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum OptionsError {
    /// {0}
    Syntax(getopts::Fail),
    /// --{0}: `{1}` is not a number within its bounds
    Number(&'static str, String),
    /// --format: `{0}` is neither `json` nor `text`
    Format(String),
}

impl std::error::Error for OptionsError {}

impl Options {
    /// Lists the options for the command line.
    pub fn flags() -> getopts::Options {
        let mut flags = getopts::Options::new();
        flags.optopt("", "seeds", "number of rounds (1)", "N");
        flags.optopt("", "first-seed", "seed of the first round (1)", "S");
        flags.optopt("", "seed", "repeat the round of one seed", "S");
        flags.optopt("", "minutes", "begin new rounds for so long", "M");
        flags.optopt("", "processes", "processes of a round, 1 to 200 (3)", "P");
        flags.optopt("", "parallel", "rounds at the same time (1)", "K");
        flags.optopt("", "keep", "keep settings and logs here", "DIR");
        flags.optopt("", "node", "the program (sycamore-node beside this one)", "FILE");
        flags.optopt("", "format", "text or json (text)", "FORMAT");
        flags.optflag("h", "help", "print this help and exit");
        flags
    }

    /// Checks the command line.
    ///
    /// # Errors
    ///
    /// Names the first option that can't be used.
    pub fn from_matches(matches: &Matches) -> Result<Options, OptionsError> {
        let number = |name: &'static str, default: u64, most: u64| match matches.opt_str(name) {
            None => Ok(default),
            Some(text) => match text.parse() {
                Ok(number) if number <= most => Ok(number),
                _ => Err(OptionsError::Number(name, text)),
            },
        };
        let first_seed = number("seed", number("first-seed", 1, u64::MAX)?, u64::MAX)?;
        let seeds = if matches.opt_present("seed") { 1 } else { number("seeds", 1, u64::MAX)? };
        let minutes = number("minutes", 0, 24 * 60)?;
        let is_json = match matches.opt_str("format").as_deref() {
            None | Some("text") => false,
            Some("json") => true,
            Some(other) => return Err(OptionsError::Format(other.to_string())),
        };
        Ok(Options {
            first_seed,
            seeds,
            time: (minutes > 0).then(|| Duration::from_secs(60 * minutes)),
            processes: number("processes", 3, MAX_PROCESSES as u64)?.max(1) as usize,
            parallel: number("parallel", 1, 64)?.max(1) as usize,
            keep: matches.opt_str("keep").map(PathBuf::from),
            node: matches.opt_str("node").map(PathBuf::from),
            is_json,
        })
    }
}
