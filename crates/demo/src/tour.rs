//! A sequence of sample calls to a deployment, with a printed line for each outcome.
//!
//! The summary separates calls that were certainly not run from calls that may have run, and
//! counts the violations that the simulated workers detected.

use std::time::Duration;

use serde::Serialize;
use serde_json::{Value, json};

use crate::{CallOutcome, Caller, Deployment};

/// Number of interactive requests of each team.
const REQUESTS_PER_TEAM: usize = 20;

/// Time within which each job must end.
const JOB_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two queries for the progress of a job.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// Counts of the outcomes of a tour.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// Number of interactive requests sent.
    pub requests: u64,
    /// Number of requests that succeeded.
    pub answered: u64,
    /// Number of calls, requests and submissions, that were certainly not run.
    pub not_run: u64,
    /// Number of calls that may have run.
    pub unknown: u64,
    /// Number of jobs that succeeded.
    pub jobs_done: u64,
    /// Number of violations that the simulated workers detected, such as an overload or a second
    /// run of the same task.
    pub violations: u64,
}

impl Summary {
    fn count(&mut self, outcome: &CallOutcome) {
        match outcome {
            CallOutcome::Answered(_) => self.answered += 1,
            CallOutcome::NotRun(_) => self.not_run += 1,
            CallOutcome::Unknown(_) => self.unknown += 1,
        }
    }

    /// Adds the counts of another summary.
    pub fn add(&mut self, other: &Summary) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.jobs_done += other.jobs_done;
        self.violations += other.violations;
    }
}

/// Sends requests and jobs to a deployment and prints the outcome of each.
pub async fn tour(deployment: &Deployment, mut print_line: impl FnMut(&str)) -> Summary {
    let mut summary = Summary::default();
    team_requests(deployment, &mut summary, &mut print_line).await;
    repeated_request(deployment, &mut summary, &mut print_line).await;
    refused_calls(deployment, &mut summary, &mut print_line).await;
    jobs(deployment, &mut summary, &mut print_line).await;
    summary.violations = deployment.platform.run_tracker.violations().total();
    summary
}

/// Returns a caller of the entry process with this index, counted modulo the number of processes.
fn caller(deployment: &Deployment, team: &str, index: usize) -> Caller {
    let entry = &deployment.entries[index % deployment.entries.len()];
    Caller::new(entry.address, team, &deployment.profile.secret(team))
}

async fn team_requests(
    deployment: &Deployment,
    summary: &mut Summary,
    print_line: &mut impl FnMut(&str),
) {
    let service = deployment.profile.service;
    for team in deployment.profile.teams {
        let answered_before = summary.answered;
        for index in 0..REQUESTS_PER_TEAM {
            let outcome = caller(deployment, team, index).request(service, "stock/1", None).await;
            summary.requests += 1;
            summary.count(&outcome);
        }
        let answered = summary.answered - answered_before;
        print_line(&format!(
            "{service}: {answered} of {REQUESTS_PER_TEAM} requests of team {team} answered"
        ));
    }
}

/// Sends a request and repeats it with the same idempotency key through another entry process.
async fn repeated_request(
    deployment: &Deployment,
    summary: &mut Summary,
    print_line: &mut impl FnMut(&str),
) {
    let service = deployment.profile.service;
    let team = deployment.profile.teams[0];
    let first = caller(deployment, team, 0).request(service, "holds", Some("hold-1")).await;
    let second = caller(deployment, team, 1).request(service, "holds", Some("hold-1")).await;
    summary.requests += 2;
    summary.count(&first);
    summary.count(&second);
    print_line(&format!(
        "{service}: a hold was {}, its repeat {}",
        describe(&first),
        describe(&second)
    ));
}

/// Describes an outcome for the printed line.
fn describe(outcome: &CallOutcome) -> String {
    match outcome {
        CallOutcome::Answered(_) => "answered".to_string(),
        CallOutcome::NotRun(reason) => format!("not run ({reason})"),
        CallOutcome::Unknown(reason) => format!("not answered, outcome unknown ({reason})"),
    }
}

/// Makes calls that must be refused: a request with an unknown key, and a job that fits no host.
async fn refused_calls(
    deployment: &Deployment,
    summary: &mut Summary,
    print_line: &mut impl FnMut(&str),
) {
    let team = deployment.profile.teams[0];
    let address = deployment.entries[0].address;
    let stranger = Caller::new(address, team, "not-a-key");
    let outcome = stranger.request(deployment.profile.service, "stock/1", None).await;
    summary.requests += 1;
    summary.count(&outcome);
    print_line(&format!("a request with a wrong key was {}", describe(&outcome)));
    let unplaceable = json!({ "tasks": 1, "size": { "slots": 1, "accelerators": 4 } });
    let outcome = caller(deployment, team, 0).submit(&unplaceable).await;
    summary.count(&outcome);
    print_line(&format!("a job that needs accelerators was {}", describe(&outcome)));
}

async fn jobs(deployment: &Deployment, summary: &mut Summary, print_line: &mut impl FnMut(&str)) {
    let team = deployment.profile.teams[0];
    let caller = caller(deployment, team, 0);
    let size = json!({ "slots": 1, "cpu_millis": 4000, "memory_mib": 2048 });
    let job_spec = |kind: &str, tasks: u32| {
        json!({
            "kind": kind, "tasks": tasks, "size": size, "restartable": true,
            "run_ms": 300, "payload": format!("team={team}"),
        })
    };
    let batch_job = deployment.profile.batch_job;
    for (name, spec) in [
        (format!("{batch_job} of one task"), job_spec("batch", 1)),
        (format!("{batch_job} of 24 tasks"), job_spec("batch", 24)),
        (format!("all-at-once {batch_job} of 6 tasks"), job_spec("gang", 6)),
    ] {
        let progress = run_job(&caller, &spec, summary).await;
        print_line(&format!("{name}: {progress}"));
    }
}

/// Submits a job and waits for its end. Returns its final progress or why there is none.
async fn run_job(caller: &Caller, spec: &Value, summary: &mut Summary) -> String {
    let outcome = caller.submit(spec).await;
    let CallOutcome::Answered(body) = &outcome else {
        summary.count(&outcome);
        return describe(&outcome);
    };
    let accepted: Value = serde_json::from_slice(body).unwrap_or_default();
    let name = accepted["name"].as_str().unwrap_or_default().to_string();
    let end = tokio::time::Instant::now() + JOB_TIMEOUT;
    while tokio::time::Instant::now() < end {
        let status = caller.status(&name).await.unwrap_or_default();
        match status["progress"].as_str() {
            Some("done") => {
                summary.jobs_done += 1;
                return "done".to_string();
            }
            Some("failed") => return "failed".to_string(),
            _ => tokio::time::sleep(STATUS_INTERVAL).await,
        }
    }
    format!("not finished within {} s", JOB_TIMEOUT.as_secs())
}
