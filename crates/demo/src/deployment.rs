//! A deployment with its simulated platform, all in one process.
//!
//! Schedulers, entry processes and workers talk over loopback connections, so tests cover the real
//! network path. They share one operating system process, so a test can inspect each of them.

use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use sycamore_core::Timing;
use sycamore_ctl::Client;
use sycamore_entry::Entry;
use sycamore_platform::Address;
use sycamore_scheduler::{RecordDestination, Scheduler};
use sycamore_standin::Platform;
use sycamore_telemetry::logs;
use sycamore_types::Name;

use crate::Profile;

/// Time within which a deployment must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two checks for readiness.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The reason why a deployment could not be started.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum Error {
    /// simulated platform: {0}
    Platform(std::io::Error),
    /// scheduler: {0}
    Scheduler(sycamore_scheduler::Error),
    /// entry: {0}
    Entry(sycamore_entry::Error),
    /// configuration: {0}
    Config(sycamore_ctl::Error),
    /// not ready within {0} s
    NotReady(u64),
}

impl std::error::Error for Error {}

/// A running deployment on loopback.
#[derive(Debug)]
pub struct Deployment {
    /// Profile that the deployment was started with.
    pub profile: Profile,
    /// Simulated platform: store, host list and workers.
    pub platform: Platform,
    /// Schedulers, one for each entry host.
    pub schedulers: Vec<Scheduler>,
    /// Entry processes, one for each entry host.
    pub entries: Vec<Entry>,
}

impl Deployment {
    /// Starts the simulated platform with `workers` workers, then a scheduler and an entry process
    /// for each of `entry_hosts` hosts. Applies the sample configuration and waits until the
    /// deployment is ready.
    ///
    /// # Errors
    ///
    /// Fails when a process can't be started or the deployment does not become ready in time.
    pub async fn start(
        profile: Profile,
        workers: usize,
        entry_hosts: usize,
        records: RecordDestination,
    ) -> Result<Deployment, Error> {
        let platform =
            Platform::start(&profile.platform_options(workers)).await.map_err(Error::Platform)?;
        platform.run_tracker.set_limits(profile.limits());
        let mut schedulers = Vec::new();
        let mut entries = Vec::new();
        for index in 0..entry_hosts {
            let arguments = scheduler_arguments(&profile, &platform, index, records.clone());
            let started = Scheduler::start(arguments, Timing::default()).await;
            schedulers.push(started.map_err(Error::Scheduler)?);
            let started = Entry::start(entry_arguments(&profile, &platform, index)).await;
            entries.push(started.map_err(Error::Entry)?);
        }
        let deployment = Deployment { profile, platform, schedulers, entries };
        deployment.configure().await?;
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    async fn configure(&self) -> Result<(), Error> {
        let client = self.operator();
        // Revision 0 means that the store holds no configuration yet.
        client.put(0, &self.profile.config()).await.map_err(Error::Config)?;
        Ok(())
    }

    /// Returns a client of the operators' API of the first entry process.
    pub fn operator(&self) -> Client {
        Client::new(self.entries[0].operator_address)
    }

    async fn wait_until_ready(&self) -> Result<(), Error> {
        let end = tokio::time::Instant::now() + READY_TIMEOUT;
        while tokio::time::Instant::now() < end {
            if self.is_ready().await {
                return Ok(());
            }
            tokio::time::sleep(READY_CHECK_INTERVAL).await;
        }
        Err(Error::NotReady(READY_TIMEOUT.as_secs()))
    }

    /// Returns whether all entry processes are ready, every shard has an active owner, and the
    /// shards are spread evenly over the schedulers.
    pub async fn is_ready(&self) -> bool {
        if !self.entries.iter().all(Entry::is_ready) {
            return false;
        }
        let per_domain = self.profile.config().shards_per_domain;
        let mut shards: Vec<_> =
            self.platform.workers.iter().map(|worker| worker.host().shard(per_domain)).collect();
        shards.sort();
        shards.dedup();
        let mut active_counts = Vec::new();
        for scheduler in &self.schedulers {
            let Some(view) = scheduler.view().await else {
                return false;
            };
            let is_active =
                |shard: &&sycamore_core::ShardView| shard.phase == sycamore_core::Phase::Active;
            active_counts.push(view.shards.iter().filter(is_active).count());
        }
        // Shards are rebalanced over the schedulers soon after the start. The deployment counts as
        // ready only after that.
        let most = active_counts.iter().max().copied().unwrap_or(0);
        let least = active_counts.iter().min().copied().unwrap_or(0);
        active_counts.iter().sum::<usize>() == shards.len() && most <= least + 1
    }

    /// Shuts down the entry processes and then the schedulers, each gracefully.
    pub async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
        for scheduler in self.schedulers {
            scheduler.stop().await;
        }
    }
}

/// Returns the loopback address with port 0, for which the system chooses a free port.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn scheduler_arguments(
    profile: &Profile,
    platform: &Platform,
    index: usize,
    records: RecordDestination,
) -> sycamore_scheduler::Arguments {
    sycamore_scheduler::Arguments {
        name: Name::from(format!("{}-scheduler-{index}", profile.name)),
        failure_domain: Name::from(profile.failure_domains[index % profile.failure_domains.len()]),
        listen: any_port(),
        admin_listen: any_port(),
        store: Address(platform.store.address()),
        hosts: Address(platform.host_list.address()),
        records,
        otlp: None,
        log_format: logs::Format::Text,
    }
}

fn entry_arguments(
    profile: &Profile,
    platform: &Platform,
    index: usize,
) -> sycamore_entry::Arguments {
    sycamore_entry::Arguments {
        name: Name::from(format!("{}-entry-{index}", profile.name)),
        failure_domain: Name::from(profile.failure_domains[index % profile.failure_domains.len()]),
        listen: any_port(),
        operator_listen: any_port(),
        peer_listen: any_port(),
        store: Address(platform.store.address()),
        hosts: Address(platform.host_list.address()),
        key_patience: Duration::from_secs(10),
        memory_bytes: 256 << 20,
        max_descriptors: 4_096,
        otlp: None,
        log_format: logs::Format::Text,
    }
}
