//! Promises to other members not to take over their shards.
//!
//! While a promise is outstanding, this process does not vote for a takeover from
//! the receiver. The promise lasts longer here than at the receiver, by the
//! possible clock drift and message delay. A member known to be fenced gets no
//! promise, so a vote against it stays valid.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamore_types::id::{self, Revision};

use crate::context::Context;

/// A promise that was given.
#[derive(Debug)]
struct Promise {
    until: Duration,
    /// Revision that the receiver knew its record to have.
    revision: Revision,
}

/// Promises that this process has given to other members.
#[derive(Debug, Default)]
pub(crate) struct Promises {
    given: BTreeMap<id::Member, Promise>,
    fenced: BTreeSet<id::Member>,
}

impl Promises {
    /// Promises a member not to take over its shards, unless it is known to be
    /// fenced. Returns the time for which the promise holds.
    ///
    /// `revision` is the last one that the member knows its record to have.
    pub(crate) fn give(
        &mut self,
        cx: &Context<'_>,
        to: &id::Member,
        revision: Revision,
    ) -> Option<Duration> {
        if self.fenced.contains(to) {
            return None;
        }
        let span = cx.timing.promise_span;
        let until = cx.now + cx.timing.lengthened(span);
        self.given.insert(to.clone(), Promise { until, revision });
        Some(span)
    }

    /// Marks a member as fenced, so that it gets no more promises.
    pub(crate) fn mark_fenced(&mut self, subject: &id::Member) {
        self.fenced.insert(subject.clone());
    }

    pub(crate) fn is_fenced(&self, subject: &id::Member) -> bool {
        self.fenced.contains(subject)
    }

    /// Returns whether a promise to the member is still valid.
    pub(crate) fn is_outstanding(&self, now: Duration, to: &id::Member) -> bool {
        self.given.get(to).is_some_and(|given| now < given.until)
    }

    /// Returns the confirmed revision of the member's record at its last promise.
    pub(crate) fn promised_at(&self, to: &id::Member) -> Option<Revision> {
        self.given.get(to).map(|given| given.revision)
    }

    /// Forgets a member whose record was removed from the store.
    pub(crate) fn forget(&mut self, subject: &id::Member) {
        self.given.remove(subject);
        self.fenced.remove(subject);
    }
}
