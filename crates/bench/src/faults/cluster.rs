//! The processes of the fault test: starts, kills, pauses and replaces them, and
//! checks by their HTTP endpoints whether every shard is served.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use sycamore_ctl::Client as OperatorClient;
use sycamore_demo::{Caller, Profile};
use sycamore_platform::http::Client;
use sycamore_platform::store::Faults;
use sycamore_standin::Platform;
use sycamore_standin::ports::Port;
use sycamore_standin::store::Counts;
use sycamore_standin::worker::RunTracker;
use tokio::time::{Instant, sleep};

use super::Error;
use super::process::Process;

/// Number of schedulers.
const SCHEDULER_COUNT: usize = 4;

/// Number of entry processes.
const ENTRY_COUNT: usize = 3;

/// Number of simulated workers.
const WORKER_COUNT: usize = 48;

/// Time between two checks whether a process or the cluster is ready.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of the HTTP request of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Time within which the first entry process must accept the configuration. Also
/// the longest wait for a new entry process to become ready.
const ENTRY_START_TIMEOUT: Duration = Duration::from_secs(10);

/// Time that a new scheduler gets to join before the next one is replaced.
const JOIN_TIME: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Scheduler {
    process: Process,
    /// Address of the metrics endpoint.
    admin: SocketAddr,
    /// Whether the process is expected to run. Cleared while it is being replaced.
    is_up: bool,
}

#[derive(Debug)]
struct Entry {
    process: Process,
    /// Address for callers.
    address: SocketAddr,
    /// Address for operators.
    operator: SocketAddr,
}

/// A simulated platform with real schedulers and entry processes.
#[derive(Debug)]
pub(super) struct Cluster {
    profile: Profile,
    platform: Platform,
    schedulers: Vec<Scheduler>,
    entries: Vec<Entry>,
    /// Client for the HTTP requests of the checks.
    client: Client,
    /// Number of shards that must be served.
    shard_count: usize,
}

impl Cluster {
    pub(super) async fn start(profile: Profile) -> Result<Cluster, Error> {
        let platform = Platform::start(&profile.platform_options(WORKER_COUNT)).await?;
        platform.run_tracker.set_limits(profile.limits());
        let per_domain = profile.config().shards_per_domain;
        let mut shards: Vec<_> =
            platform.workers.iter().map(|worker| worker.host().shard(per_domain)).collect();
        shards.sort();
        shards.dedup();
        let mut cluster = Cluster {
            profile,
            platform,
            schedulers: Vec::new(),
            entries: Vec::new(),
            client: Client::new(),
            shard_count: shards.len(),
        };
        for index in 0..SCHEDULER_COUNT {
            let scheduler = cluster.new_scheduler(index)?;
            cluster.schedulers.push(scheduler);
        }
        for index in 0..ENTRY_COUNT {
            let entry = cluster.new_entry(index)?;
            cluster.entries.push(entry);
        }
        cluster.configure().await?;
        Ok(cluster)
    }

    /// Stores the configuration. Tries again until an entry process is ready.
    async fn configure(&self) -> Result<(), Error> {
        let operator = OperatorClient::new(self.entries[0].operator);
        let end = Instant::now() + ENTRY_START_TIMEOUT;
        loop {
            match operator.put(0, &self.profile.config()).await {
                Ok(_) => return Ok(()),
                Err(_) if Instant::now() < end => sleep(CHECK_INTERVAL).await,
                Err(error) => return Err(Error::Config(error)),
            }
        }
    }

    /// Starts the scheduler with index `at` in the list of schedulers.
    fn new_scheduler(&self, at: usize) -> Result<Scheduler, Error> {
        let ports = [Port::reserve()?, Port::reserve()?];
        let [listen, admin] = [0, 1].map(|at: usize| ports[at].on(Ipv4Addr::LOCALHOST));
        let args = self.common_args(
            &format!("scheduler-{at}"),
            at,
            &[("listen", listen), ("admin-listen", admin)],
        );
        let process = Process::start("sycamore-scheduler", &args, ports.into())?;
        Ok(Scheduler { process, admin, is_up: true })
    }

    /// Starts the entry process with index `at` in the list of entry processes.
    fn new_entry(&self, at: usize) -> Result<Entry, Error> {
        let ports = [Port::reserve()?, Port::reserve()?, Port::reserve()?];
        let [address, operator, peer] =
            [0, 1, 2].map(|at: usize| ports[at].on(Ipv4Addr::LOCALHOST));
        let args = self.common_args(
            &format!("entry-{at}"),
            at,
            &[("listen", address), ("operator-listen", operator), ("peer-listen", peer)],
        );
        let process = Process::start("sycamore-entry", &args, ports.into())?;
        Ok(Entry { process, address, operator })
    }

