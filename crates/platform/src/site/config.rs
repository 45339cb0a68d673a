//! Parses the operators' configuration: queues, teams, routes, API keys and request limits.
//!
//! Wire types mirror the platform's document and are converted into the scheduler's own types.

use std::collections::{BTreeMap, BTreeSet};

use displaydoc::Display;
use serde::Deserialize;
use sycamore_graph::catalog::{AdviceCost, Catalog, Queue, Team};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

/// The operators' configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Queues and teams.
    pub catalog: Catalog,
    /// Routes of requests to queues, with the longest path prefix first.
    pub routes: Vec<Route>,
    /// Team of each API key.
    pub keys: BTreeMap<Name, Name>,
    /// Services that workers may belong to. Empty if the configuration doesn't list them.
    pub services: BTreeSet<Name>,
    /// Limits on requests.
    pub limits: Limits,
}

/// Maps requests to a queue by host name and path.
#[derive(Clone, Debug)]
pub struct Route {
    /// Host name in the request.
    pub host: Name,
    /// Prefix of the path.
    pub prefix: Name,
    /// Queue that the job is submitted to.
    pub queue: Name,
    /// Whether requests need no API key.
    pub is_open: bool,
    /// Time limit of a request, in milliseconds. Zero if the configuration sets none.
    pub timeout_ms: u64,
}

/// Limits on requests.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which the request head must arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    // These are the values of the example in the platform's documentation.
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// the configuration is malformed: {0}
#[derive(Debug, Display)]
pub struct ConfigError(serde_json::Error);

impl std::error::Error for ConfigError {}

#[derive(Deserialize)]
struct Document {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteBody>,
    #[serde(default)]
    services: Vec<ServiceBody>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    tenants: Vec<TenantBody>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RouteBody {
    name: Name,
    host: Name,
    prefix: Name,
    service: Name,
    #[serde(default)]
    timeout_ms: f64,
    /// Part of a job's time objective, which is `slack_factor` times its critical path plus this.
    #[serde(default)]
    slo_ms: f64,
    #[serde(default)]
    priority: u32,
    /// Failed attempts of a task after which its job has failed.
    #[serde(default = "default_attempts")]
    attempts: u32,
    #[serde(default = "default_slack")]
    slack_factor: f64,
    /// Cost of a query of the advice service; absent if the queue needs no advice.
    #[serde(default)]
    hint: Option<HintBody>,
    #[serde(default)]
    public: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct HintBody {
    #[serde(default)]
    decide_ms: f64,
    #[serde(default)]
    per_item_ms: f64,
    #[serde(default)]
    valid_ms: f64,
}

#[derive(Deserialize)]
struct ServiceBody {
    name: Name,
}

#[derive(Deserialize)]
struct TenantBody {
    name: Name,
    #[serde(default)]
    keys: Vec<Name>,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    cap: CapBody,
}

/// Limit on the resources of all running tasks of a team. Zero means no limit.
///
/// CPU is in thousandths of a core and memory in MiB.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct CapBody {
    cpu: u32,
    mem_mb: u32,
    gpu: u32,
}

/// Number of attempts of a queue that sets none.
fn default_attempts() -> u32 {
    4
}

/// Slack factor of a queue that sets none.
fn default_slack() -> f64 {
    2.0
}

impl Config {
    /// Returns whether workers may belong to a service.
    pub fn has_service(&self, service: &str) -> bool {
        self.services.is_empty()
            || self.services.contains(service)
            || self.catalog.queues.values().any(|queue| &*queue.service == service)
    }

    /// Parses a configuration from JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not JSON or a field is missing or of the wrong type.
    pub fn parse(bytes: &[u8]) -> Result<Config, ConfigError> {
        let document: Document = serde_json::from_slice(bytes).map_err(ConfigError)?;
        let mut config = Config { limits: document.limits, ..Config::default() };
        config.catalog.version = document.version;
        config.services = document.services.into_iter().map(|service| service.name).collect();
        for entry in document.routes {
            config.routes.push(Route {
                host: entry.host.clone(),
                prefix: entry.prefix.clone(),
                queue: entry.name.clone(),
                is_open: entry.public,
                timeout_ms: entry.timeout_ms as u64,
            });
            config.catalog.queues.insert(entry.name.clone(), entry.into_queue());
        }
        // Requests use the first matching route, so the longest prefix comes first.
        config.routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        for tenant in document.tenants {
            let limit = Resources {
                cpu_millis: tenant.cap.cpu,
                memory_mib: tenant.cap.mem_mb,
                accelerators: tenant.cap.gpu,
                slots: 0,
                connections: 0,
            };
            let weight = tenant.weight.max(1.0) as u32;
            config.catalog.teams.insert(tenant.name.clone(), Team { weight, limit });
            for key in tenant.keys {
                config.keys.insert(key, tenant.name.clone());
            }
        }
        Ok(config)
    }
}

impl RouteBody {
    fn into_queue(self) -> Queue {
        Queue {
            service: self.service,
            priority: self.priority,
            max_attempts: self.attempts,
            slack_factor: self.slack_factor,
            objective_ms: self.slo_ms as u64,
            advice: self.hint.map(|hint| AdviceCost {
                base_ms: hint.decide_ms,
                per_host_ms: hint.per_item_ms,
                valid_ms: hint.valid_ms as u64,
            }),
        }
    }
}
