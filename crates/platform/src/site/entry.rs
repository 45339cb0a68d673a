//! Parses the entries of workers in the store.
//!
//! An entry that can't be used yields no worker instead of an error.

use std::net::SocketAddr;

use serde::Deserialize;
use sycamore_graph::HostEntry;
use sycamore_types::Name;
use sycamore_types::resources::Resources;

/// A worker's description of itself.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct EntryBody {
    service: Name,
    addr: SocketAddr,
    /// `ready` or `draining`; a worker in any other state is not used.
    state: Name,
    /// Failure domain.
    #[serde(default)]
    zone: Name,
    capacity: CapacityBody,
    labels: Vec<Name>,
    /// Start of the incarnation, in milliseconds since 1970.
    #[serde(default)]
    born: u64,
}

/// Resources of a worker, with CPU in thousandths of a core and memory in MiB.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct CapacityBody {
    cpu: u32,
    mem_mb: u32,
    #[serde(default)]
    gpu: u32,
}

/// Parses the entry of the worker `id` into its description and address.
///
/// Returns `None` if the entry is malformed or the worker is neither ready nor draining.
pub fn parse_worker_entry(id: &str, value: &[u8]) -> Option<(HostEntry, SocketAddr)> {
    let entry: EntryBody = serde_json::from_slice(value).ok()?;
    let is_draining = match &*entry.state {
        "ready" => false,
        "draining" => true,
        _ => return None,
    };
    // The platform puts the worker's kind into the first label and its rack into the second.
    let rack = entry.labels.get(1).cloned().unwrap_or_else(|| Name::from(""));
    let host = HostEntry {
        id: Name::from(id),
        incarnation: entry.born,
        address: Some(entry.addr),
        service: entry.service,
        capacity: Resources {
            cpu_millis: entry.capacity.cpu,
            memory_mib: entry.capacity.mem_mb,
            accelerators: entry.capacity.gpu,
            slots: 0,
            connections: 0,
        },
        labels: entry.labels.into(),
        rack,
        failure_domain: entry.zone,
        is_draining,
    };
    Some((host, entry.addr))
}
