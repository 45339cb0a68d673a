//! `sycamore-node`: reads the settings and runs the scheduler process of one host.

use std::process::ExitCode;
use std::time::Duration;

use sycamore_node::Options;
use sycamore_platform::site::{SETTINGS_PATH, SETTINGS_VARIABLE, Settings};
use sycamore_telemetry::logs::{self, LineSender};

fn main() -> ExitCode {
    let mut flags = getopts::Options::new();
    flags.optopt("s", "settings", "settings file", "FILE");
    flags.optopt("", "metrics-port", "serve metrics on this port of the host", "PORT");
    flags.optopt(
        "",
        "usage-half-life",
        "take the past use of teams into account, which counts half after this time \
         (default: 0, off)",
        "SECONDS",
    );
    flags.optopt(
        "",
        "source-address",
        "connect to the store, workers, advice and peers from this address of the host",
        "IP",
    );
    flags.optopt(
        "",
        "peer-listen",
        "listen for peers here, while the settings state the address that others use",
        "IP:PORT",
    );
    flags.optflag("", "print-settings", "check the settings, print them and exit");
    flags.optflag("h", "help", "print this help and exit");
    let matches = match flags.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => return fail(&error),
    };
    if matches.opt_present("help") {
        let brief = "sycamore-node: takes callers' jobs and owns the workers when it is its turn.\n\
                     Usage: sycamore-node [OPTIONS]";
        print!("{}", flags.usage(brief));
        return ExitCode::SUCCESS;
    }
    let path = matches
        .opt_str("settings")
        .or_else(|| std::env::var(SETTINGS_VARIABLE).ok())
        .unwrap_or_else(|| SETTINGS_PATH.to_string());
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    if matches.opt_present("print-settings") {
        println!("{settings:#?}");
        return ExitCode::SUCCESS;
    }
    let options = match read_options(&matches) {
        Ok(options) => options,
        Err(error) => return fail(&error),
    };
    match logs::start_rate_limited() {
        Ok(lines) => start(settings, &path, lines, options),
        Err(error) => fail(&error),
    }
}

/// Reads the options of the process.
///
/// # Errors
///
/// Returns a message that names the first option with a bad value.
fn read_options(matches: &getopts::Matches) -> Result<Options, String> {
    let options = Options::default().with_metrics_port(value(matches, "metrics-port")?);
    let half_life = Duration::from_secs(value(matches, "usage-half-life")?.unwrap_or(0));
    let options = options
        .with_usage_half_life(half_life)
        .map_err(|error| format!("--usage-half-life: {error}"))?;
    let options = options
        .with_source_address(value(matches, "source-address")?)
        .map_err(|error| format!("--source-address: {error}"))?;
    options
        .with_peer_listen(value(matches, "peer-listen")?)
        .map_err(|error| format!("--peer-listen: {error}"))
}

fn value<T>(matches: &getopts::Matches, name: &str) -> Result<Option<T>, String>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    matches.opt_get(name).map_err(|error| format!("--{name}: {error}"))
}

fn start(settings: Settings, path: &str, lines: LineSender, options: Options) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match runtime.block_on(sycamore_node::run(settings, path, lines, options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("sycamore-node: {error}");
    ExitCode::FAILURE
}
