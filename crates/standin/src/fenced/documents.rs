//! Documents in the platform's own words, for tests and tools that start the product.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Header that carries a caller's key.
pub const KEY_HEADER: &str = "x-api-key";

/// A step of a job.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Processor of each, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory of each, in MiB.
    pub memory_mib: u32,
    /// Declared run time, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    pub after: Vec<usize>,
}

/// A queue of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Queue<'a> {
    /// Host name of its requests.
    pub host: &'a str,
    /// Beginning of their path.
    pub prefix: &'a str,
    /// Service whose workers run its tasks.
    pub service: &'a str,
    /// Failed attempts of a task after which its job has failed.
    pub max_attempts: u64,
}

/// A team of the configuration.
#[derive(Clone, Debug)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Key of its callers.
    pub key: String,
    /// Limit over all workers, in thousandths of a core. Zero means no limit.
    pub limit_cpu_millis: u32,
}

/// Where a process runs.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// Name of the host.
    pub host: String,
    /// Address of the host.
    pub address: String,
    /// Port for other processes.
    pub peer_port: u16,
    /// Addresses of some other hosts.
    pub seeds: Vec<String>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: u32,
}

/// Writes the body of a job.
pub fn job(payload: &str, steps: &[Step]) -> Value {
    let step = |step: &Step| {
        json!({
            "count": step.tasks, "cpu": step.cpu_millis, "mem-mb": step.memory_mib,
            "est-ms": step.estimate_ms, "after": step.after,
        })
    };
    json!({ "spec": payload, "steps": steps.iter().map(step).collect::<Vec<Value>>() })
}

/// Writes a configuration of one queue.
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
        "tenants": teams.iter().map(team).collect::<Vec<Value>>(),
    })
}

/// Writes the settings file of a process.
pub fn settings(process: &ProcessSettings) -> String {
    let seeds: Vec<String> = process.seeds.iter().map(|seed| format!("\"{seed}:1\"")).collect();
    format!(
        "node = \"{}\"\nip = \"{}\"\nzone = \"a\"\ninternal-ports = [{}, 1]\nseeds = [{}]\n\
         [listen]\nfront = \"{}\"\n[bounds]\nhold-max-ms = 6000\ngrace-s = {}\n\
         [platform]\naddr = \"{}\"\n",
        process.host,
        process.address,
        process.peer_port,
        seeds.join(", "),
        process.caller_address,
        process.grace_s,
        process.store_address
    )
}
