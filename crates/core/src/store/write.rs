//! A compare-and-swap that survives lost replies.
//!
//! A write whose reply was lost is resolved by reading its value back, at the cost of one more
//! call to the store.

use sycamore_types::id::Revision;

use super::{Op, Reply, Versioned, WriteId, envelope};

/// One compare-and-swap, retried until its outcome is certain.
///
/// A lost reply leaves the write in doubt: it may have taken effect, or may
/// yet do so. The value is then read back and compared by its unique write
/// identifier. If the old value is still in the store, the same bytes are sent
/// again, so that a late arrival of the first copy changes nothing.
#[derive(Clone, Debug)]
pub struct Write {
    key: String,
    expected: Revision,
    value: Vec<u8>,
    id: WriteId,
    is_reading_back: bool,
    is_in_doubt: bool,
}

/// The state of a write after a reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteProgress {
    /// Make this call next.
    Send(Op),
    /// The write took effect at this revision.
    Written(Revision),
    /// The write did not take effect. Holds the value that is in the store instead.
    Conflict(Option<Versioned>),
    /// The store can't be reached. The write never took effect.
    Refused,
    /// The store can't be reached and the outcome is in doubt. Call [`Write::resume`] later.
    Stalled,
}

impl Write {
    /// Prepares a write of `body` to `key`, whose value must have the revision `expected`.
    pub fn new(key: String, expected: Revision, id: WriteId, body: &[u8]) -> Write {
        let value = envelope::encode_value(id, body);
        Write { key, expected, value, id, is_reading_back: false, is_in_doubt: false }
    }

    /// Returns the first call to make.
    pub fn start(&self) -> Op {
        Op::Put { key: self.key.clone(), expected: self.expected, value: self.value.clone() }
    }

    /// Returns the call that resumes a stalled write.
    pub fn resume(&mut self) -> Op {
        self.read_back()
    }

    /// Returns whether a reply was lost, so that the write may have taken effect.
    pub fn is_in_doubt(&self) -> bool {
        self.is_in_doubt
    }

    /// Processes the reply to the latest call.
    pub fn on_reply(&mut self, reply: Reply) -> WriteProgress {
        if self.is_reading_back {
            return self.on_read_back(reply);
        }
        match reply {
            Reply::Written(revision) => WriteProgress::Written(revision),
            Reply::Unavailable if !self.is_in_doubt => WriteProgress::Refused,
            Reply::Unavailable => WriteProgress::Stalled,
            Reply::Unknown => {
                self.is_in_doubt = true;
                WriteProgress::Send(self.read_back())
            }
            _ => WriteProgress::Send(self.read_back()),
        }
    }

    fn on_read_back(&mut self, reply: Reply) -> WriteProgress {
        let found = match reply {
            Reply::Value(found) => found,
            _ => return WriteProgress::Stalled,
        };
        if let Some(value) = &found
            && envelope::decode_value(&value.value).is_some_and(|(id, _)| id == self.id)
        {
            return WriteProgress::Written(value.revision);
        }
        let revision = found.as_ref().map_or(0, |value| value.revision);
        if revision == self.expected {
            self.is_reading_back = false;
            return WriteProgress::Send(self.start());
        }
        WriteProgress::Conflict(found)
    }

    fn read_back(&mut self) -> Op {
        self.is_reading_back = true;
        Op::Get { key: self.key.clone() }
    }
}
