//! Callers: hand jobs in, cancel some, and follow them to their end.

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

use crate::history::{Event, History, Shown};
use crate::scenario::{Job, TEAMS};

/// Host name of the queue.
pub(crate) const HOST: &str = "desk.example";

/// Beginning of the queue's paths.
pub(crate) const PREFIX: &str = "/checks/";

/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_millis(3_500);

/// Most hand-ins of one job without an answer.
const MAX_SENDS: u32 = 6;

/// Pause before a hand-in is repeated.
const RETRY: Duration = Duration::from_millis(200);

/// Range of the pause between two questions for a state, in milliseconds.
const POLL_MS: std::ops::Range<u64> = 200..500;

/// Time after its acceptance from which a job is known everywhere. The documented sites'
/// bound.
pub(crate) const VISIBLE: Duration = Duration::from_millis(3_000);

/// Memory of each task, in MiB.
const TASK_MEMORY: u32 = 100;

/// Makes calls and keeps connections open.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    hosts: Vec<SocketAddr>,
    history: History,
}

/// The key of a team.
pub(crate) fn key(team: usize) -> String {
    format!("key-of-{}", TEAMS[team])
}

impl Caller {
    pub fn new(hosts: Vec<SocketAddr>, history: History) -> Caller {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Caller { client, hosts, history }
    }

    /// Takes one job from its hand-in to its last state.
    pub async fn follow(self, job: Job) {
        let mut random = SmallRng::seed_from_u64(job.id);
        tokio::time::sleep(Duration::from_millis(job.at_ms)).await;
        if !self.hand_in(&job, &mut random).await {
            return;
        }
        let accepted = Instant::now();
        let mut cancel = job.cancel_after_ms.map(Duration::from_millis);
        loop {
            if let Some(pause) = cancel {
                tokio::time::sleep(pause).await;
                if self.cancel(&job, &mut random).await {
                    cancel = None;
                }
            }
            match self.ask(&job, &mut random).await {
                Some(Shown::Complete | Shown::Failed | Shown::Cancelled) => return,
                // It is lost; the checker has seen it.
                Some(Shown::Unknown) if accepted.elapsed() > 2 * VISIBLE => return,
                _ => tokio::time::sleep(pause(&mut random)).await,
            }
        }
    }

    /// Returns whether the job was accepted.
    async fn hand_in(&self, job: &Job, random: &mut SmallRng) -> bool {
        for _ in 0..MAX_SENDS {
            self.history.note(Event::Sent(job.id));
            let answer = self.call(Method::POST, job, &body(job).to_string(), random).await;
            // A gateway's answer tells as little as none.
            let status = answer.map(|(status, _)| status).filter(|s| ![502, 504].contains(s));
            self.history.note(Event::Answered(job.id, status));
            if let Some(status) = status {
                return (200..300).contains(&status);
            }
            tokio::time::sleep(RETRY).await;
        }
        false
    }

    async fn cancel(&self, job: &Job, random: &mut SmallRng) -> bool {
        self.history.note(Event::CancelSent(job.id));
        let answer = self.call(Method::DELETE, job, "", random).await;
        let is_done = answer.is_some_and(|(status, _)| (200..300).contains(&status));
        if is_done {
            self.history.note(Event::Cancelled(job.id));
        }
        is_done
    }

    async fn ask(&self, job: &Job, random: &mut SmallRng) -> Option<Shown> {
        let (status, text) = self.call(Method::GET, job, "", random).await?;
        let answer: Value = serde_json::from_str(&text).unwrap_or_default();
        let shown = match (status, answer["state"].as_str()) {
            (410, _) => Shown::Unknown,
            (200, Some("complete")) => Shown::Complete,
            (200, Some("failed")) => Shown::Failed,
            (200, Some("cancelled")) => Shown::Cancelled,
            (200, Some(_)) => Shown::Open,
            _ => return None,
        };
        self.history.note(Event::Shown(job.id, shown));
        Some(shown)
    }

    /// Calls any process. `None` without a whole answer.
    async fn call(
        &self,
        method: Method,
        job: &Job,
        body: &str,
        random: &mut SmallRng,
    ) -> Option<(u16, String)> {
        let address = self.hosts.choose(random)?;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{PREFIX}{:016x}", job.id))
            .header("host", HOST)
            .header(fenced::KEY_HEADER, key(job.team))
            .body(Full::new(Bytes::from(body.to_string())))
            .ok()?;
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let status = response.status().as_u16();
            let bytes = response.into_body().collect().await.ok()?.to_bytes();
            Some((status, String::from_utf8_lossy(&bytes).into_owned()))
        };
        tokio::time::timeout(PATIENCE, exchange).await.ok().flatten()
    }
}

fn pause(random: &mut SmallRng) -> Duration {
    Duration::from_millis(random.random_range(POLL_MS))
}

fn body(job: &Job) -> Value {
    let step = |(at, step): (usize, &crate::Step)| fenced::Step {
        tasks: step.tasks,
        cpu_millis: step.cpu_millis,
        memory_mib: TASK_MEMORY,
        estimate_ms: job.work_ms,
        after: if step.is_after { vec![at - 1] } else { Vec::new() },
    };
    let steps: Vec<fenced::Step> = job.steps.iter().enumerate().map(step).collect();
    fenced::job(&job.payload(), &steps)
}
