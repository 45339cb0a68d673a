//! The writer of a shard's log.
//!
//! At most one page and one snapshot are in flight. The writer tracks the revision of every
//! key of the ring, so that a write of a replaced owner conflicts with the pages of the
//! next owner; such a conflict tells an owner that it has lost the shard.

use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::id::{self, Epoch, Revision};

use super::{Entry, PAGE_SLOTS, Page, Snapshot};
use crate::caller::{KeyHash, Submission, Token};
use crate::context::{Context, Purpose};
use crate::store::{self, Reply, Versioned, Write, WriteProgress};

/// Number of pages between two snapshots. Half the ring, so that pages can still be written
/// while a snapshot is in flight.
const SNAPSHOT_INTERVAL_PAGES: u64 = PAGE_SLOTS / 2;

/// Number of entries after which a page is full.
const MAX_PAGE_ENTRIES: usize = 2_000;

/// Total size of the job payloads after which a page is full.
const MAX_PAGE_PAYLOAD_BYTES: usize = 256 * 1024;

/// What the shard does once an entry is durable.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AfterCommit {
    /// Nothing depends on the entry.
    None,
    /// Accept the job and tell the caller.
    Accept(Token, Box<Submission>),
    /// Tell the caller that the job is cancelled.
    Cancel(Token, id::Job),
    /// Send the start of the task to its worker.
    Start(id::Task),
    /// Queue the request, whose idempotency key is now durable.
    Key(Token, KeyHash),
    /// Let the worker on the host forget the finished task.
    Forget(Name, id::Task),
}

/// The effect of a reply on the log.
#[derive(Debug)]
pub(crate) enum LogOutcome {
    /// Nothing has become durable.
    Nothing,
    /// Entries have become durable, with these follow-ups.
    Committed(Vec<AfterCommit>),
    /// A later owner has written to the log.
    Fenced,
}

/// Writes the log of one shard.
#[derive(Debug)]
pub(crate) struct Writer {
    shard: id::Shard,
    epoch: Epoch,
    /// Sequence number of the next page.
    next_sequence: u64,
    /// Revision of each key of the ring, by slot.
    slot_revisions: Vec<Revision>,
    /// Entries for the next page.
    buffer: Vec<(Entry, AfterCommit)>,
    page_write: Option<PageWrite>,
    /// Time when the latest page write was begun or resumed.
    page_sent_at: Duration,
    snapshot_write: Option<SnapshotWrite>,
    snapshot_sequence: u64,
    snapshot_revision: Revision,
    /// Sequence number of the first page of this epoch.
    barrier: u64,
    /// No page or snapshot is begun before this time, since the store was unavailable.
    retry_at: Duration,
}

