//! Items that wait, and the key that orders them.
//!
//! The place of an item is fixed when it is queued, so it also identifies the
//! item.

use std::cmp::Reverse;

use sycamore_types::id;

use crate::caller::Token;

/// Classes of work in the order in which their lanes are scheduled.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Class {
    Urgent,
    Interactive,
    Batch,
}

impl Class {
    pub(crate) const COUNT: usize = 3;
    pub(crate) const ALL: [Class; Class::COUNT] = [Class::Urgent, Class::Interactive, Class::Batch];

    pub(crate) fn index(self) -> usize {
        self as usize
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Class::Urgent => "urgent",
            Class::Interactive => "interactive",
            Class::Batch => "batch",
        }
    }
}

/// A request or job that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Item {
    Request(Token),
    Job(id::Job),
}

/// Sort key of an item among those of its team and class: higher priority first,
/// then earlier arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Place {
    pub(crate) class: Class,
    priority: Reverse<i32>,
    /// Arrival number in the queue of the shard, from 1.
    pub(crate) arrival: u64,
}

impl Place {
    pub(crate) fn new(class: Class, priority: i32, arrival: u64) -> Place {
        Place { class, priority: Reverse(priority), arrival }
    }
}
