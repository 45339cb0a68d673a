use rustc_hash::FxHashMap;
use std::time::Duration;

use sycamore_types::{Name, id};

use crate::action::{Action, CallId};
use crate::store::WriteId;
use crate::timing::Timing;
use crate::{store, worker};

/// Which part of the core waits for the reply to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    /// Renewal of this member's lease.
    Lease,
    /// Read of the member list.
    Members,
    /// Fencing of a silent member.
    Fence(id::Member),
    /// Removal of the record of a member that is gone.
    Forget,
    /// Read or write of the owners' document.
    Owners,
    /// Read or write of the ledger.
    Ledger,
    /// Read of a shard's log pages.
    LogPages(id::Shard),
    /// Read of a shard's snapshot.
    LogSnapshot(id::Shard),
    /// Write of a page.
    LogWrite(id::Shard),
    /// Write of a snapshot.
    SnapshotWrite(id::Shard),
    /// Start of a task.
    Start(id::Shard, id::Task),
    /// Poll of a worker.
    Poll(id::Shard, Name),
    /// Stop of a task.
    Stop,
}

/// What every part of the core needs to act.
pub(crate) struct Context<'a> {
    /// Monotonic time of this process.
    pub(crate) now: Duration,
    pub(crate) timing: &'a Timing,
    pub(crate) calls: &'a mut Calls,
    pub(crate) out: &'a mut Vec<Action>,
}

impl Context<'_> {
    pub(crate) fn store(&mut self, purpose: Purpose, op: store::Op) {
        let call = self.calls.register(purpose);
        self.out.push(Action::Store { call, op });
    }

    pub(crate) fn worker(&mut self, purpose: Purpose, host: &Name, address: &Name, op: worker::Op) {
        let call = self.calls.register(purpose);
        let (host, address) = (host.clone(), address.clone());
        self.out.push(Action::Worker { call, host, address, op });
    }
}

/// Outstanding calls and the source of unique numbers.
#[derive(Debug)]
pub(crate) struct Calls {
    outstanding: FxHashMap<CallId, Purpose>,
    next: CallId,
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

    /// Returns what a reply is for, once. A repeated reply is for nothing.
    pub(crate) fn take(&mut self, call: CallId) -> Option<Purpose> {
        self.outstanding.remove(&call)
    }

    /// Drops every outstanding call, so that late replies are for nothing.
    pub(crate) fn clear(&mut self) {
        self.outstanding.clear();
    }

    /// Makes the identifiers of later writes differ from all before.
    pub(crate) fn reseed(&mut self, seed: u64) {
        self.seed = seed;
    }

    pub(crate) fn write_id(&mut self) -> WriteId {
        self.writes += 1;
        (u128::from(self.seed) << 64) | u128::from(self.writes)
    }
}