#[derive(Debug)]
struct PageWrite {
    write: Write,
    slot: usize,
    after_commits: Vec<AfterCommit>,
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
            next_sequence: 1,
            slot_revisions: vec![0; PAGE_SLOTS as usize],
            buffer: Vec::new(),
            page_write: None,
            page_sent_at: Duration::ZERO,
            snapshot_write: None,
            snapshot_sequence: 0,
            snapshot_revision: 0,
            barrier: 0,
            retry_at: Duration::ZERO,
        }
    }

    /// Initialises the writer from the pages in the store. Returns the pages in order.
    pub(crate) fn load_pages(&mut self, values: &[Versioned]) -> Vec<Page> {
        let mut pages: Vec<Page> = Vec::new();
        for value in values {
            let Some((_, body)) = store::decode_value(&value.value) else {
                continue;
            };
            if let Some(page) = Page::decode(body) {
                self.slot_revisions[slot_of(page.sequence)] = value.revision;
                pages.push(page);
            }
        }
        pages.sort_by_key(|page| page.sequence);
        self.next_sequence = pages.last().map_or(1, |page| page.sequence + 1);
        self.barrier = self.next_sequence;
        pages
    }

    /// Initialises the writer from the snapshot in the store. Returns the snapshot.
    pub(crate) fn load_snapshot(&mut self, value: Option<&Versioned>) -> Option<Snapshot> {
        let value = value?;
        let (_, body) = store::decode_value(&value.value)?;
        let snapshot = Snapshot::decode(body)?;
        self.snapshot_revision = value.revision;
        self.snapshot_sequence = snapshot.sequence;
        Some(snapshot)
    }

    /// Adds an entry to the next page.
    pub(crate) fn push(&mut self, entry: Entry, after_commit: AfterCommit) {
        self.buffer.push((entry, after_commit));
    }

    /// Removes the entries that match from the next page. They were never sent to the store.
    pub(crate) fn withdraw(&mut self, is_match: impl Fn(&AfterCommit) -> bool) -> Vec<AfterCommit> {
        let mut withdrawn = Vec::new();
        self.buffer.retain(|(_, after_commit)| {
            let is_removed = is_match(after_commit);
            if is_removed {
                withdrawn.push(after_commit.clone());
            }
            !is_removed
        });
        withdrawn
    }

    /// Returns whether every entry is durable and no write is in flight.
    pub(crate) fn is_clean(&self) -> bool {
        self.buffer.is_empty() && self.page_write.is_none() && self.snapshot_write.is_none()
    }

    /// Returns the sequence number of the last page that the snapshot in the store covers.
    pub(crate) fn snapshot_sequence(&self) -> u64 {
        self.snapshot_sequence
    }

    /// Returns the sequence number of the last durable page.
    pub(crate) fn committed_sequence(&self) -> u64 {
        self.next_sequence - 1
    }

    /// Returns whether a snapshot is due and may be sent.
    pub(crate) fn needs_snapshot(&self, now: Duration) -> bool {
        let is_allowed = self.snapshot_write.is_none() && now >= self.retry_at;
        is_allowed && self.next_sequence > self.snapshot_sequence + SNAPSHOT_INTERVAL_PAGES
    }

    /// Resumes stalled writes and sends the next page when it is due.
    ///
    /// `min_interval` is the shortest time between the starts of two page writes.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>, min_interval: Duration) {
        self.resume_stalled(cx);
        let has_free_slot = self.next_sequence <= self.snapshot_sequence + PAGE_SLOTS;
        let is_due =
            cx.now >= self.page_sent_at + min_interval || self.page_sent_at == Duration::ZERO;
        let must_wait = self.page_write.is_some() || cx.now < self.retry_at;
        if must_wait || self.buffer.is_empty() || !has_free_slot || !is_due {
            return;
        }
        self.send_page(cx);
    }

    fn resume_stalled(&mut self, cx: &mut Context<'_>) {
        if let Some(page) = self.page_write.as_mut().filter(|page| page.is_stalled)
            && cx.now >= self.page_sent_at + cx.timing.renew_interval
        {
            page.is_stalled = false;
            self.page_sent_at = cx.now;
            let op = page.write.resume();
            cx.store(Purpose::LogWrite(self.shard.clone()), op);
        }
        if let Some(snapshot) = self.snapshot_write.as_mut().filter(|snapshot| snapshot.is_stalled)
        {
            snapshot.is_stalled = false;
            let op = snapshot.write.resume();
            cx.store(Purpose::SnapshotWrite(self.shard.clone()), op);
        }
    }

    fn send_page(&mut self, cx: &mut Context<'_>) {
        let mut entries = Vec::new();
        let mut after_commits = Vec::new();
        let mut bytes = 0;
        let mut rest = std::mem::take(&mut self.buffer).into_iter();
        for (entry, after_commit) in rest.by_ref() {
            if let Entry::Accepted(submission) = &entry {
                bytes += submission.spec.payload.len();
            }
            entries.push(entry);
            after_commits.push(after_commit);
            if entries.len() >= MAX_PAGE_ENTRIES || bytes >= MAX_PAGE_PAYLOAD_BYTES {
                break;
            }
        }
        self.buffer.extend(rest);
        let page = Page { sequence: self.next_sequence, epoch: self.epoch, entries };
        let slot = slot_of(self.next_sequence);
        let key = store::log_slot(&self.shard, slot as u64);
        let write = Write::new(key, self.slot_revisions[slot], cx.calls.write_id(), &page.encode());
        cx.store(Purpose::LogWrite(self.shard.clone()), write.start());
        self.page_sent_at = cx.now;
        let entries = page.entries;
        self.page_write =
            Some(PageWrite { write, slot, after_commits, entries, is_stalled: false });
    }

    pub(crate) fn on_page_reply(&mut self, cx: &mut Context<'_>, reply: Reply) -> LogOutcome {
        let Some(mut page) = self.page_write.take() else {
            return LogOutcome::Nothing;
        };
        match page.write.on_reply(reply) {
            WriteProgress::Send(op) => {
                cx.store(Purpose::LogWrite(self.shard.clone()), op);
                self.page_write = Some(page);
            }
            WriteProgress::Stalled => {
                page.is_stalled = true;
                self.page_write = Some(page);
            }
            WriteProgress::Refused => {
                self.retry_at = cx.now + cx.timing.renew_interval;
                self.requeue(page);
            }
            WriteProgress::Written(revision) => {
                self.slot_revisions[page.slot] = revision;
                self.next_sequence += 1;
                return LogOutcome::Committed(page.after_commits);
            }
            WriteProgress::Conflict(_) => return LogOutcome::Fenced,
        }
        LogOutcome::Nothing
    }

    /// Puts the entries of a page that certainly was not written at the front of the next one.
    fn requeue(&mut self, page: PageWrite) {
        let mut entries: Vec<(Entry, AfterCommit)> =
            page.entries.into_iter().zip(page.after_commits).collect();
        entries.append(&mut self.buffer);
        self.buffer = entries;
    }

    /// Sends a snapshot, which must cover every durable page.
    pub(crate) fn send_snapshot(&mut self, cx: &mut Context<'_>, snapshot: &Snapshot) {
        let key = store::snapshot(&self.shard);
        let body = snapshot.encode();
        let write = Write::new(key, self.snapshot_revision, cx.calls.write_id(), &body);
        cx.store(Purpose::SnapshotWrite(self.shard.clone()), write.start());
        let sequence = snapshot.sequence;
        self.snapshot_write = Some(SnapshotWrite { write, sequence, is_stalled: false });
    }

    pub(crate) fn on_snapshot_reply(&mut self, cx: &mut Context<'_>, reply: Reply) -> LogOutcome {
        let Some(snapshot) = &mut self.snapshot_write else {
            return LogOutcome::Nothing;
        };
        match snapshot.write.on_reply(reply) {
            WriteProgress::Send(op) => cx.store(Purpose::SnapshotWrite(self.shard.clone()), op),
            WriteProgress::Stalled => snapshot.is_stalled = true,
            WriteProgress::Refused => {
                self.retry_at = cx.now + cx.timing.renew_interval;
                self.snapshot_write = None;
            }
            WriteProgress::Written(revision) => {
                self.snapshot_sequence = snapshot.sequence;
                self.snapshot_revision = revision;
                self.snapshot_write = None;
            }
            WriteProgress::Conflict(found) => return self.on_snapshot_conflict(found),
        }
        LogOutcome::Nothing
    }

    /// Handles a conflict, which a previous or a later owner can have caused.
    ///
    /// A late snapshot of the previous owner covers only pages before the
    /// barrier. This owner has read all of them, so it replaces that snapshot.
    /// Any other snapshot means that a later owner exists.
    fn on_snapshot_conflict(&mut self, found: Option<Versioned>) -> LogOutcome {
        let sequence = found.as_ref().and_then(|value| {
            let (_, body) = store::decode_value(&value.value)?;
            Some(Snapshot::decode(body)?.sequence)
        });
        self.snapshot_write = None;
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
    (sequence % PAGE_SLOTS) as usize
}
