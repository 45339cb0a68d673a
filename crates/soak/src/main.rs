//! `sycamore-soak`: runs rounds with injected faults and reports violated invariants.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use futures::StreamExt;
use sycamore_soak::{Options, Outcome, Report, Scenario, run_round};

/// Exit status if a round can't be run. Status 1 means that an invariant was violated.
const CANNOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let flags = Options::flags();
    let matches = match flags.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => return fail(error),
    };
    if matches.opt_present("help") {
        let brief = "sycamore-soak: runs real processes under injected faults and checks invariants.\n\
                     The last line of output is the report. Usage: sycamore-soak [OPTIONS]";
        print!("{}", flags.usage(brief));
        return ExitCode::SUCCESS;
    }
    let options = match Options::from_matches(&matches) {
        Ok(options) => options,
        Err(error) => return fail(error),
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(error),
    };
    match runtime.block_on(run(&options)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => fail(error),
    }
}

/// Prints why the rounds can't be run. A violated invariant is not such an error.
fn fail(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("sycamore-soak: {error}");
    ExitCode::from(CANNOT_RUN)
}

/// Runs all rounds and returns whether no invariant was violated.
async fn run(options: &Options) -> std::io::Result<bool> {
    let started_at = Instant::now();
    let is_due = |seed: &u64| match options.duration {
        Some(duration) => started_at.elapsed() < duration,
        None => *seed - options.first_seed < options.rounds,
    };
    let seeds = futures::stream::iter((options.first_seed..).take_while(is_due));
    let mut rounds =
        seeds.map(|seed| run_seed(options, seed)).buffer_unordered(options.parallel_rounds);
    let mut report = Report::default();
    while let Some(outcome) = rounds.next().await {
        let outcome = outcome?;
        report.add(&outcome);
        if !options.is_json {
            print_outcome(&outcome);
        }
    }
    println!("{}", serde_json::to_string(&report)?);
    Ok(report.violations == 0)
}

async fn run_seed(options: &Options, seed: u64) -> std::io::Result<Outcome> {
    let program = match &options.node_program {
        Some(path) => path.clone(),
        None => std::env::current_exe()?.with_file_name("sycamore-node"),
    };
    let dir = match &options.keep_dir {
        Some(dir) => dir.join(format!("seed-{seed}")),
        None => scratch_dir(seed),
    };
    std::fs::create_dir_all(&dir)?;
    let scenario = Scenario::from_seed(seed, options.processes);
    let scenario = scenario.with_partition(options.partition_percent);
    let outcome = run_round(&scenario, &program, &dir, options.keep_dir.is_some(), &[]).await;
    if options.keep_dir.is_none() {
        std::fs::remove_dir_all(&dir)?;
    }
    outcome
}

fn scratch_dir(seed: u64) -> PathBuf {
    std::env::temp_dir().join(format!("sycamore-soak-{}-{seed}", std::process::id()))
}

fn print_outcome(outcome: &Outcome) {
    println!(
        "seed {}: {} jobs, {} starts, faults {:?}, {} breaches",
        outcome.seed,
        outcome.jobs,
        outcome.starts,
        outcome.faults,
        outcome.violations.len()
    );
    for violation in &outcome.violations {
        println!("  {:?} at {} ms: {}", violation.invariant, violation.at_ms, violation.detail);
    }
}
