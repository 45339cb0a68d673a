use std::net::SocketAddr;

use serde::Deserialize;
use sycamore_graph::HostEntry;
use sycamore_types::Name;
use sycamore_types::resources::Resources;

/// What a worker says of itself.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct EntryBody {
    service: Name,
    addr: SocketAddr,
    state: Name,
    capacity: CapacityBody,
    labels: Vec<Name>,
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct CapacityBody {
    cpu: u32,
    mem_mb: u32,
    #[serde(default)]
    gpu: u32,
}

/// Reads a worker's entry. `None` when it names no worker to use.
pub fn parse_worker_entry(id: &str, value: &[u8]) -> Option<(HostEntry, SocketAddr)> {
    let entry: EntryBody = serde_json::from_slice(value).ok()?;
    let is_draining = match &*entry.state {
        "ready" => false,
        "draining" => true,
        _ => return None,
    };
    // The first label is the worker's kind, the second its rack.
    let rack = entry.labels.get(1).cloned().unwrap_or_else(|| Name::from(""));
    let host = HostEntry {
        id: Name::from(id),
        incarnation: entry.born,
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
        is_draining,
    };
    Some((host, entry.addr))
}
