//! Verification of a collected stream of decision records.
//!
//! The hashes of the chains show records that were changed, removed or reordered. The heads in
//! the store show streams that were truncated, rewritten or invented as a whole.

use std::collections::BTreeMap;

use sycamore_types::id::{self, Epoch};

use crate::record::genesis;
use crate::{Finding, Hash, Head, Heads, Record};

/// Verifies the hash chains of a collected stream and compares them with the heads in the store.
///
/// The stream may interleave shards in any way; within one shard and epoch the records must be in
/// order. An epoch without a head is accepted only if it is newer than every epoch with one,
/// because its first head may not have been written yet.
pub fn verify<'a>(
    lines: impl Iterator<Item = &'a str>,
    heads: &BTreeMap<id::Shard, Heads>,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut chains: BTreeMap<(id::Shard, Epoch), Vec<Hash>> = BTreeMap::new();
    for (index, line) in lines.enumerate() {
        match serde_json::from_str::<Record>(line) {
            Ok(record) => check_record(&record, &mut chains, &mut findings),
            Err(_) => findings.push(Finding::Unreadable(index + 1)),
        }
    }
    for (shard, heads) in heads {
        check_heads(shard, heads, &chains, &mut findings);
    }
    check_epochs(&chains, heads, &mut findings);
    findings
}

/// Checks the hash of a record and that it follows the previous one, then appends it to its chain.
fn check_record(
    record: &Record,
    chains: &mut BTreeMap<(id::Shard, Epoch), Vec<Hash>>,
    findings: &mut Vec<Finding>,
) {
    let shard = record.decision.shard.clone();
    let epoch = record.decision.epoch;
    let sequence = record.decision.sequence;
    let chain = chains.entry((shard.clone(), epoch)).or_default();
    let previous = chain.last().cloned().unwrap_or_else(|| genesis(&shard, epoch));
    let is_next = record.previous == previous && sequence == chain.len() as u64 + 1;
    if !record.is_hash_valid() {
        findings.push(Finding::Changed { shard, epoch, sequence });
    } else if !is_next {
        findings.push(Finding::Broken { shard, epoch, sequence });
    }
    chain.push(record.hash.clone());
}

/// Checks that the chains of a shard contain the heads in the store.
fn check_heads(
    shard: &id::Shard,
    heads: &Heads,
    chains: &BTreeMap<(id::Shard, Epoch), Vec<Hash>>,
    findings: &mut Vec<Finding>,
) {
    for (epoch, Head { sequence, hash }) in &heads.epochs {
        let chain = chains.get(&(shard.clone(), *epoch));
        let index = usize::try_from(sequence.saturating_sub(1)).unwrap_or(usize::MAX);
        let (shard, epoch, sequence) = (shard.clone(), *epoch, *sequence);
        match chain.and_then(|chain| chain.get(index)) {
            None => findings.push(Finding::Cut { shard, epoch, sequence }),
            Some(found) if found != hash => {
                findings.push(Finding::OtherHistory { shard, epoch, sequence });
            }
            Some(_) => {}
        }
    }
}

/// Checks that each epoch in the stream has a head in the store or is newer than those that do.
fn check_epochs(
    chains: &BTreeMap<(id::Shard, Epoch), Vec<Hash>>,
    heads: &BTreeMap<id::Shard, Heads>,
    findings: &mut Vec<Finding>,
) {
    for (shard, epoch) in chains.keys() {
        let known = heads.get(shard);
        let newest = known.and_then(|heads| heads.epochs.keys().next_back());
        let is_known = known.is_some_and(|heads| heads.epochs.contains_key(epoch));
        let may_be_new = newest.is_none_or(|newest| epoch > newest);
        if !is_known && !may_be_new {
            findings.push(Finding::Invented { shard: shard.clone(), epoch: *epoch });
        }
    }
}
