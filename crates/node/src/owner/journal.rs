//! Writes the log by group commit, and keeps it short.
//!
//! Each write demands that the owner's record is unchanged, so that an owner that was
//! replaced can't add to the log, and that the page does not exist, so that a write
//! whose answer was lost can be repeated.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::FuturesOrdered;
use sycamore_graph::{Event, Record, job};
use sycamore_platform::site::{Store, StoreError, Transaction};
use sycamore_types::Name;
use tokio::sync::mpsc;

use super::page::{self, PageError};
use super::{Handle, Shared};
use crate::backoff::Backoff;
use crate::metrics::Meters;
use crate::node::Node;
use crate::ownership::{OWNER_KEY, OwnerRecord};
use crate::timing::{
    COMMIT_DELAY, LOG_RETRY_MAX, LOG_TIMEOUT, STORE_RETRY, STORE_TIMEOUT, STORE_UNAVAILABLE_AFTER,
};

/// Most records of one page, which keeps pages well under the store's largest value.
const MAX_PAGE_RECORDS: usize = 200;

/// Bytes above which a page takes no more records. With one more job of the largest body
/// and in base64 it stays under the store's documented limit of 1 MiB.
const MAX_PAGE_BYTES: usize = 384 * 1024;

/// Most pages on their way at once. At the slowest answers seen, 240 ms, the records of
/// 100 ms fit; more is gained by larger pages.
const MAX_PAGES_IN_FLIGHT: usize = 4;

/// Pages of the log above which old ones are rewritten.
const MAX_PAGES: usize = 400;

/// Age below which a page stays: a write whose answer was lost may still be carried
/// out for some seconds, and must not bring a removed page back.
const MIN_PAGE_AGE: Duration = Duration::from_secs(20);

/// Most records carried over into one new page.
const CARRY_OVER_JOBS_LIMIT: usize = 400;

/// A page of the log as the owner remembers it.
#[derive(Debug)]
pub(crate) struct Page {
    number: u64,
    written_at: Instant,
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
        Page { number, written_at: Instant::now(), jobs, hosts }
    }
}

/// A page on its way to the store.
struct PageWrite {
    page: Page,
    /// Records of the owner in it, without those carried over.
    new_records: u64,
}

/// Makes writes certain.
#[derive(Clone, Debug)]
struct PageWriter {
    store: Store,
    shared: Arc<Shared>,
    meters: Meters,
    owner_rev: u64,
}

/// The log's only writer.
///
/// Several pages may be on their way at once, so that a slow store delays each record
/// by one answer only. They count as durable in their order. A page that is lost while a
/// later one was kept leaves a gap that only an owner that is gone can leave; nobody was
/// told of what is in either.
#[derive(Debug)]
pub(super) struct Journal {
    writer: PageWriter,
    handle: Handle,
    pages: VecDeque<Page>,
    next_page: u64,
    durable_records: u64,
}

impl Journal {
    pub fn new(
        node: &Node,
        handle: Handle,
        shared: Arc<Shared>,
        owner_rev: u64,
        pages: Vec<Page>,
    ) -> Journal {
        let next_page = pages.iter().map(|page| page.number).max().unwrap_or(0) + 1;
        let (store, meters) = (node.store.clone(), node.meters.clone());
        let writer = PageWriter { store, shared, meters, owner_rev };
        Journal { writer, handle, pages: pages.into(), next_page, durable_records: 0 }
    }

    /// Writes records until the owner is replaced.
    pub async fn run(mut self, mut records: mpsc::UnboundedReceiver<Record>) {
        let mut in_flight = FuturesOrdered::new();
        loop {
            tokio::select! {
                Some(written) = in_flight.next(), if !in_flight.is_empty() => match written {
                    Some(write) => self.on_durable(write),
                    None => return,
                },
                first = records.recv(), if in_flight.len() < self.max_in_flight() => {
                    let Some(first) = first else { return };
                    tokio::time::sleep(COMMIT_DELAY).await;
                    match self.next_write(collect_batch(first, &mut records)).await {
                        Ok((write, transaction)) => {
                            in_flight.push_back(self.writer.clone().write(write, transaction));
                        }
                        Err(error) => {
                            log::error!(
                                target: "store", error:%;
                                "log page can't be encoded; giving up ownership"
                            );
                            return;
                        }
                    }
                }
            }
        }
    }

    /// Each page on its way is repeated for itself while the store is away.
    fn max_in_flight(&self) -> usize {
        if self.handle.is_store_unavailable() { 1 } else { MAX_PAGES_IN_FLIGHT }
    }

