use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::id::{self, Epoch, Revision};

use super::{Entry, Page, SLOTS, Snapshot};
use crate::caller::{KeyHash, Submission, Token};
use crate::context::{Context, Purpose};
use crate::store::{self, Reply, Versioned, Write, WriteProgress};

/// Pages between two snapshots.
const SNAPSHOT_EVERY: u64 = SLOTS / 2;

/// Largest number of entries in one page.
const PAGE_ENTRIES: usize = 2_000;

/// Largest size of the payloads in one page, in bytes.
const PAGE_BYTES: usize = 256 * 1024;

/// What is to be done once an entry is on record.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AfterCommit {
    /// Nobody waits.
    None,
    /// A caller waits for its job to be accepted.
    Accept(Token, Box<Submission>),
    /// A caller waits for a cancellation.
    Cancel(Token, id::Job),
    /// A task waits for its start to be on record.
    Start(id::Task),
    /// A request waits for its key to be on record.
    Key(Token, KeyHash),
    /// A worker may forget a finished task.
    Forget(Name, id::Task),
}

/// What a reply meant for the log.
#[derive(Debug)]
pub(crate) enum LogOutcome {
    /// Nothing that matters to others.
    Nothing,
    /// These entries are on record.
    Committed(Vec<AfterCommit>),
    /// Another owner has written to the log.
    Fenced,
}

/// Writes the log of one shard.
#[derive(Debug)]
pub(crate) struct Writer {
    shard: id::Shard,
    epoch: Epoch,
    next: u64,
    slots: Vec<Revision>,
    buffer: Vec<(Entry, AfterCommit)>,
    page: Option<PageWrite>,
    page_sent_at: Duration,
    snapshot: Option<SnapshotWrite>,
    snapshot_sequence: u64,
    snapshot_revision: Revision,
    /// Page that began this epoch.
    barrier: u64,
    /// Nothing is sent before this time, since the store refused the last call.
    retry_at: Duration,
}

#[derive(Debug)]
struct PageWrite {
    write: Write,
    slot: usize,
    tickets: Vec<AfterCommit>,
    entries: Vec<Entry>,
    is_stalled: bool,
}

#[derive(Debug)]
struct SnapshotWrite {
    write: Write,
    sequence: u64,
    is_stalled: bool,
}

impl Writer {
    pub(crate) fn new(shard: id::Shard, epoch: Epoch) -> Writer {
        Writer {
            shard,
            epoch,
            next: 1,
            slots: vec![0; SLOTS as usize],
            buffer: Vec::new(),
            page: None,
            page_sent_at: Duration::ZERO,
            snapshot: None,
            snapshot_sequence: 0,
            snapshot_revision: 0,
            barrier: 0,
            retry_at: Duration::ZERO,
        }
    }

    /// Takes in the slots that stand in the store. Returns the pages in order.
    pub(crate) fn load_pages(&mut self, values: &[Versioned]) -> Vec<Page> {
        let mut pages: Vec<Page> = Vec::new();
        for value in values {
            let Some((_, body)) = store::decode_value(&value.value) else {
                continue;
            };
            if let Some(page) = Page::decode(body) {
                self.slots[slot_of(page.sequence)] = value.revision;
                pages.push(page);
            }
        }
        pages.sort_by_key(|page| page.sequence);
        self.next = pages.last().map_or(1, |page| page.sequence + 1);
        self.barrier = self.next;
        pages
    }

    /// Takes in the snapshot that stands in the store.
    pub(crate) fn load_snapshot(&mut self, value: Option<&Versioned>) -> Option<Snapshot> {
        let value = value?;
        let (_, body) = store::decode_value(&value.value)?;
        let snapshot = Snapshot::decode(body)?;
        self.snapshot_revision = value.revision;
        self.snapshot_sequence = snapshot.sequence;
        Some(snapshot)
    }

    pub(crate) fn push(&mut self, entry: Entry, ticket: AfterCommit) {
        self.buffer.push((entry, ticket));
    }

    /// Takes back buffered entries whose tickets match. They were never sent.
    pub(crate) fn withdraw(
        &mut self,
        is_withdrawn: impl Fn(&AfterCommit) -> bool,
    ) -> Vec<AfterCommit> {
        let mut withdrawn = Vec::new();
        self.buffer.retain(|(_, ticket)| {
            let goes = is_withdrawn(ticket);
            if goes {
                withdrawn.push(ticket.clone());
            }
            !goes
        });
        withdrawn
    }

    /// Tells whether everything is on record.
    pub(crate) fn is_clean(&self) -> bool {
        self.buffer.is_empty() && self.page.is_none() && self.snapshot.is_none()
    }

    /// Returns the last page that the snapshot in the store covers.
    pub(crate) fn snapshot_sequence(&self) -> u64 {
        self.snapshot_sequence
    }

    /// Returns the last page that is on record.
    pub(crate) fn committed(&self) -> u64 {
        self.next - 1
    }

    pub(crate) fn needs_snapshot(&self, now: Duration) -> bool {
        let is_allowed = self.snapshot.is_none() && now >= self.retry_at;
        is_allowed && self.next > self.snapshot_sequence + SNAPSHOT_EVERY
    }

