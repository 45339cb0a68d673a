use sycamore_types::host::Host;
use sycamore_types::resources::Resources;
use sycamore_types::{Name, label};

use crate::hosts::HostList;
use crate::store::Store;
use crate::worker::{RunTracker, Worker};

/// Workers that stand in one rack.
const WORKERS_PER_RACK: usize = 8;

/// What a site is made of.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Names of the failure domains.
    pub failure_domains: Vec<String>,
    /// Number of workers over all failure domains.
    pub workers: usize,
    /// What each worker offers.
    pub capacity: Resources,
    /// Label `service` of each worker.
    pub service: String,
}

/// Everything of the platform at one site.
#[derive(Debug)]
pub struct Platform {
    /// The store.
    pub store: Store,
    /// The list of hosts.
    pub host_list: HostList,
    /// The workers.
    pub workers: Vec<Worker>,
    /// What all workers have run.
    pub run_tracker: RunTracker,
}

impl Platform {
    /// Starts a site on loopback.
    ///
    /// # Errors
    ///
    /// Fails when no ports can be had.
    pub async fn start(options: &PlatformOptions) -> std::io::Result<Platform> {
        let run_tracker = RunTracker::default();
        let mut workers = Vec::new();
        for number in 0..options.workers {
            workers.push(Worker::start(host_entry(options, number), run_tracker.clone()).await?);
        }
        let hosts = workers.iter().map(|worker| worker.host().clone()).collect();
        let host_list = HostList::start(hosts).await?;
        let store = Store::start().await?;
        Ok(Platform { store, host_list, workers, run_tracker })
    }
}

fn host_entry(options: &PlatformOptions, number: usize) -> Host {
    let rack = number / WORKERS_PER_RACK;
    let domain = &options.failure_domains[rack % options.failure_domains.len()];
    Host {
        name: Name::from(format!("{domain}-w{number:03}")),
        address: Name::from(""),
        rack: Name::from(format!("{domain}-r{rack:02}")),
        failure_domain: Name::from(domain.as_str()),
        capacity: options.capacity,
        labels: label::Set::from([("service", options.service.as_str())]),
        is_leaving: false,
    }
}
