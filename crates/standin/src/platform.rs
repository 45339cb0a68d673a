//! Assembles a simulated platform from a store, a host list and workers.
//!
//! Workers are spread over racks and failure domains by their number, so that equal options
//! give equal names.

use sycamore_types::host::Host;
use sycamore_types::resources::Resources;
use sycamore_types::{Name, label};

use crate::hosts::HostList;
use crate::store::Store;
use crate::worker::{RunTracker, Worker};

const WORKERS_PER_RACK: usize = 8;

/// Settings of a simulated platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Names of the failure domains. Racks are assigned to them in turn.
    pub failure_domains: Vec<String>,
    /// Number of workers over all failure domains.
    pub workers: usize,
    /// Capacity of each worker.
    pub capacity: Resources,
    /// Value of the label `service` on each worker.
    pub service: String,
}

/// A simulated platform.
#[derive(Debug)]
pub struct Platform {
    /// Key-value store.
    pub store: Store,
    /// Host list, which names all workers at the start.
    pub host_list: HostList,
    /// Workers, each with a port of its own.
    pub workers: Vec<Worker>,
    /// Record of the runs on all workers, with the violations found.
    pub run_tracker: RunTracker,
}

impl Platform {
    /// Starts the store, the host list and the workers on free ports of loopback.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound.
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
