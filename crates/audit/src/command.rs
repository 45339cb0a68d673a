//! The command line of `sycamore-audit`.
//!
//! Files are read whole, so the collected records must fit in memory.

use std::collections::BTreeMap;
use std::fs;
use std::process::ExitCode;

use displaydoc::Display;
use getopts::Options;
use sycamore_audit::{Heads, explain, verify};
use sycamore_types::id;

const USAGE: &str = "\
Verifies and explains collected decision records.

Usage:
  sycamore-audit verify --heads HEADS RECORDS
  sycamore-audit explain JOB RECORDS

RECORDS is a file with the collected stream, one JSON record per line. HEADS is
a file with the output of `sycamorectl heads`.

Exit codes: 0 success, 1 the stream fails verification or has no record of the
job, 2 bad usage, or a file that cannot be read or parsed.";

/// The reason why a command failed.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum Error {
    /// {0}
    Usage(String),
    /// {path}: {message}
    File {
        /// Path of the file.
        path: String,
        /// Cause, as reported by the file system or the JSON parser.
        message: String,
    },
}

impl std::error::Error for Error {}

/// Parses the command line, without the program name, and runs the command. Returns
/// [`ExitCode::FAILURE`] if the records fail verification or do not mention the job.
pub fn run(args: impl Iterator<Item = String>) -> Result<ExitCode, Error> {
    let mut options = Options::new();
    options.optopt("", "heads", "chain heads as printed by `sycamorectl heads`", "FILE");
    options.optflag("h", "help", "print this help and exit");
    let matches = options.parse(args).map_err(|error| Error::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return Ok(ExitCode::SUCCESS);
    }
    let arguments: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["verify", records] => match matches.opt_str("heads") {
            Some(heads) => run_verify(records, &heads),
            None => Err(Error::Usage("`verify` requires --heads".to_string())),
        },
        ["explain", job, records] => run_explain(job, records),
        _ => Err(Error::Usage(USAGE.to_string())),
    }
}

fn run_verify(records_path: &str, heads_path: &str) -> Result<ExitCode, Error> {
    let text = read_file(records_path)?;
    let heads: BTreeMap<id::Shard, Heads> =
        serde_json::from_str(&read_file(heads_path)?).map_err(|error| Error::File {
            path: heads_path.to_string(),
            message: error.to_string(),
        })?;
    let findings = verify(text.lines(), &heads);
    for finding in &findings {
        println!("{finding}");
    }
    println!("{} records, {} findings", text.lines().count(), findings.len());
    Ok(if findings.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn run_explain(job: &str, records_path: &str) -> Result<ExitCode, Error> {
    let text = read_file(records_path)?;
    let lines = explain(text.lines(), job);
    for line in &lines {
        println!("{line}");
    }
    if lines.is_empty() {
        println!("no record speaks of {job}");
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}

fn read_file(path: &str) -> Result<String, Error> {
    fs::read_to_string(path)
        .map_err(|error| Error::File { path: path.to_string(), message: error.to_string() })
}
