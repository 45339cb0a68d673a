//! Records of all members, and which of them are live.
//!
//! A member is judged by the time for which its record has been unchanged on the
//! local clock, so the clocks of two processes are never compared.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::id::{self, Revision};

use super::{Record, Role};
use crate::store::{self, Versioned};
use crate::timing::Timing;

/// Record of one member as this process last read it.
#[derive(Clone, Debug)]
pub(crate) struct Observation {
    pub(crate) record: Record,
    pub(crate) revision: Revision,
    /// Time at which this process first read this revision.
    pub(crate) changed_at: Duration,
}

/// Records of all members, as last read from the store.
#[derive(Debug, Default)]
pub(crate) struct Table {
    members: BTreeMap<id::Member, Observation>,
    /// Time of the latest complete read.
    pub(crate) read_at: Option<Duration>,
}

impl Table {
    /// Stores a complete read of the member records. Returns the members whose
    /// records are gone.
    pub(crate) fn update(&mut self, now: Duration, values: Vec<Versioned>) -> Vec<id::Member> {
        let mut present = BTreeSet::new();
        for value in values {
            let Some((_, body)) = store::decode_value(&value.value) else {
                continue;
            };
            if let Ok(record) = serde_json::from_slice::<Record>(body) {
                present.insert(record.member.clone());
                self.insert(now, record, value.revision);
            }
        }
        let gone: Vec<id::Member> =
            self.members.keys().filter(|member| !present.contains(*member)).cloned().collect();
        for member in &gone {
            self.members.remove(member);
        }
        self.read_at = Some(now);
        gone
    }

    /// Stores one record, if it is newer than the known one.
    fn insert(&mut self, now: Duration, record: Record, revision: Revision) {
        let is_newer = self
            .members
            .get(&record.member)
            .is_none_or(|observation| observation.revision < revision);
        if is_newer {
            let observation = Observation { record, revision, changed_at: now };
            self.members.insert(observation.record.member.clone(), observation);
        }
    }

    pub(crate) fn get(&self, member: &id::Member) -> Option<&Observation> {
        self.members.get(member)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Observation> {
        self.members.values()
    }

    pub(crate) fn address(&self, member: &id::Member) -> Option<&Name> {
        self.members.get(member).map(|observation| &observation.record.address)
    }

    /// Returns the schedulers that are neither fenced nor presumed dead.
    pub(crate) fn live_schedulers(
        &self,
        now: Duration,
        timing: &Timing,
    ) -> impl Iterator<Item = &Record> {
        let max_age = timing.lengthened(timing.ttl);
        // While this process can't read the member list, an unchanged record
        // means nothing, so ages are measured at the latest read.
        let reference = self.read_at.unwrap_or(now).min(now);
        self.members
            .values()
            .filter(move |observation| reference < observation.changed_at + max_age)
            .map(|observation| &observation.record)
            .filter(|record| record.role == Role::Scheduler && record.fenced_by.is_none())
    }
}
