//! Builds job bodies, configurations and settings files in the platform's format, for tests and
//! tools that start `sycamore-node`.
//!
//! The field names are written out here, independently of the types that decode them.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Header that carries the API key of a caller.
pub const KEY_HEADER: &str = "x-api-key";

/// Header that states how long a caller waits for the response, in milliseconds.
pub const DEADLINE_HEADER: &str = "sycamorechute-deadline-ms";

/// Lifetime of a ticket of the advice service, in milliseconds.
const TICKET_MS: u64 = 1_500;

/// Step of a job.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// CPU of each task, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory of each task, in MiB.
    pub memory_mib: u32,
    /// Declared run time of each task, in milliseconds.
    pub estimate_ms: u64,
    /// Indexes of the earlier steps that must be done first.
    pub after: Vec<usize>,
}

/// Queue of the configuration, which the platform calls a route.
#[derive(Clone, Copy, Debug)]
pub struct Queue<'a> {
    /// Host name in the requests to the queue.
    pub host: &'a str,
    /// Prefix of the path of these requests.
    pub prefix: &'a str,
    /// Service whose workers run the tasks of the queue.
    pub service: &'a str,
    /// Number of failed attempts of a task after which its job fails.
    pub max_attempts: u64,
}

/// Team of the configuration, which the platform calls a tenant.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// API key of the team's callers.
    pub key: String,
    /// CPU that the team may use on all workers, in thousandths of a core. Zero means no limit.
    pub limit_cpu_millis: u32,
}

/// Values for the settings file of one process.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// Name of the host.
    pub host: String,
    /// IP address of the host.
    pub address: String,
    /// Port for the other processes of the system, the same on all hosts.
    pub peer_port: u16,
    /// IP addresses of some other hosts of the system. Any of them may be down.
    pub seeds: Vec<String>,
    /// Address on which the process serves callers.
    pub caller_address: SocketAddr,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Address of the advice service. `None` leaves the host without one.
    pub advice_address: Option<SocketAddr>,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: u32,
    /// CPU capacity of the host, in cores.
    pub cores: f64,
    /// Bandwidth of the host's link, in Mbit/s.
    pub link_mbps: f64,
    /// Time after which no task starts in an evacuated failure domain, in milliseconds. `None`
    /// where evacuations are not in use.
    pub evacuation_ms: Option<u64>,
    /// Memory that the process may use, in MiB. `None` leaves the setting out.
    pub memory_mb: Option<u32>,
    /// Descriptors that the process may have open. `None` leaves the setting out.
    pub max_fds: Option<u32>,
}

/// Builds the body with which a job is submitted.
pub fn job(payload: &str, steps: &[Step]) -> Value {
    let step = |step: &Step| {
        json!({
            "count": step.tasks, "cpu": step.cpu_millis, "mem-mb": step.memory_mib,
            "est-ms": step.estimate_ms, "after": step.after,
        })
    };
    json!({ "spec": payload, "steps": steps.iter().map(step).collect::<Vec<Value>>() })
}

/// Builds a configuration of one queue.
pub fn config(queue: &Queue<'_>, teams: &[Team]) -> Value {
    let team = |team: &Team| {
        json!({
            "name": team.name, "keys": [team.key], "weight": 10,
            "cap": { "cpu": team.limit_cpu_millis, "mem-mb": 0, "gpu": 0 },
        })
    };
    json!({
        "version": 1,
        "routes": [{
            "name": "checks", "host": queue.host, "prefix": queue.prefix,
            "service": queue.service, "timeout-ms": 3000, "slo-ms": 1000, "priority": 0,
            "attempts": queue.max_attempts, "slack-factor": 2.0,
        }],
        "services": [{ "name": queue.service, "admission-control": true, "standby": false }],
        "tenants": teams.iter().map(team).collect::<Vec<Value>>(),
    })
}

/// Gives a configuration a version and further queues, with these prefixes and otherwise like
/// the first one.
pub fn with_queues(
    mut config: Value,
    version: u64,
    prefixes: impl Iterator<Item = String>,
) -> Value {
    let first = config["routes"][0].clone();
    let queues = prefixes.map(|prefix| {
        let mut queue = first.clone();
        queue["name"] = prefix.trim_matches('/').into();
        queue["prefix"] = prefix.into();
        queue
    });
    config["version"] = version.into();
    if let Some(routes) = config["routes"].as_array_mut() {
        routes.extend(queues);
    }
    config
}

/// Makes all queues of a configuration need advice, whose calls take `base_ms` and `per_host_ms` more
/// for each worker named, in milliseconds.
pub fn with_advice(mut config: Value, base_ms: u64, per_host_ms: u64) -> Value {
    for queue in config["routes"].as_array_mut().into_iter().flatten() {
        queue["hint"] = json!({
            "decide-ms": base_ms, "per-item-ms": per_host_ms, "valid-ms": TICKET_MS,
        });
    }
    config
}

/// Builds the text of the settings file of a process.
pub fn settings(process: &ProcessSettings) -> String {
    // `sycamore-node` uses only the IP address of a seed and the first internal port. The other
    // ports are placeholders.
    let seeds: Vec<String> = process.seeds.iter().map(|seed| format!("\"{seed}:1\"")).collect();
    let evacuation = process.evacuation_ms.map(|ms| format!("evac-ms = {ms}\n"));
    let advice = process.advice_address.map(|address| address.to_string()).unwrap_or_default();
    let memory = process.memory_mb.map(|mb| format!("memory-mb = {mb}\n")).unwrap_or_default();
    let descriptors =
        process.max_fds.map(|count| format!("max-fds = {count}\n")).unwrap_or_default();
    format!(
        "node = \"{}\"\nip = \"{}\"\nzone = \"a\"\ninternal-ports = [{}, 1]\nseeds = [{}]\n\
         hint = \"{advice}\"\n[listen]\nfront = \"{}\"\n[bounds]\nhold-max-ms = 6000\ngrace-s = {}\n{}\
         [limits]\ncpu-share = {:?}\nlink-mbps = {:?}\n{memory}{descriptors}[platform]\naddr = \"{}\"\n",
        process.host,
        process.address,
        process.peer_port,
        seeds.join(", "),
        process.caller_address,
        process.grace_s,
        evacuation.unwrap_or_default(),
        process.cores,
        process.link_mbps,
        process.store_address
    )
}
