//! State of the deployment at one moment, as known to an entry process.
//!
//! A shared snapshot is never changed: each update replaces it by a new one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sycamore_core::member::{Record, Role};
use sycamore_core::owners::Map;
use sycamore_types::config::Document;
use sycamore_types::host::Host;
use sycamore_types::id;
use sycamore_types::selector::Selector;

/// Processes, shard owners and hosts that an entry process knows of.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) members: BTreeMap<id::Member, Record>,
    pub(crate) owners: Map,
    pub(crate) hosts: Vec<Host>,
}

impl Snapshot {
    /// Returns the address of the owner of a shard, or `None` if the owner or its record is
    /// unknown.
    pub(crate) fn owner_address(&self, shard: &id::Shard) -> Option<SocketAddr> {
        let claim = self.owners.shards.get(shard)?;
        self.members.get(&claim.owner)?.address.parse().ok()
    }

    /// Returns the addresses of all processes that are not fenced.
    pub(crate) fn live_addresses(&self) -> Vec<SocketAddr> {
        let alive = self.members.values().filter(|record| record.fenced_by.is_none());
        alive.filter_map(|record| record.address.parse().ok()).collect()
    }

    /// Returns the number of processes with a role, fenced ones included.
    pub(crate) fn count_role(&self, role: Role) -> usize {
        self.members.values().filter(|record| record.role == role).count()
    }

    /// Returns the owned shards with at least one host that matches the selector and is neither
    /// leaving nor drained.
    pub(crate) fn matching_shards(&self, selector: &Selector, config: &Document) -> Vec<id::Shard> {
        let mut shards: Vec<id::Shard> = self
            .hosts
            .iter()
            .filter(|host| !host.is_leaving && !config.drained.contains(&host.name))
            .filter(|host| selector.is_empty() || selector.matches(&effective_labels(host, config)))
            .map(|host| host.shard(config.shards_per_domain))
            .filter(|shard| self.owners.shards.contains_key(shard))
            .collect();
        shards.sort();
        shards.dedup();
        shards
    }

    /// Returns the shard that remembers an idempotency key.
    ///
    /// Chosen by rendezvous hashing over all shards that ever had an owner. The choice must not
    /// depend on the hosts present, or a repeated request would reach a shard that does not know
    /// its key.
    pub(crate) fn home_shard(&self, key: u128) -> Option<id::Shard> {
        let weight = |shard: &&id::Shard| {
            use std::hash::{DefaultHasher, Hash, Hasher};
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            shard.hash(&mut hasher);
            hasher.finish()
        };
        self.owners.shards.keys().max_by_key(weight).cloned()
    }
}

/// Returns the labels of a host, overridden by the configuration, with the built-in labels.
fn effective_labels(host: &Host, config: &Document) -> sycamore_types::label::Set {
    let overrides = config.labels.get(&host.name).cloned().unwrap_or_default();
    let mut labels = host.labels.overridden_by(&overrides);
    labels.insert("host", &host.name);
    labels.insert("rack", &host.rack);
    labels.insert("failure-domain", &host.failure_domain);
    labels
}
