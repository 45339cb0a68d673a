//! Callers that submit jobs, cancel some, and query each job until its state is final.
//!
//! A caller picks a random process for each request and records what it sent and what was
//! answered; the checker knows nothing else of the callers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use sycamore_standin::fenced;

use crate::history::{Event, History, ReportedState};
use crate::scenario::{Job, TEAMS};

/// Host name in requests to the queue.
pub(crate) const QUEUE_HOST: &str = "desk.example";

/// Path prefix of requests to the queue.
pub(crate) const PREFIX: &str = "/checks/";

/// Longest wait for a response. Longer than the timeout of the queue, which is 3 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Most submissions of one job while no response tells whether it was accepted.
const MAX_SUBMISSIONS: u32 = 6;

/// Pause before a submission is repeated.
const SUBMIT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Range of the pause between two queries of a job's state, in milliseconds.
const QUERY_DELAY_MS: std::ops::Range<u64> = 200..500;

/// Longest time from the acceptance of a job until every process knows it, as documented for
/// the platform's sites.
pub(crate) const MAX_VISIBILITY_DELAY: Duration = Duration::from_millis(3_000);

/// Memory of each task, in MiB.
const TASK_MEMORY_MIB: u32 = 100;

/// Sends requests to randomly chosen processes over pooled connections.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
    history: History,
}

/// Returns the key that the callers of a team send.
pub(crate) fn api_key(team: usize) -> String {
    format!("key-of-{}", TEAMS[team])
}

impl Caller {
    pub fn new(addresses: Vec<SocketAddr>, history: History) -> Caller {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Caller { client, addresses, history }
    }

    /// Submits one job, cancels it if the scenario says so, and queries it until its state is
    /// final or the job is lost.
    pub async fn run_job(self, job: Job) {
        let mut random = SmallRng::seed_from_u64(job.id);
        tokio::time::sleep(Duration::from_millis(job.at_ms)).await;
        if !self.submit(&job, &mut random).await {
            return;
        }
        let accepted_at = Instant::now();
        let mut cancel_delay = job.cancel_after_ms.map(Duration::from_millis);
        loop {
            if let Some(delay) = cancel_delay {
                tokio::time::sleep(delay).await;
                if self.cancel(&job, &mut random).await {
                    cancel_delay = None;
                }
            }
            match self.query_state(&job, &mut random).await {
                Some(
                    ReportedState::Complete | ReportedState::Failed | ReportedState::Cancelled,
                ) => return,
                // The job is lost; the checker reports it from the recorded state.
                Some(ReportedState::Unknown)
                    if accepted_at.elapsed() > 2 * MAX_VISIBILITY_DELAY =>
                {
                    return;
                }
                _ => tokio::time::sleep(query_delay(&mut random)).await,
            }
        }
    }

    /// Submits the job until a response tells whether it was accepted, and returns whether it
    /// was.
    async fn submit(&self, job: &Job, random: &mut SmallRng) -> bool {
        for _ in 0..MAX_SUBMISSIONS {
            self.history.record(Event::Sent(job.id));
            let response =
                self.send_request(Method::POST, job, &job_document(job).to_string(), random).await;
            // A 502 or 504 from a gateway doesn't tell whether the job was accepted, so it counts
            // as a missing response.
            let status = response.map(|(status, _)| status).filter(|s| ![502, 504].contains(s));
            self.history.record(Event::Answered(job.id, status));
            if let Some(status) = status {
                return (200..300).contains(&status);
            }
            tokio::time::sleep(SUBMIT_RETRY_DELAY).await;
        }
        false
    }

    /// Sends one cancel and returns whether it succeeded.
    async fn cancel(&self, job: &Job, random: &mut SmallRng) -> bool {
        self.history.record(Event::CancelSent(job.id));
        let response = self.send_request(Method::DELETE, job, "", random).await;
        let is_cancelled = response.is_some_and(|(status, _)| (200..300).contains(&status));
        if is_cancelled {
            self.history.record(Event::Cancelled(job.id));
        }
        is_cancelled
    }

    /// Returns the job's state, or `None` if the response doesn't tell it.
    async fn query_state(&self, job: &Job, random: &mut SmallRng) -> Option<ReportedState> {
        let (status, text) = self.send_request(Method::GET, job, "", random).await?;
        let document: Value = serde_json::from_str(&text).unwrap_or_default();
        let state = match (status, document["state"].as_str()) {
            (410, _) => ReportedState::Unknown,
            (200, Some("complete")) => ReportedState::Complete,
            (200, Some("failed")) => ReportedState::Failed,
            (200, Some("cancelled")) => ReportedState::Cancelled,
            (200, Some(_)) => ReportedState::Open,
            _ => return None,
        };
        self.history.record(Event::Shown(job.id, state));
        Some(state)
    }

    /// Sends a request to a random process. Returns the status and the body, or `None` if no
    /// complete response arrives in time.
    async fn send_request(
        &self,
        method: Method,
        job: &Job,
        body: &str,
        random: &mut SmallRng,
    ) -> Option<(u16, String)> {
        let address = self.addresses.choose(random)?;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{PREFIX}{:016x}", job.id))
            .header("host", QUEUE_HOST)
            .header(fenced::KEY_HEADER, api_key(job.team))
            .body(Full::new(Bytes::from(body.to_string())))
            .ok()?;
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let status = response.status().as_u16();
            let bytes = response.into_body().collect().await.ok()?.to_bytes();
            Some((status, String::from_utf8_lossy(&bytes).into_owned()))
        };
        tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await.ok().flatten()
    }
}

fn query_delay(random: &mut SmallRng) -> Duration {
    Duration::from_millis(random.random_range(QUERY_DELAY_MS))
}

fn job_document(job: &Job) -> Value {
    let step = |(index, step): (usize, &crate::Step)| fenced::Step {
        tasks: step.tasks,
        cpu_millis: step.cpu_millis,
        memory_mib: TASK_MEMORY_MIB,
        estimate_ms: job.work_ms,
        after: if step.is_after { vec![index - 1] } else { Vec::new() },
    };
    let steps: Vec<fenced::Step> = job.steps.iter().enumerate().map(step).collect();
    fenced::job(&job.payload(), &steps)
}
