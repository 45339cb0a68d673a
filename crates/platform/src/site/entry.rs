//! Parses the entries of workers in the store.
//!
//! An entry may come from another writer. It names no worker then, even if the fields that this
//! system uses can be read: a call to its address would reach whatever listens there.

use std::net::SocketAddr;

use displaydoc::Display;
use http::HeaderValue;
use serde::{Deserialize, Deserializer, de};
use sycamore_graph::HostEntry;
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::row::{MAX_KEY_BYTES, MAX_NUMBER, Object, whole_number};

/// Why an entry names no worker to use.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum EntryError {
    /// no call can carry the id
    Id,
    /// the entry is malformed: {0}
    Syntax(serde_json::Error),
    /// the state {0} is neither ready nor draining
    State(Name),
    /// no configuration names the service {0:?}
    Service(Name),
    /// nothing can listen on the address {0}
    Address(SocketAddr),
}

impl std::error::Error for EntryError {}

impl EntryError {
    /// Returns the reason in one word, as metrics name it.
    pub fn reason(&self) -> &'static str {
        match self {
            EntryError::Id => "id",
            EntryError::Syntax(_) => "syntax",
            EntryError::State(_) => "state",
            EntryError::Service(_) => "service",
            EntryError::Address(_) => "address",
        }
    }
}

/// A number that is neither negative nor too large, whole or not.
struct Amount(f64);

impl<'de> Deserialize<'de> for Amount {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Amount, D::Error> {
        let number = f64::deserialize(deserializer)?;
        if (0.0..=MAX_NUMBER as f64).contains(&number) {
            Ok(Amount(number))
        } else {
            Err(de::Error::custom(format_args!("the number {number} is out of range")))
        }
    }
}

/// A worker's description of itself. The fields that begin with an underscore are checked only.
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
    capacity: Object<CapacityBody>,
    labels: Vec<Name>,
    /// Start of the incarnation, in milliseconds since 1970.
    #[serde(default, deserialize_with = "whole_number")]
    born: u64,
    #[serde(rename = "version")]
    _version: Option<Name>,
    #[serde(rename = "slots")]
    _slots: Option<Amount>,
    #[serde(rename = "cold-left-ms")]
    _cold_left_ms: Option<Amount>,
    /// Least time left before a draining worker leaves, in milliseconds.
    remaining_ms: Option<Amount>,
    #[serde(rename = "clock-ms")]
    _clock_ms: Option<Amount>,
    #[serde(rename = "seq")]
    _seq: Option<Amount>,
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

/// What a worker's entry tells.
#[derive(Debug)]
pub struct WorkerEntry {
    /// Description of the worker.
    pub host: HostEntry,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Least time left when the entry was written before a draining worker leaves, in milliseconds.
    /// Zero if it does not drain or names no time.
    pub remaining_ms: u64,
}

/// Parses the entry of the worker `id`.
///
/// # Errors
///
/// Returns an error if the entry names no worker to use: it is malformed, or the worker is neither
/// ready nor draining, or can't be called.
pub fn parse_worker_entry(id: &str, value: &[u8]) -> Result<WorkerEntry, EntryError> {
    // Each call to the worker names it in a header.
    if id.is_empty() || id.len() > MAX_KEY_BYTES || HeaderValue::from_str(id).is_err() {
        return Err(EntryError::Id);
    }
    let Object(entry) =
        serde_json::from_slice::<Object<EntryBody>>(value).map_err(EntryError::Syntax)?;
    let is_draining = match &*entry.state {
        "ready" => false,
        "draining" => true,
        _ => return Err(EntryError::State(entry.state)),
    };
    if entry.service.is_empty() {
        return Err(EntryError::Service(entry.service));
    }
    if entry.addr.port() == 0 || entry.addr.ip().is_unspecified() {
        return Err(EntryError::Address(entry.addr));
    }
    // The platform puts the worker's kind into the first label and its rack into the second.
    let rack = entry.labels.get(1).cloned().unwrap_or_else(|| Name::from(""));
    let Object(capacity) = entry.capacity;
    let host = HostEntry {
        id: Name::from(id),
        incarnation: entry.born,
        address: Some(entry.addr),
        service: entry.service,
        capacity: Resources {
            cpu_millis: capacity.cpu,
            memory_mib: capacity.mem_mb,
            accelerators: capacity.gpu,
            slots: 0,
            connections: 0,
        },
        labels: entry.labels.into(),
        rack,
        failure_domain: entry.zone,
        is_draining,
    };
    let remaining_ms = entry.remaining_ms.filter(|_| is_draining);
    let remaining_ms = remaining_ms.map_or(0, |Amount(number)| number as u64);
    Ok(WorkerEntry { host, address: entry.addr, remaining_ms })
}