    /// Sends what is due.
    ///
    /// `gap` is the shortest time between the starts of two page writes.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>, gap: Duration) {
        self.resume(cx);
        let has_room = self.next <= self.snapshot_sequence + SLOTS;
        let is_due = cx.now >= self.page_sent_at + gap || self.page_sent_at == Duration::ZERO;
        let must_wait = self.page.is_some() || cx.now < self.retry_at;
        if must_wait || self.buffer.is_empty() || !has_room || !is_due {
            return;
        }
        self.send_page(cx);
    }

    fn resume(&mut self, cx: &mut Context<'_>) {
        if let Some(page) = self.page.as_mut().filter(|page| page.is_stalled)
            && cx.now >= self.page_sent_at + cx.timing.renew_interval
        {
            page.is_stalled = false;
            self.page_sent_at = cx.now;
            let op = page.write.resume();
            cx.store(Purpose::LogWrite(self.shard.clone()), op);
        }
        if let Some(snapshot) = self.snapshot.as_mut().filter(|snapshot| snapshot.is_stalled) {
            snapshot.is_stalled = false;
            let op = snapshot.write.resume();
            cx.store(Purpose::SnapshotWrite(self.shard.clone()), op);
        }
    }

    fn send_page(&mut self, cx: &mut Context<'_>) {
        let mut entries = Vec::new();
        let mut tickets = Vec::new();
        let mut bytes = 0;
        let mut rest = std::mem::take(&mut self.buffer).into_iter();
        for (entry, ticket) in rest.by_ref() {
            if let Entry::Accepted(submission) = &entry {
                bytes += submission.spec.payload.len();
            }
            entries.push(entry);
            tickets.push(ticket);
            if entries.len() >= PAGE_ENTRIES || bytes >= PAGE_BYTES {
                break;
            }
        }
        self.buffer.extend(rest);
        let page = Page { sequence: self.next, epoch: self.epoch, entries };
        let slot = slot_of(self.next);
        let key = store::log_slot(&self.shard, slot as u64);
        let write = Write::new(key, self.slots[slot], cx.calls.write_id(), &page.encode());
        cx.store(Purpose::LogWrite(self.shard.clone()), write.start());
        self.page_sent_at = cx.now;
        let entries = page.entries;
        self.page = Some(PageWrite { write, slot, tickets, entries, is_stalled: false });
    }

    pub(crate) fn on_page_reply(&mut self, cx: &mut Context<'_>, reply: Reply) -> LogOutcome {
        let Some(mut page) = self.page.take() else {
            return LogOutcome::Nothing;
        };
        match page.write.on_reply(reply) {
            WriteProgress::Send(op) => {
                cx.store(Purpose::LogWrite(self.shard.clone()), op);
                self.page = Some(page);
            }
            WriteProgress::Stalled => {
                page.is_stalled = true;
                self.page = Some(page);
            }
            WriteProgress::Refused => {
                self.retry_at = cx.now + cx.timing.renew_interval;
                self.put_back(page);
            }
            WriteProgress::Written(revision) => {
                self.slots[page.slot] = revision;
                self.next += 1;
                return LogOutcome::Committed(page.tickets);
            }
            WriteProgress::Conflict(_) => return LogOutcome::Fenced,
        }
        LogOutcome::Nothing
    }

    /// Puts the entries of a page that certainly was not written back in front.
    fn put_back(&mut self, page: PageWrite) {
        let mut entries: Vec<(Entry, AfterCommit)> =
            page.entries.into_iter().zip(page.tickets).collect();
        entries.append(&mut self.buffer);
        self.buffer = entries;
    }

    /// Sends a snapshot that covers every page on record.
    pub(crate) fn send_snapshot(&mut self, cx: &mut Context<'_>, snapshot: &Snapshot) {
        let key = store::snapshot(&self.shard);
        let body = snapshot.encode();
        let write = Write::new(key, self.snapshot_revision, cx.calls.write_id(), &body);
        cx.store(Purpose::SnapshotWrite(self.shard.clone()), write.start());
        let sequence = snapshot.sequence;
        self.snapshot = Some(SnapshotWrite { write, sequence, is_stalled: false });
    }

    pub(crate) fn on_snapshot_reply(&mut self, cx: &mut Context<'_>, reply: Reply) -> LogOutcome {
        let Some(snapshot) = &mut self.snapshot else {
            return LogOutcome::Nothing;
        };
        match snapshot.write.on_reply(reply) {
            WriteProgress::Send(op) => cx.store(Purpose::SnapshotWrite(self.shard.clone()), op),
            WriteProgress::Stalled => snapshot.is_stalled = true,
            WriteProgress::Refused => {
                self.retry_at = cx.now + cx.timing.renew_interval;
                self.snapshot = None;
            }
            WriteProgress::Written(revision) => {
                self.snapshot_sequence = snapshot.sequence;
                self.snapshot_revision = revision;
                self.snapshot = None;
            }
            WriteProgress::Conflict(found) => return self.on_other_snapshot(found),
        }
        LogOutcome::Nothing
    }

    /// Tells a late snapshot of the owner before from one of an owner after.
    ///
    /// The owner before can only have covered pages up to the barrier, which
    /// this owner has read, so its snapshot is simply replaced.
    fn on_other_snapshot(&mut self, found: Option<Versioned>) -> LogOutcome {
        let sequence = found.as_ref().and_then(|value| {
            let (_, body) = store::decode_value(&value.value)?;
            Some(Snapshot::decode(body)?.sequence)
        });
        self.snapshot = None;
        match (found, sequence) {
            (Some(value), Some(sequence)) if sequence < self.barrier => {
                self.snapshot_revision = value.revision;
                LogOutcome::Nothing
            }
            _ => LogOutcome::Fenced,
        }
    }
}

fn slot_of(sequence: u64) -> usize {
    (sequence % SLOTS) as usize
}
