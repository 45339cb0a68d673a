//! Hosts that run tasks, as the platform's host list describes them.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::resources::Resources;
use crate::{Name, label};

/// One entry of the platform's host list, which may be out of date.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Name of the host, unique in the deployment.
    pub name: Name,
    /// IP address and port of the worker process.
    pub address: Name,
    /// Rack in which the host stands.
    pub rack: Name,
    /// Failure domain in which the rack stands.
    pub failure_domain: Name,
    /// Total resources of the host, whether in use or free.
    pub capacity: Resources,
    /// Labels assigned by the platform.
    pub labels: label::Set,
    /// Whether the host is leaving the cluster and accepts no new work.
    pub is_leaving: bool,
}

impl Host {
    /// Returns the shard that the host's rack belongs to.
    ///
    /// The shard depends only on the failure domain, a hash of the rack's name and
    /// `shards_per_domain`, so all processes agree on it without coordination.
    pub fn shard(&self, shards_per_domain: u16) -> id::Shard {
        let digest = blake3::hash(self.rack.as_bytes());
        let bytes = digest.as_bytes();
        let hash = u16::from_le_bytes([bytes[0], bytes[1]]);
        id::Shard { domain: self.failure_domain.clone(), index: hash % shards_per_domain.max(1) }
    }
}
