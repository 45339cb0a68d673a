//! Local copies of documents that several processes write, such as the ledger.
//!
//! A change is a compare-and-swap against the revision of the local copy: a process that
//! decided on outdated data conflicts, reads the newer document and decides again.

use serde::Serialize;
use serde::de::DeserializeOwned;
use sycamore_types::id::Revision;

use super::{Op, Reply, Versioned, Write, WriteId, WriteProgress, envelope};

/// A local copy of one JSON document in the store, with at most one call in flight.
#[derive(Debug)]
pub(crate) struct CachedDocument<T> {
    key: &'static str,
    revision: Revision,
    value: T,
    /// Whether the store was read at least once, even if it held no value.
    is_known: bool,
    call: Call<T>,
}

#[derive(Debug)]
enum Call<T> {
    Idle,
    Reading,
    Writing { write: Write, value: T },
    Stalled { write: Write, value: T },
}

/// The effect of a reply on the document.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum DocumentOutcome {
    /// Another call to the store is needed.
    Send(Op),
    /// The document was read; the local copy is as recent as the reply.
    Read,
    /// The proposed value was written.
    Written,
    /// The store holds another value, which is now the local copy. The proposal is dropped.
    Conflict,
    /// The store gave no usable reply. A write may still be in doubt.
    Failed,
}

impl<T: Clone + Default + DeserializeOwned + Serialize> CachedDocument<T> {
    pub(crate) fn new(key: &'static str) -> CachedDocument<T> {
        CachedDocument { key, revision: 0, value: T::default(), is_known: false, call: Call::Idle }
    }

    /// Returns the local copy, or `None` before the first read.
    pub(crate) fn get(&self) -> Option<&T> {
        self.is_known.then_some(&self.value)
    }

    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.call, Call::Idle)
    }

    /// Returns the call that reads the document, unless a call is in flight.
    ///
    /// A stalled write is resumed instead: its outcome must be known first.
    pub(crate) fn refresh(&mut self) -> Option<Op> {
        match std::mem::replace(&mut self.call, Call::Idle) {
            Call::Idle => {
                self.call = Call::Reading;
                Some(Op::Get { key: self.key.to_string() })
            }
            Call::Stalled { mut write, value } => {
                let op = write.resume();
                self.call = Call::Writing { write, value };
                Some(op)
            }
            busy => {
                self.call = busy;
                None
            }
        }
    }

    /// Returns the call that writes `value`. No call may be in flight.
    pub(crate) fn propose(&mut self, value: T, id: WriteId) -> Op {
        let body = serde_json::to_vec(&value).unwrap_or_default();
        let write = Write::new(self.key.to_string(), self.revision, id, &body);
        let op = write.start();
        self.call = Call::Writing { write, value };
        op
    }

    pub(crate) fn on_reply(&mut self, reply: Reply) -> DocumentOutcome {
        match std::mem::replace(&mut self.call, Call::Idle) {
            Call::Reading => self.on_read(reply),
            Call::Writing { write, value } => self.on_write(write, value, reply),
            other => {
                self.call = other;
                DocumentOutcome::Failed
            }
        }
    }

    fn on_read(&mut self, reply: Reply) -> DocumentOutcome {
        match reply {
            Reply::Value(found) => {
                self.adopt(found);
                DocumentOutcome::Read
            }
            _ => DocumentOutcome::Failed,
        }
    }

    fn on_write(&mut self, mut write: Write, value: T, reply: Reply) -> DocumentOutcome {
        match write.on_reply(reply) {
            WriteProgress::Send(op) => {
                self.call = Call::Writing { write, value };
                DocumentOutcome::Send(op)
            }
            WriteProgress::Written(revision) => {
                self.revision = revision;
                self.value = value;
                DocumentOutcome::Written
            }
            WriteProgress::Conflict(found) => {
                self.adopt(found);
                DocumentOutcome::Conflict
            }
            WriteProgress::Refused => DocumentOutcome::Failed,
            WriteProgress::Stalled => {
                self.call = Call::Stalled { write, value };
                DocumentOutcome::Failed
            }
        }
    }

    /// Replaces the local copy unless it is as new already: revisions never go back.
    fn adopt(&mut self, found: Option<Versioned>) {
        self.is_known = true;
        let Some(found) = found.filter(|found| found.revision > self.revision) else {
            return;
        };
        let decoded = envelope::decode_value(&found.value)
            .and_then(|(_, body)| serde_json::from_slice::<T>(body).ok());
        if let Some(value) = decoded {
            self.revision = found.revision;
            self.value = value;
        }
    }
}
