use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamore_types::id::{self, Revision};

use crate::context::Context;

/// A promise, with the revision of the receiver's record that it knew itself to have.
#[derive(Debug)]
struct Given {
    until: Duration,
    revision: Revision,
}

/// Promises that this process has given to others.
#[derive(Debug, Default)]
pub(crate) struct Promises {
    given: BTreeMap<id::Member, Given>,
    fenced: BTreeSet<id::Member>,
}

impl Promises {
    /// Gives a promise unless the member is known to be fenced.
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
        self.given.insert(to.clone(), Given { until, revision });
        Some(span)
    }

    /// Notes that a member was fenced: it gets no promise any more.
    pub(crate) fn mark_fenced(&mut self, subject: &id::Member) {
        self.fenced.insert(subject.clone());
    }

    pub(crate) fn is_fenced(&self, subject: &id::Member) -> bool {
        self.fenced.contains(subject)
    }

    /// Tells whether a promise to the member is still out.
    pub(crate) fn is_outstanding(&self, now: Duration, to: &id::Member) -> bool {
        self.given.get(to).is_some_and(|given| now < given.until)
    }

    /// Returns the revision that the member had when it last was promised something.
    pub(crate) fn promised_at(&self, to: &id::Member) -> Option<Revision> {
        self.given.get(to).map(|given| given.revision)
    }

    /// Drops what is known of a member that is gone from the store.
    pub(crate) fn forget(&mut self, subject: &id::Member) {
        self.given.remove(subject);
        self.fenced.remove(subject);
    }
}
