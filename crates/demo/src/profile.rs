//! Sample deployments for the demo, the tests and the benchmarks.
//!
//! Their names, teams and sizes follow two kinds of users, so that the output of the demo reads
//! like that of a real deployment.

use std::collections::BTreeMap;

use sycamore_standin::PlatformOptions;
use sycamore_types::Name;
use sycamore_types::config::{Document, Key, Queue, Service, Team};
use sycamore_types::resources::Resources;
use sycamore_types::selector::Selector;

/// The settings of a sample deployment.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Name of the deployment, which its process names begin with.
    pub name: &'static str,
    /// Name of the interactive service.
    pub service: &'static str,
    /// Names of the failure domains.
    pub failure_domains: [&'static str; 3],
    /// Memory of each worker, in MiB.
    pub memory_mib: u32,
    /// Names of the teams, large teams first.
    pub teams: [&'static str; 6],
    /// What a batch job of this deployment computes, for the output of the demo.
    pub batch_job: &'static str,
}

/// Number of CPU cores of each worker.
const WORKER_CORES: u32 = 64;

/// Number of slots of each worker.
const WORKER_SLOTS: u32 = 8;

/// Number of connections that each worker accepts.
const WORKER_CONNECTIONS: u32 = 64;

/// Number of large teams, which have a higher weight and limit and may submit urgent jobs.
const LARGE_TEAMS: usize = 2;

impl Profile {
    /// Returns the profile of a leather goods maker: an interactive order service by day, and
    /// cutting plans as batch jobs at night.
    pub fn sialkot() -> Profile {
        Profile {
            name: "sialkot",
            service: "orderdesk",
            failure_domains: ["sialkot-a", "sialkot-b", "daska"],
            memory_mib: 256 * 1024,
            teams: ["export", "saddlery", "belts", "bags", "samples", "repairs"],
            batch_job: "cutting plan",
        }
    }

    /// Returns the profile of a livery stable: interactive bookings and gate checks, and season
    /// rosters as batch jobs.
    pub fn mwakilema() -> Profile {
        Profile {
            name: "mwakilema",
            service: "stall-desk",
            failure_domains: ["moshi", "machame", "marangu"],
            memory_mib: 128 * 1024,
            teams: ["gates", "trails", "farriers", "stalls", "rosters", "lessons"],
            batch_job: "season roster",
        }
    }

    /// Returns the options for a simulated platform with this number of workers.
    pub fn platform_options(&self, workers: usize) -> PlatformOptions {
        PlatformOptions {
            failure_domains: self.failure_domains.iter().map(|name| name.to_string()).collect(),
            workers,
            capacity: Resources {
                cpu_millis: WORKER_CORES * 1_000,
                memory_mib: self.memory_mib,
                accelerators: 0,
                slots: WORKER_SLOTS,
                connections: WORKER_CONNECTIONS,
            },
            service: self.service.to_string(),
        }
    }

    /// Returns the secret of a team's API key. It is predictable, so that the demo can print it.
    pub fn secret(&self, team: &str) -> String {
        format!("demo-{}-{team}", self.name)
    }

    /// Returns the configuration: all teams, with a key for each, an open queue and the
    /// interactive service.
    pub fn config(&self) -> Document {
        let mut document = Document::default();
        for (index, name) in self.teams.iter().enumerate() {
            let weight = if index < LARGE_TEAMS { 3 } else { 1 };
            let limit = if index < LARGE_TEAMS { 200 } else { 60 };
            let team = Team { weight, limit, urgent: index < LARGE_TEAMS };
            document.teams.insert(Name::from(*name), team);
            let key = Key::from_secret(name, &self.secret(name));
            document.keys.insert(Name::from(format!("{name}-1")), key);
        }
        let open =
            Queue { team: Name::from(self.teams[4]), is_open: true, selector: Selector::default() };
        document.queues.insert(Name::from("open"), open);
        document.services.insert(Name::from(self.service), self.service_settings());
        document
    }

    fn service_settings(&self) -> Service {
        let selector = Selector::parse(&format!("service={}", self.service)).unwrap_or_default();
        Service { size: self.request_size(), selector, timeout_ms: 5_000 }
    }

    fn request_size(&self) -> Resources {
        Resources {
            cpu_millis: 2_000,
            memory_mib: 1_024,
            accelerators: 0,
            slots: 1,
            connections: 1,
        }
    }

    /// Returns the largest number of tasks and requests that each team may run at once.
    pub fn limits(&self) -> BTreeMap<Name, u32> {
        self.config().teams.into_iter().map(|(name, team)| (name, team.limit)).collect()
    }
}