    /// Returns the arguments that schedulers and entry processes share.
    fn common_args(
        &self,
        name: &str,
        index: usize,
        addresses: &[(&str, SocketAddr)],
    ) -> Vec<String> {
        let domains = self.profile.failure_domains;
        let mut args = vec![
            format!("--name={name}"),
            format!("--failure-domain={}", domains[index % domains.len()]),
            format!("--store={}", self.platform.store.address()),
            format!("--hosts={}", self.platform.host_list.address()),
        ];
        args.extend(addresses.iter().map(|(flag, address)| format!("--{flag}={address}")));
        args
    }

    pub(super) fn scheduler_count(&self) -> usize {
        self.schedulers.len()
    }

    pub(super) fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns one caller of the first team for each entry process.
    pub(super) fn callers(&self) -> Vec<Caller> {
        let team = self.profile.teams[0];
        let secret = self.profile.secret(team);
        self.entries.iter().map(|entry| Caller::new(entry.address, team, &secret)).collect()
    }

    pub(super) fn run_tracker(&self) -> &RunTracker {
        &self.platform.run_tracker
    }

    pub(super) fn store_counts(&self) -> Counts {
        self.platform.store.counts()
    }

    pub(super) fn set_store_down(&self, is_down: bool) {
        self.platform.store.set_faults(Faults { is_down, ..Faults::default() });
    }

    /// Waits until every shard has an owner that starts work.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotReady`] if that takes longer than the timeout.
    pub(super) async fn wait_until_served(&self, timeout: Duration) -> Result<(), Error> {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            let mut active_shards = 0;
            for scheduler in self.schedulers.iter().filter(|scheduler| scheduler.is_up) {
                active_shards += self.active_shards(scheduler.admin).await;
            }
            if active_shards == self.shard_count {
                return Ok(());
            }
            sleep(CHECK_INTERVAL).await;
        }
        Err(Error::NotReady(timeout.as_secs()))
    }

    /// Reads the number of active shards from a scheduler's metrics.
    async fn active_shards(&self, admin: SocketAddr) -> usize {
        let uri = format!("http://{admin}/metrics");
        let Ok(request) = Request::get(uri).body(Full::new(Bytes::new())) else {
            return 0;
        };
        let Ok(response) = self.client.call(request, CHECK_TIMEOUT).await else {
            return 0;
        };
        let text = String::from_utf8_lossy(response.body()).into_owned();
        let line = text.lines().find_map(|line| line.strip_prefix("sycamore_shards_active "));
        line.and_then(|value| value.trim().parse().ok()).unwrap_or(0)
    }

    pub(super) async fn kill_scheduler(&mut self, index: usize) {
        self.schedulers[index].process.kill().await;
        self.schedulers[index].is_up = false;
    }

    /// Starts a scheduler in place of one that was stopped or killed.
    pub(super) async fn start_scheduler(&mut self, index: usize) -> Result<(), Error> {
        self.schedulers[index] = self.new_scheduler(index)?;
        Ok(())
    }

    /// Suspends a scheduler for a time by `SIGSTOP` and `SIGCONT`.
    pub(super) async fn pause_scheduler(&mut self, index: usize, span: Duration) {
        self.schedulers[index].process.signal("STOP").await;
        sleep(span).await;
        self.schedulers[index].process.signal("CONT").await;
    }

    /// Stops a scheduler by `SIGTERM` and starts another in its place. Returns the
    /// time from the signal until every shard was served by the others.
    pub(super) async fn replace_scheduler(&mut self, index: usize) -> Result<Duration, Error> {
        let started_at = Instant::now();
        self.schedulers[index].process.stop().await;
        self.schedulers[index].is_up = false;
        self.wait_until_served(super::TAKEOVER_TIMEOUT).await?;
        let taken = started_at.elapsed();
        self.start_scheduler(index).await?;
        sleep(JOIN_TIME).await;
        Ok(taken)
    }

    /// Starts another entry process and ends the previous one, by `SIGKILL` or by
    /// `SIGTERM`.
    pub(super) async fn replace_entry(
        &mut self,
        index: usize,
        is_killed: bool,
    ) -> Result<(), Error> {
        let next = self.new_entry(index)?;
        let mut previous = std::mem::replace(&mut self.entries[index], next);
        if is_killed {
            previous.process.kill().await;
        } else {
            previous.process.stop().await;
        }
        self.wait_for_entry(index).await;
        Ok(())
    }

    /// Waits until an entry process is ready, but for no longer than the timeout.
    async fn wait_for_entry(&self, index: usize) {
        let end = Instant::now() + ENTRY_START_TIMEOUT;
        while Instant::now() < end {
            let uri = format!("http://{}/readyz", self.entries[index].operator);
            if let Ok(request) = Request::get(uri).body(Full::new(Bytes::new()))
                && let Ok(response) = self.client.call(request, CHECK_TIMEOUT).await
                && response.status().is_success()
            {
                return;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    pub(super) async fn stop(mut self) {
        for entry in &mut self.entries {
            entry.process.stop().await;
        }
        for scheduler in &mut self.schedulers {
            scheduler.process.stop().await;
        }
    }
}
