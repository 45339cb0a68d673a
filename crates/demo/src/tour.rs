//! A sequence of sample calls to a deployment, with a printed line for each outcome.
//!
//! The summary separates calls that were certainly not run from calls that may have run, and
//! counts the violations that the simulated workers detected.

use std::time::Duration;

use serde::Serialize;
use serde_json::{Value, json};

use crate::{CallOutcome, Caller, Deployment};

/// Number of interactive requests of each team.
const REQUESTS: usize = 20;

/// Time within which each job must end.
const PATIENCE: Duration = Duration::from_secs(30);

/// Interval between two queries for the progress of a job.
const LOOK: Duration = Duration::from_millis(200);

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
    fn note(&mut self, told: &CallOutcome) {
        match told {
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
pub async fn tour(deployment: &Deployment, mut say: impl FnMut(&str)) -> Summary {
    let mut summary = Summary::default();
    requests(deployment, &mut summary, &mut say).await;
    repeat(deployment, &mut summary, &mut say).await;
    refusals(deployment, &mut summary, &mut say).await;
    jobs(deployment, &mut summary, &mut say).await;
    summary.violations = deployment.site.run_tracker.violations().total();
    summary
}

/// Returns a caller of the entry process with this index, counted modulo the number of processes.
fn caller(deployment: &Deployment, team: &str, at: usize) -> Caller {
    let entry = &deployment.entries[at % deployment.entries.len()];
    Caller::new(entry.address, team, &deployment.profile.secret(team))
}

async fn requests(deployment: &Deployment, summary: &mut Summary, say: &mut impl FnMut(&str)) {
    let service = deployment.profile.service;
    for team in deployment.profile.teams {
        let before = summary.answered;
        for at in 0..REQUESTS {
            let told = caller(deployment, team, at).request(service, "stock/1", None).await;
            summary.requests += 1;
            summary.note(&told);
        }
        let answered = summary.answered - before;
        say(&format!("{service}: {answered} of {REQUESTS} requests of team {team} answered"));
    }
}

/// Sends a request and repeats it with the same idempotency key through another entry process.
async fn repeat(deployment: &Deployment, summary: &mut Summary, say: &mut impl FnMut(&str)) {
    let service = deployment.profile.service;
    let team = deployment.profile.teams[0];
    let first = caller(deployment, team, 0).request(service, "holds", Some("hold-1")).await;
    let second = caller(deployment, team, 1).request(service, "holds", Some("hold-1")).await;
    summary.requests += 2;
    summary.note(&first);
    summary.note(&second);
    say(&format!("{service}: a hold was {}, its repeat {}", word(&first), word(&second)));
}

/// Describes an outcome for the printed line.
fn word(told: &CallOutcome) -> String {
    match told {
        CallOutcome::Answered(_) => "answered".to_string(),
        CallOutcome::NotRun(reason) => format!("not run ({reason})"),
        CallOutcome::Unknown(reason) => format!("not answered, outcome unknown ({reason})"),
    }
}

/// Makes calls that must be refused: a request with an unknown key, and a job that fits no host.
async fn refusals(deployment: &Deployment, summary: &mut Summary, say: &mut impl FnMut(&str)) {
    let team = deployment.profile.teams[0];
    let address = deployment.entries[0].address;
    let stranger = Caller::new(address, team, "not-a-key");
    let told = stranger.request(deployment.profile.service, "stock/1", None).await;
    summary.requests += 1;
    summary.note(&told);
    say(&format!("a request with a wrong key was {}", word(&told)));
    let huge = json!({ "tasks": 1, "size": { "slots": 1, "accelerators": 4 } });
    let told = caller(deployment, team, 0).submit(&huge).await;
    summary.note(&told);
    say(&format!("a job that needs accelerators was {}", word(&told)));
}

async fn jobs(deployment: &Deployment, summary: &mut Summary, say: &mut impl FnMut(&str)) {
    let team = deployment.profile.teams[0];
    let caller = caller(deployment, team, 0);
    let size = json!({ "slots": 1, "cpu_millis": 4000, "memory_mib": 2048 });
    let common = |kind: &str, tasks: u32| {
        json!({
            "kind": kind, "tasks": tasks, "size": size, "restartable": true,
            "run_ms": 300, "payload": format!("team={team}"),
        })
    };
    let batch = deployment.profile.batch;
    for (name, spec) in [
        (format!("{batch} of one task"), common("batch", 1)),
        (format!("{batch} of 24 tasks"), common("batch", 24)),
        (format!("all-at-once {batch} of 6 tasks"), common("gang", 6)),
    ] {
        let progress = run_job(&caller, &spec, summary).await;
        say(&format!("{name}: {progress}"));
    }
}

/// Submits a job and waits for its end. Returns its final progress or why there is none.
async fn run_job(caller: &Caller, spec: &Value, summary: &mut Summary) -> String {
    let told = caller.submit(spec).await;
    let CallOutcome::Answered(body) = &told else {
        summary.note(&told);
        return word(&told);
    };
    let accepted: Value = serde_json::from_slice(body).unwrap_or_default();
    let name = accepted["name"].as_str().unwrap_or_default().to_string();
    let end = tokio::time::Instant::now() + PATIENCE;
    while tokio::time::Instant::now() < end {
        let status = caller.status(&name).await.unwrap_or_default();
        match status["progress"].as_str() {
            Some("done") => {
                summary.jobs_done += 1;
                return "done".to_string();
            }
            Some("failed") => return "failed".to_string(),
            _ => tokio::time::sleep(LOOK).await,
        }
    }
    format!("not over within {} s", PATIENCE.as_secs())
}