    /// Makes the next page of some records and what must last of old pages.
    async fn next_write(
        &mut self,
        batch: Vec<Record>,
    ) -> Result<(PageWrite, Transaction), PageError> {
        let new_records = batch.len() as u64;
        let (mut records, dropped) = self.carry_over().await;
        records.extend(batch);
        let key = page::key(self.next_page);
        let mut transaction = Transaction::default()
            .expect(OWNER_KEY, self.writer.owner_rev)
            .expect(&key, 0)
            .put(&key, &page::encode(&records)?);
        for number in &dropped {
            transaction = transaction.remove(&page::key(*number));
        }
        self.pages.retain(|page| !dropped.contains(&page.number));
        let page = Page::of(self.next_page, &records);
        self.next_page += 1;
        Ok((PageWrite { page, new_records }, transaction))
    }

    /// Counts a page that is durable.
    fn on_durable(&mut self, write: PageWrite) {
        self.pages.push_back(write.page);
        self.durable_records += write.new_records;
        self.handle.send(Event::Committed(self.durable_records));
    }

    /// Returns what must last of the oldest pages, and the pages that it replaces.
    async fn carry_over(&mut self) -> (Vec<Record>, Vec<u64>) {
        let excess = self.pages.len().saturating_sub(MAX_PAGES).min(2);
        let mut jobs = Vec::new();
        let mut hosts = Vec::new();
        let mut dropped = Vec::new();
        for page in self.pages.iter().take(excess) {
            if page.written_at.elapsed() < MIN_PAGE_AGE || jobs.len() > CARRY_OVER_JOBS_LIMIT {
                break;
            }
            jobs.extend(page.jobs.iter().copied());
            hosts.extend(page.hosts.iter().cloned());
            dropped.push(page.number);
        }
        if dropped.is_empty() {
            return (Vec::new(), dropped);
        }
        (self.handle.snapshots(jobs, hosts).await, dropped)
    }
}

impl PageWriter {
    /// Writes a page. `None` when this process no longer owns.
    async fn write(self, write: PageWrite, transaction: Transaction) -> Option<PageWrite> {
        self.commit(&page::key(write.page.number), &transaction).await.then_some(write)
    }

    /// Repeats a change until it is certain that it was made, or can't be any more.
    async fn commit(&self, key: &str, transaction: &Transaction) -> bool {
        let started = Instant::now();
        let mut backoff = Backoff::new(STORE_RETRY / 2, LOG_RETRY_MAX);
        let mut may_be_written = false;
        loop {
            let outcome = self.store.commit(transaction, LOG_TIMEOUT).await;
            let label = if outcome.is_ok() { "kept" } else { "failed" };
            self.meters.log_writes.with_label_values(&[label]).inc();
            match outcome {
                Ok(_) => break,
                Err(StoreError::Conflict) => match self.is_written(key, may_be_written).await {
                    Some(true) => break,
                    Some(false) => return false,
                    None => {}
                },
                Err(StoreError::Unknown(error)) => {
                    log::debug!("log page {key} may not be written: {error}");
                    may_be_written = true;
                }
                Err(error) => log::debug!("log page {key} not written: {error}"),
            }
            if started.elapsed() > STORE_UNAVAILABLE_AFTER {
                self.shared.set_store_unavailable(true);
            }
            backoff.pause().await;
        }
        self.shared.set_store_unavailable(false);
        let no_labels: [&str; 0] = [];
        let histogram = self.meters.log_write_s.with_label_values(&no_labels);
        histogram.observe(started.elapsed().as_secs_f64());
        true
    }

    /// After a conflict: tells whether an earlier try has written the page. `None` when
    /// the store does not answer.
    async fn is_written(&self, key: &str, may_be_written: bool) -> Option<bool> {
        let (_, rev) = OwnerRecord::read(&self.store).await.ok()?;
        if rev != self.owner_rev {
            return Some(false);
        }
        let found = self.store.get(key, STORE_TIMEOUT).await.ok()?;
        if found.is_some() && !may_be_written {
            log::error!("log page {key} exists, but this owner did not write it");
        }
        Some(found.is_some() && may_be_written)
    }
}

/// Takes more records that wait, as many as a page holds.
fn collect_batch(first: Record, records: &mut mpsc::UnboundedReceiver<Record>) -> Vec<Record> {
    let mut bytes = page::size(&first);
    let mut batch = vec![first];
    while batch.len() < MAX_PAGE_RECORDS
        && bytes < MAX_PAGE_BYTES
        && let Ok(record) = records.try_recv()
    {
        bytes += page::size(&record);
        batch.push(record);
    }
    batch
}
