//! `sycamore-demo`: shows sycamorechute at work, all in one process.

use std::process::ExitCode;

use getopts::Options;
use sycamore_demo::{Deployment, Profile, Summary, tour};
use sycamore_scheduler::RecordDestination;

const USAGE: &str = "\
Starts two deployments on loopback with a simulated platform, sends requests
and jobs to them, and prints the outcomes.

Usage: sycamore-demo [OPTIONS]";

/// Number of workers of each deployment.
const WORKERS: usize = 24;

/// Number of entry hosts of each deployment. Each runs an entry process and a scheduler.
const ENTRY_HOSTS: usize = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "format", "text or json (default: text)", "FORMAT");
    options.optflag("", "serve", "keep the deployments running and print sample commands");
    options.optflag("h", "help", "print this help and exit");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("sycamore-demo: {error}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    let is_json = matches.opt_str("format").as_deref() == Some("json");
    match run(is_json, matches.opt_present("serve")).await {
        Ok(summary) if summary.violations == 0 && summary.jobs_done > 0 => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("sycamore-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(is_json: bool, serve: bool) -> Result<Summary, sycamore_demo::Error> {
    let print_line = |line: &str| {
        if !is_json {
            println!("{line}");
        }
    };
    let mut total = Summary::default();
    let mut deployments = Vec::new();
    for profile in [Profile::sialkot(), Profile::mwakilema()] {
        print_line(&format!("-- {}: {WORKERS} workers, {ENTRY_HOSTS} entry hosts", profile.name));
        let deployment =
            Deployment::start(profile, WORKERS, ENTRY_HOSTS, RecordDestination::Nowhere).await?;
        total.add(&tour(&deployment, print_line).await);
        deployments.push(deployment);
    }
    print_summary(&total, is_json);
    if serve {
        print_sample_commands(&deployments);
        let _ = tokio::signal::ctrl_c().await;
    }
    for deployment in deployments {
        deployment.stop().await;
    }
    Ok(total)
}

fn print_summary(total: &Summary, is_json: bool) {
    if is_json {
        println!("{}", serde_json::to_string(total).unwrap_or_default());
    } else {
        println!(
            "-- {} requests: {} answered, {} not run, {} unknown; {} jobs done; {} violations",
            total.requests,
            total.answered,
            total.not_run,
            total.unknown,
            total.jobs_done,
            total.violations
        );
    }
}

fn print_sample_commands(deployments: &[Deployment]) {
    for deployment in deployments {
        let profile = &deployment.profile;
        let team = profile.teams[0];
        let secret = profile.secret(team);
        let entry = &deployment.entries[0];
        println!("-- {} (press Ctrl-C to stop)", profile.name);
        println!(
            "curl -H 'Authorization: Bearer {secret}' http://{}/v1/services/{}/stock/1",
            entry.address, profile.service
        );
        println!(
            "curl -H 'Authorization: Bearer {secret}' -d '{{\"tasks\":2,\"size\":{{\"slots\":1}},\"run_ms\":2000}}' http://{}/v1/jobs",
            entry.address
        );
        println!("sycamorectl --entry {} status", entry.operator_address);
        println!("curl http://{}/metrics", entry.operator_address);
    }
}
