use sycamore_types::id;

/// Key of the configuration document.
pub const CONFIG: &str = "config";

/// Key of the document that names the owner of each shard.
pub const OWNERS: &str = "owners";

/// Key of the document that divides team limits among shards.
pub const LEDGER: &str = "ledger";

/// Prefix of the records of members.
pub const MEMBER_PREFIX: &str = "member/";

/// Key of one member's record.
pub fn member(member: &id::Member) -> String {
    format!("{MEMBER_PREFIX}{member}")
}

/// Prefix of the pages of a shard's log.
pub fn log_prefix(shard: &id::Shard) -> String {
    format!("log/{shard}/")
}

/// Key of one slot of a shard's log.
pub fn log_slot(shard: &id::Shard, slot: u64) -> String {
    format!("log/{shard}/{slot:03}")
}

/// Key of a shard's snapshot.
pub fn snapshot(shard: &id::Shard) -> String {
    format!("snapshot/{shard}")
}
