//! The keys of everything that the deployment keeps in the store.
//!
//! Shards and members have keys of their own, so that their writes don't conflict. What has to
//! change together, such as all owners, is one document under one key.

use sycamore_types::id;

/// Key of the configuration document.
pub const CONFIG: &str = "config";

/// Key of the document that names the owner of each shard.
pub const OWNERS: &str = "owners";

/// Key of the document that divides team limits among shards.
pub const LEDGER: &str = "ledger";

/// Prefix of the keys of member records.
pub const MEMBER_PREFIX: &str = "member/";

/// Returns the key of one member's record.
pub fn member(member: &id::Member) -> String {
    format!("{MEMBER_PREFIX}{member}")
}

/// Returns the prefix of the keys of a shard's log pages.
pub fn log_prefix(shard: &id::Shard) -> String {
    format!("log/{shard}/")
}

/// Returns the key of one slot in the ring of a shard's log pages.
pub fn log_slot(shard: &id::Shard, slot: u64) -> String {
    format!("log/{shard}/{slot:03}")
}

/// Returns the key of a shard's snapshot.
pub fn snapshot(shard: &id::Shard) -> String {
    format!("snapshot/{shard}")
}
