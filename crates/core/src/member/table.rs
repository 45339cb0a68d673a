use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::id::{self, Revision};

use super::{Record, Role};
use crate::store::{self, Versioned};
use crate::timing::Timing;

/// One member as this process sees it.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) record: Record,
    pub(crate) revision: Revision,
    /// Time at which this revision was first seen.
    pub(crate) changed_at: Duration,
}

/// All members, as last read from the store.
#[derive(Debug, Default)]
pub(crate) struct Table {
    members: BTreeMap<id::Member, Seen>,
    /// Time of the latest complete read.
    pub(crate) read_at: Option<Duration>,
}

impl Table {
    /// Takes in a complete read of the member records. Returns those that are gone.
    pub(crate) fn update(&mut self, now: Duration, values: Vec<Versioned>) -> Vec<id::Member> {
        let mut present = BTreeSet::new();
        for value in values {
            let Some((_, body)) = store::decode_value(&value.value) else {
                continue;
            };
            if let Ok(record) = serde_json::from_slice::<Record>(body) {
                present.insert(record.member.clone());
                self.note(now, record, value.revision);
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

    /// Takes in one record.
    pub(crate) fn note(&mut self, now: Duration, record: Record, revision: Revision) {
        let is_news = self.members.get(&record.member).is_none_or(|seen| seen.revision < revision);
        if is_news {
            let seen = Seen { record, revision, changed_at: now };
            self.members.insert(seen.record.member.clone(), seen);
        }
    }

    pub(crate) fn get(&self, member: &id::Member) -> Option<&Seen> {
        self.members.get(member)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Seen> {
        self.members.values()
    }

    pub(crate) fn address(&self, member: &id::Member) -> Option<&Name> {
        self.members.get(member).map(|seen| &seen.record.address)
    }

    /// Returns the schedulers that are neither fenced nor silent.
    pub(crate) fn live_schedulers(
        &self,
        now: Duration,
        timing: &Timing,
    ) -> impl Iterator<Item = &Record> {
        let silence = timing.lengthened(timing.ttl);
        // While this process can't read the list, silence says nothing.
        let reference = self.read_at.unwrap_or(now).min(now);
        self.members
            .values()
            .filter(move |seen| reference < seen.changed_at + silence)
            .map(|seen| &seen.record)
            .filter(|record| record.role == Role::Scheduler && record.fenced_by.is_none())
    }
}
