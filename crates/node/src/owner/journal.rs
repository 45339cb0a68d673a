//! Writes the log by group commit, and keeps it short.
//!
//! Each write demands that the owner's record is unchanged, so that an owner that was
//! replaced can't add to the log, and that the page does not exist, so that a write
//! whose answer was lost can be repeated.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sycamore_graph::{Event, Record, job};
use sycamore_platform::site::{Store, StoreError, Transaction};
use sycamore_types::Name;
use tokio::sync::mpsc;

use super::page;
use super::{Handle, Shared};
use crate::backoff::Backoff;
use crate::lead::{Claim, OWNER_KEY};
use crate::timing::{
    COMMIT_DELAY, LOG_RETRY_MAX, LOG_TIMEOUT, STORE_DOWN_AFTER, STORE_RETRY, STORE_TIMEOUT,
};

/// Most records of one page, which keeps pages well under the store's largest value.
const MAX_RECORDS: usize = 200;

/// Pages of the log above which old ones are rewritten.
const MAX_PAGES: usize = 400;

/// Age below which a page stays: a write whose answer was lost may still be carried
/// out for some seconds, and must not bring a removed page back.
const MIN_PAGE_AGE: Duration = Duration::from_secs(20);

/// Most records carried over into one new page.
const MAX_CARRIED: usize = 400;

/// A page of the log as the owner remembers it.
#[derive(Debug)]
pub(crate) struct Page {
    number: u64,
    written: Instant,
    jobs: Vec<job::Id>,
    hosts: Vec<Name>,
}

impl Page {
    pub fn of(number: u64, records: &[Record]) -> Page {
        let mut jobs: Vec<job::Id> = records.iter().filter_map(page::job_of).collect();
        jobs.sort_unstable();
        jobs.dedup();
        let mut hosts: Vec<Name> = records.iter().filter_map(page::host_of).collect();
        hosts.sort_unstable();
        hosts.dedup();
        Page { number, written: Instant::now(), jobs, hosts }
    }
}

/// The log's only writer.
#[derive(Debug)]
pub(super) struct Journal {
    store: Store,
    handle: Handle,
    shared: Arc<Shared>,
    owner_rev: u64,
    pages: VecDeque<Page>,
    next: u64,
    written: u64,
}

impl Journal {
    pub fn new(
        store: Store,
        handle: Handle,
        shared: Arc<Shared>,
        owner_rev: u64,
        pages: Vec<Page>,
    ) -> Journal {
        let next = pages.iter().map(|page| page.number).max().unwrap_or(0) + 1;
        Journal { store, handle, shared, owner_rev, pages: pages.into(), next, written: 0 }
    }

    /// Writes records until the owner is replaced.
    pub async fn run(mut self, mut records: mpsc::UnboundedReceiver<Record>) {
        while let Some(first) = records.recv().await {
            tokio::time::sleep(COMMIT_DELAY).await;
            let mut batch = vec![first];
            while batch.len() < MAX_RECORDS
                && let Ok(record) = records.try_recv()
            {
                batch.push(record);
            }
            if !self.write(batch).await {
                return;
            }
        }
    }

    /// Writes one page. Returns whether this process still owns.
    async fn write(&mut self, batch: Vec<Record>) -> bool {
        let own = batch.len() as u64;
        let (mut records, dropped) = self.carry_over().await;
        records.extend(batch);
        let bytes = match page::encode(&records) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("{error}");
                return false;
            }
        };
        let key = page::key(self.next);
        let mut change = Transaction::default()
            .expect(OWNER_KEY, self.owner_rev)
            .expect(&key, 0)
            .put(&key, &bytes);
        for number in &dropped {
            change = change.remove(&page::key(*number));
        }
        if !self.commit(&key, &change).await {
            return false;
        }
        self.pages.retain(|page| !dropped.contains(&page.number));
        self.pages.push_back(Page::of(self.next, &records));
        self.next += 1;
        self.written += own;
        self.handle.tell(Event::Committed(self.written));
        true
    }

    /// Repeats a change until it is certain that it was made, or can't be any more.
    async fn commit(&self, key: &str, change: &Transaction) -> bool {
        let begun = Instant::now();
        let mut backoff = Backoff::new(STORE_RETRY / 2, LOG_RETRY_MAX);
        let mut may_be_done = false;
        loop {
            let outcome = self.store.commit(change, LOG_TIMEOUT).await;
            match outcome {
                Ok(_) => break,
                Err(StoreError::Conflict) => match self.is_written(key, may_be_done).await {
                    Some(true) => break,
                    Some(false) => return false,
                    None => {}
                },
                Err(StoreError::Unknown(error)) => {
                    log::debug!("log page {key}: {error}");
                    may_be_done = true;
                }
                Err(error) => log::debug!("log page {key}: {error}"),
            }
            if begun.elapsed() > STORE_DOWN_AFTER {
                self.shared.set_store_away(true);
            }
            backoff.pause().await;
        }
        self.shared.set_store_away(false);
        true
    }

    /// After a conflict: tells whether an earlier try has written the page. `None` when
    /// the store does not answer.
    async fn is_written(&self, key: &str, may_be_done: bool) -> Option<bool> {
        let (_, rev) = Claim::read(&self.store).await.ok()?;
        if rev != self.owner_rev {
            return Some(false);
        }
        let found = self.store.get(key, STORE_TIMEOUT).await.ok()?;
        if found.is_some() && !may_be_done {
            log::error!("log page {key} exists though nothing wrote it");
        }
        Some(found.is_some() && may_be_done)
    }

    /// Returns what must last of the oldest pages, and the pages that it replaces.
    async fn carry_over(&mut self) -> (Vec<Record>, Vec<u64>) {
        let excess = self.pages.len().saturating_sub(MAX_PAGES).min(2);
        let mut jobs = Vec::new();
        let mut hosts = Vec::new();
        let mut dropped = Vec::new();
        for page in self.pages.iter().take(excess) {
            if page.written.elapsed() < MIN_PAGE_AGE || jobs.len() > MAX_CARRIED {
                break;
            }
            jobs.extend(page.jobs.iter().copied());
            hosts.extend(page.hosts.iter().cloned());
            dropped.push(page.number);
        }
        if dropped.is_empty() {
            return (Vec::new(), dropped);
        }
        (self.handle.images(jobs, hosts).await, dropped)
    }
}
