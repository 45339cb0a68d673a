use std::time::Duration;

use serde::Serialize;
use serde_json::{Value, json};

use crate::{CallOutcome, Caller, Deployment};

/// Requests of each team.
const REQUESTS: usize = 20;

/// Time within which the jobs must be over.
const PATIENCE: Duration = Duration::from_secs(30);

/// Time between two looks at a job.
const LOOK: Duration = Duration::from_millis(200);

/// What happened on a tour.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// Interactive requests that were made.
    pub requests: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Calls that certainly were not run.
    pub not_run: u64,
    /// Calls that may have run.
    pub unknown: u64,
    /// Jobs that ended well.
    pub jobs_done: u64,
    /// What the stand-ins saw that must never happen.
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

    /// Adds another summary.
    pub fn add(&mut self, other: &Summary) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.jobs_done += other.jobs_done;
        self.violations += other.violations;
    }
}

/// Sends requests and jobs to a deployment and tells what happened to each.
pub async fn tour(deployment: &Deployment, mut say: impl FnMut(&str)) -> Summary {
    let mut summary = Summary::default();
    requests(deployment, &mut summary, &mut say).await;
    repeat(deployment, &mut summary, &mut say).await;
    refusals(deployment, &mut summary, &mut say).await;
    jobs(deployment, &mut summary, &mut say).await;
    summary.violations = deployment.site.run_tracker.violations().total();
    summary
}

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

/// Repeats a request with its idempotency key by way of another entry process.
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

fn word(told: &CallOutcome) -> String {
    match told {
        CallOutcome::Answered(_) => "answered".to_string(),
        CallOutcome::NotRun(reason) => format!("not run ({reason})"),
        CallOutcome::Unknown(reason) => format!("not answered, outcome unknown ({reason})"),
    }
}

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

/// Hands in a job and waits for its end.
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
