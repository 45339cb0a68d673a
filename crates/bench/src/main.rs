//! The `sycamore-bench` command: runs one measurement and prints the result as
//! text or JSON. The measurements themselves are in the library.

use std::process::ExitCode;
use std::time::Duration;

use getopts::{Matches, Options};
use sycamore_bench::policy::{self, Scenario};
use sycamore_bench::{decide, faults, site};

const USAGE: &str = "\
Measures sycamorechute.

Usage:
  sycamore-bench decide [OPTIONS]   time of the decision core per task start
  sycamore-bench policy [OPTIONS]   waiting, packing and shares against baselines
  sycamore-bench site [OPTIONS]     cost and waits of the engine of sycamore-node
  sycamore-bench faults [OPTIONS]   real processes killed, paused and replaced under load";

/// Options whose value is a number.
const NUMBERS: [&str; 9] =
    ["seed", "workers", "teams", "placements", "outage", "load", "burst", "slow", "seconds"];

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "format", "text or json (default: text)", "FORMAT");
    options.optopt("", "seed", "seed of the random numbers (default: 1)", "N");
    options.optopt("", "workers", "decide: measure this number of workers only", "N");
    options.optopt("", "teams", "decide: number of teams with --workers (default: 190)", "N");
    options.optopt(
        "",
        "placements",
        "decide: jobs submitted per measurement (default: 20000)",
        "N",
    );
    options.optopt("", "site", "policy: run this scenario only", "NAME");
    options.optopt("", "load", "site: arrivals, in percent of the ordinary (default: 100)", "N");
    options.optopt("", "burst", "site: arrivals in bursts, in percent (default: 100)", "N");
    options.optopt("", "slow", "site: slow workers, in percent (default: 0)", "N");
    options.optopt("", "seconds", "site: simulated seconds (default: 60)", "N");
    options.optopt("", "outage", "faults: seconds of store outage (default: 20)", "N");
    options.optflag("h", "help", "print this help and exit");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("sycamore-bench: {error}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") || matches.free.is_empty() {
        println!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    for name in NUMBERS {
        let text = matches.opt_str(name);
        if text.as_ref().is_some_and(|text| text.parse::<u64>().is_err()) {
            eprintln!("sycamore-bench: --{name}: `{}` is not a number", text.unwrap_or_default());
            return ExitCode::from(2);
        }
    }
    let is_json = matches.opt_str("format").as_deref() == Some("json");
    match matches.free[0].as_str() {
        "decide" => run_decide(&matches, is_json),
        "policy" => run_policy(&matches, is_json),
        "site" => return run_site(&matches),
        "faults" => return run_faults(&matches, is_json),
        other => {
            eprintln!("sycamore-bench: unknown measurement `{other}`");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}

/// Returns the value of an option that is among the checked [`NUMBERS`], or the default if it is
/// missing.
fn parse_number(matches: &Matches, name: &str, default: u64) -> u64 {
    matches.opt_str(name).and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn run_policy(matches: &Matches, is_json: bool) {
    let seed = parse_number(matches, "seed", 1);
    let scenario = |name, workers, memory_mib, teams, interactive_ratio, seconds| Scenario {
        name,
        workers,
        memory_mib,
        teams,
        interactive_ratio,
        seconds,
    };
    let scenarios = [
        scenario("sialkot", 50, 256 * 1_024, 6, 0.5, 900),
        scenario("mwakilema", 50, 128 * 1_024, 6, 0.8, 900),
        // An eighth of the design size of 10,000 workers, with all of its teams.
        scenario("letter/8", 1_250, 256 * 1_024, 190, 0.5, 150),
    ];
    let selected = matches.opt_str("site");
    let scenarios: Vec<Scenario> = scenarios
        .into_iter()
        .filter(|scenario| selected.as_ref().is_none_or(|name| *name == scenario.name))
        .collect();
    let scores = policy::run(seed, &scenarios, |score| {
        if !is_json {
            print_score(score);
        }
    });
    if is_json {
        println!("{}", serde_json::to_string(&scores).unwrap_or_default());
    }
}

fn print_score(score: &policy::Score) {
    println!("{} with {}: {} starts", score.scenario, score.policy, score.started);
    for waits in &score.waits {
        println!(
            "  wait {:11} n {:7}  p50 {:7.2} s  p99 {:7.2} s  max {:7.2} s",
            waits.class, waits.count, waits.p50, waits.p99, waits.max
        );
    }
    println!(
        "  packing {:.1}%  largest task that fits {:.1} cores  share error {:.2}% largest, {:.2}% mean  thrown away {:.2}%",
        100.0 * score.packing,
        score.largest_fit_cores,
        100.0 * score.share_error_largest,
        100.0 * score.share_error_mean,
        100.0 * score.wasted_ratio
    );
}

/// Plays a site at one or several sizes and prints a line for each, and one for each kind of
/// its jobs.
fn run_site(matches: &Matches) -> ExitCode {
    let sizes = match parse_number(matches, "workers", 0) as usize {
        0 => vec![50, 540, 2_000],
        workers => vec![workers],
    };
    let (load, burst, slow) = (
        parse_number(matches, "load", 100),
        parse_number(matches, "burst", 100),
        parse_number(matches, "slow", 0),
    );
    if load == 0 || burst == 0 || slow > 100 {
        eprintln!("sycamore-bench: --load and --burst are above 0, --slow is 100 at most");
        return ExitCode::from(2);
    }
    for workers in sizes {
        let outcome = site::run(site::Settings {
            seed: parse_number(matches, "seed", 1),
            workers,
            seconds: parse_number(matches, "seconds", 60),
            load: load as f64 / 100.0,
            burst_factor: burst as f64 / 100.0,
            burst_seconds: 4,
            slow_share: slow as f64 / 100.0,
            slow_down: 3.0,
        });
        let (passes, events) = (&outcome.passes, &outcome.events);
        println!(
            "{workers} workers: {} starts, {} passes of {:.0} us (p99 {:.0}), {} events of {:.1} us, \
             waiting {} at most and {} at the end, advice {:.0} s",
            outcome.starts,
            passes.count(),
            passes.total().as_micros() as f64 / passes.count().max(1) as f64,
            passes.quantile_us(0.99),
            events.count(),
            events.total().as_micros() as f64 / events.count().max(1) as f64,
            outcome.most_waiting,
            outcome.waiting,
            outcome.advice_ms / 1e3,
        );
        for kind in &outcome.kinds {
            println!(
                "  {:6} {:6} jobs: {:5.1}% in time, {:5.1}% late; first order p50 {:7.1} ms, p90 {:7.1} ms",
                kind.name,
                kind.jobs,
                100.0 * kind.in_time as f64 / kind.jobs.max(1) as f64,
                100.0 * kind.late as f64 / kind.jobs.max(1) as f64,
                kind.first_start_ms(0.5),
                kind.first_start_ms(0.9),
            );
        }
    }
    ExitCode::SUCCESS
}

/// Runs the fault test. Fails if a worker saw a violation, a job was lost, a
/// request ran twice, or a request ran although its caller was told it did not.
fn run_faults(matches: &Matches, is_json: bool) -> ExitCode {
    let outage = Duration::from_secs(parse_number(matches, "outage", 20));
    let Ok(runtime) = tokio::runtime::Runtime::new() else {
        return ExitCode::FAILURE;
    };
    let outcome = runtime.block_on(faults::run(outage, |line| eprintln!("{line}")));
    let outcome = match outcome {
        Ok(outcome) => outcome,
        Err(error) => {
            eprintln!("sycamore-bench: {error}");
            return ExitCode::FAILURE;
        }
    };
    let text = match is_json {
        true => serde_json::to_string(&outcome),
        false => serde_json::to_string_pretty(&outcome),
    };
    println!("{}", text.unwrap_or_default());
    let failures =
        outcome.violations + outcome.lost_jobs + outcome.double_runs + outcome.false_not_run;
    if failures == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn run_decide(matches: &Matches, is_json: bool) {
    let seed = parse_number(matches, "seed", 1);
    let placements = parse_number(matches, "placements", 20_000);
    let teams = parse_number(matches, "teams", 190) as usize;
    let sizes = match parse_number(matches, "workers", 0) as usize {
        0 => vec![(50, 6), (1_250, 6), (1_250, 190), (10_000, 190)],
        workers => vec![(workers, teams)],
    };
    if !is_json {
        println!(
            "workers teams running  placements/s us/placement  p50 us  p99 us p99.9 us  bytes/worker"
        );
    }
    let costs = decide::run(seed, placements, &sizes, |cost| {
        if !is_json {
            println!(
                "{:7} {:5} {:7} {:13.0} {:12.1} {:7.1} {:7.1} {:8.1} {:13.0}",
                cost.workers,
                cost.teams,
                cost.running,
                cost.placements_per_second,
                cost.us_per_placement,
                cost.step_p50_us,
                cost.step_p99_us,
                cost.step_p999_us,
                cost.bytes_per_worker
            );
        }
    });
    if is_json {
        println!("{}", serde_json::to_string(&costs).unwrap_or_default());
    }
}
