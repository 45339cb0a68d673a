//! What the parts of the core share within one step: the time, the settings, the actions to
//! return, and the register of outstanding calls.
//!
//! Each call is registered with its purpose, and its first reply ends it. A repeated reply, or
//! one to a call that was dropped, is therefore ignored.

use rustc_hash::FxHashMap;
use std::time::Duration;

use sycamore_types::{Name, id};

use crate::action::{Action, CallId};
use crate::store::WriteId;
use crate::timing::Timing;
use crate::{store, worker};

/// The part of the core that the reply to a call is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    /// Renewal of the lease of this member.
    Lease,
    /// Read of the member list.
    Members,
    /// Fencing write to the record of a member that no longer renews its lease.
    Fence(id::Member),
    /// Removal of the record of a member that has left or was fenced.
    RemoveMember,
    /// Read or write of the owners document.
    Owners,
    /// Read or write of the ledger.
    Ledger,
    /// Read of a shard's log pages.
    LogPages(id::Shard),
    /// Read of a shard's snapshot.
    LogSnapshot(id::Shard),
    /// Write of a page to a shard's log.
    LogWrite(id::Shard),
    /// Write of a shard's snapshot.
    SnapshotWrite(id::Shard),
    /// Start of a task.
    Start(id::Shard, id::Task),
    /// Poll of the worker on a host.
    Poll(id::Shard, Name),
    /// Stop of a task.
    Stop,
}

/// The time, the settings and the outputs that every part of the core works with.
pub(crate) struct Context<'a> {
    /// Monotonic time of this process.
    pub(crate) now: Duration,
    pub(crate) timing: &'a Timing,
    pub(crate) calls: &'a mut Calls,
    /// Actions that the present step returns.
    pub(crate) out: &'a mut Vec<Action>,
}

impl Context<'_> {
    /// Emits a call to the store.
    pub(crate) fn store(&mut self, purpose: Purpose, op: store::Op) {
        let call = self.calls.register(purpose);
        self.out.push(Action::Store { call, op });
    }

    /// Emits a call to the worker on a host.
    pub(crate) fn worker(&mut self, purpose: Purpose, host: &Name, address: &Name, op: worker::Op) {
        let call = self.calls.register(purpose);
        let (host, address) = (host.clone(), address.clone());
        self.out.push(Action::Worker { call, host, address, op });
    }
}

/// Outstanding calls, and the source of call and write identifiers.
#[derive(Debug)]
pub(crate) struct Calls {
    outstanding: FxHashMap<CallId, Purpose>,
    next: CallId,
    /// Upper half of the write identifiers, unique to this incarnation of the process.
    seed: u64,
    writes: u64,
}

impl Calls {
    pub(crate) fn new(seed: u64) -> Calls {
        Calls { outstanding: FxHashMap::default(), next: 1, seed, writes: 0 }
    }

    pub(crate) fn register(&mut self, purpose: Purpose) -> CallId {
        let call = self.next;
        self.next += 1;
        self.outstanding.insert(call, purpose);
        call
    }

    /// Returns the purpose of a call and forgets the call, so that a repeated reply
    /// is ignored.
    pub(crate) fn take(&mut self, call: CallId) -> Option<Purpose> {
        self.outstanding.remove(&call)
    }

    /// Drops every outstanding call, so that late replies are ignored.
    pub(crate) fn clear(&mut self) {
        self.outstanding.clear();
    }

    /// Makes the identifiers of later writes differ from all earlier ones.
    pub(crate) fn reseed(&mut self, seed: u64) {
        self.seed = seed;
    }

    pub(crate) fn write_id(&mut self) -> WriteId {
        self.writes += 1;
        (u128::from(self.seed) << 64) | u128::from(self.writes)
    }
}
