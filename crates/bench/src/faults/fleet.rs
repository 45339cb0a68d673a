use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use sycamore_ctl::Client as Operator;
use sycamore_demo::{Caller, Profile};
use sycamore_platform::http::Client;
use sycamore_platform::store::Faults;
use sycamore_standin::Platform;
use sycamore_standin::store::Counts;
use sycamore_standin::worker::RunTracker;
use tokio::time::{Instant, sleep};

use super::Error;
use super::process::{Process, free_address};

/// Schedulers of the fleet.
const SCHEDULERS: usize = 4;

/// Entry processes of the fleet.
const ENTRIES: usize = 3;

/// Workers of the fleet.
const WORKERS: usize = 48;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// Time after which one look is given up.
const LOOK_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct Scheduler {
    process: Process,
    admin: SocketAddr,
    is_up: bool,
}

#[derive(Debug)]
struct Entry {
    process: Process,
    address: SocketAddr,
    operator: SocketAddr,
}

/// Stand-ins and real processes.
#[derive(Debug)]
pub(super) struct Fleet {
    profile: Profile,
    site: Platform,
    schedulers: Vec<Scheduler>,
    entries: Vec<Entry>,
    client: Client,
    shards: usize,
}

impl Fleet {
    pub(super) async fn start(profile: Profile) -> Result<Fleet, Error> {
        let site = Platform::start(&profile.platform_options(WORKERS)).await?;
        site.run_tracker.set_limits(profile.limits());
        let per_domain = profile.config().shards_per_domain;
        let mut shards: Vec<_> =
            site.workers.iter().map(|worker| worker.host().shard(per_domain)).collect();
        shards.sort();
        shards.dedup();
        let mut fleet = Fleet {
            profile,
            site,
            schedulers: Vec::new(),
            entries: Vec::new(),
            client: Client::new(),
            shards: shards.len(),
        };
        for at in 0..SCHEDULERS {
            let scheduler = fleet.new_scheduler(at)?;
            fleet.schedulers.push(scheduler);
        }
        for at in 0..ENTRIES {
            let entry = fleet.new_entry(at)?;
            fleet.entries.push(entry);
        }
        fleet.configure().await?;
        Ok(fleet)
    }

    async fn configure(&self) -> Result<(), Error> {
        let operator = Operator::new(self.entries[0].operator);
        let end = Instant::now() + Duration::from_secs(10);
        loop {
            match operator.put(0, &self.profile.config()).await {
                Ok(_) => return Ok(()),
                Err(_) if Instant::now() < end => sleep(LOOK).await,
                Err(error) => return Err(Error::Config(error)),
            }
        }
    }

    fn new_scheduler(&self, at: usize) -> Result<Scheduler, Error> {
        let admin = free_address()?;
        let args = self.common(
            &format!("scheduler-{at}"),
            at,
            &[("listen", free_address()?), ("admin-listen", admin)],
        );
        let process = Process::start("sycamore-scheduler", &args)?;
        Ok(Scheduler { process, admin, is_up: true })
    }

    fn new_entry(&self, at: usize) -> Result<Entry, Error> {
        let (address, operator) = (free_address()?, free_address()?);
        let args = self.common(
            &format!("entry-{at}"),
            at,
            &[("listen", address), ("operator-listen", operator), ("peer-listen", free_address()?)],
        );
        let process = Process::start("sycamore-entry", &args)?;
        Ok(Entry { process, address, operator })
    }

    fn common(&self, name: &str, at: usize, addresses: &[(&str, SocketAddr)]) -> Vec<String> {
        let domains = self.profile.failure_domains;
        let mut args = vec![
            format!("--name={name}"),
            format!("--failure-domain={}", domains[at % domains.len()]),
            format!("--store={}", self.site.store.address()),
            format!("--hosts={}", self.site.host_list.address()),
        ];
        args.extend(addresses.iter().map(|(flag, address)| format!("--{flag}={address}")));
        args
    }

    pub(super) fn schedulers(&self) -> usize {
        self.schedulers.len()
    }

    pub(super) fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Returns a caller by way of each entry process.
    pub(super) fn callers(&self) -> Vec<Caller> {
        let team = self.profile.teams[0];
        let secret = self.profile.secret(team);
        self.entries.iter().map(|entry| Caller::new(entry.address, team, &secret)).collect()
    }

    pub(super) fn ledger(&self) -> &RunTracker {
        &self.site.run_tracker
    }

    pub(super) fn store_counts(&self) -> Counts {
        self.site.store.counts()
    }

    pub(super) fn set_store_down(&self, is_down: bool) {
        self.site.store.set_faults(Faults { is_down, ..Faults::default() });
    }

    /// Waits until every shard has an owner that starts work.
    pub(super) async fn wait_until_served(&self, patience: Duration) -> Result<(), Error> {
        let end = Instant::now() + patience;
        while Instant::now() < end {
            let mut active = 0;
            for scheduler in self.schedulers.iter().filter(|scheduler| scheduler.is_up) {
                active += self.active(scheduler.admin).await;
            }
            if active == self.shards {
                return Ok(());
            }
            sleep(LOOK).await;
        }
        Err(Error::NotReady(patience.as_secs()))
    }

    /// Reads the number of active shards from a scheduler's metrics.
    async fn active(&self, admin: SocketAddr) -> usize {
        let uri = format!("http://{admin}/metrics");
        let Ok(request) = Request::get(uri).body(Full::new(Bytes::new())) else {
            return 0;
        };
        let Ok(answer) = self.client.call(request, LOOK_TIMEOUT).await else {
            return 0;
        };
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        let line = text.lines().find_map(|line| line.strip_prefix("sycamore_shards_active "));
        line.and_then(|value| value.trim().parse().ok()).unwrap_or(0)
    }

    pub(super) async fn kill_scheduler(&mut self, at: usize) {
        self.schedulers[at].process.kill().await;
        self.schedulers[at].is_up = false;
    }

    pub(super) async fn start_scheduler(&mut self, at: usize) -> Result<(), Error> {
        self.schedulers[at] = self.new_scheduler(at)?;
        Ok(())
    }

    pub(super) async fn pause_scheduler(&mut self, at: usize, span: Duration) {
        self.schedulers[at].process.signal("STOP").await;
        sleep(span).await;
        self.schedulers[at].process.signal("CONT").await;
    }

    /// Replaces a scheduler as planned. Returns the time until all is served again.
    pub(super) async fn replace_scheduler(&mut self, at: usize) -> Result<Duration, Error> {
        let begun = Instant::now();
        self.schedulers[at].process.stop().await;
        self.schedulers[at].is_up = false;
        self.wait_until_served(super::TAKEOVER).await?;
        let taken = begun.elapsed();
        self.start_scheduler(at).await?;
        sleep(Duration::from_secs(1)).await;
        Ok(taken)
    }

    pub(super) async fn replace_entry(&mut self, at: usize, is_kill: bool) -> Result<(), Error> {
        let next = self.new_entry(at)?;
        let mut before = std::mem::replace(&mut self.entries[at], next);
        if is_kill {
            before.process.kill().await;
        } else {
            before.process.stop().await;
        }
        self.wait_for_entry(at).await;
        Ok(())
    }

    async fn wait_for_entry(&self, at: usize) {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            let uri = format!("http://{}/readyz", self.entries[at].operator);
            if let Ok(request) = Request::get(uri).body(Full::new(Bytes::new()))
                && let Ok(answer) = self.client.call(request, LOOK_TIMEOUT).await
                && answer.status().is_success()
            {
                return;
            }
            sleep(LOOK).await;
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
