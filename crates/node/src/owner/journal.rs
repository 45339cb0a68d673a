//! Writes the log to the store by group commit, and compacts it.
//!
//! A page is one key of the store with a batch of records. Each write is a transaction
//! with two conditions: the owner record is unchanged, so that a replaced owner can't
//! append to the log, and the page does not exist, so that a write whose reply was lost
//! can be repeated safely. The transaction also writes the definitions of queues that belong beside
//! the page.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::FuturesOrdered;
use sycamore_graph::{Event, QueueDefined, Record, job};
use sycamore_platform::site::{Store, StoreError, Transaction};
use sycamore_types::Name;
use tokio::sync::mpsc;

use super::page::{self, PageError};
use super::write_timeout::WriteTimeout;
use super::{Handle, Shared};
use crate::backoff::Backoff;
use crate::metrics::Meters;
use crate::node::Node;
use crate::ownership::OWNER_KEY;
use crate::timing::{
    COMMIT_DELAY, LOG_RETRY_MAX, STORE_RETRY, STORE_TIMEOUT, STORE_UNAVAILABLE_AFTER,
};

/// Most new records in one page. Keeps pages well below the store's value size limit.
const MAX_PAGE_RECORDS: usize = 200;

/// Estimated size from which a page takes no further new records, in bytes. Even with one
/// more job with the largest body, the new records in base64 stay below the store's
/// documented limit of 1 MiB. Records carried over are not counted.
const MAX_PAGE_BYTES: usize = 384 * 1024;

/// Most page writes in flight. Four hold the records of 100 ms; the slow store replies after
/// up to 240 ms, and for the rest of that time larger pages gain more than further ones.
const MAX_PAGES_IN_FLIGHT: usize = 4;

/// Number of pages above which the log is compacted: new pages replace the oldest ones.
const MAX_PAGES: usize = 400;

/// Age below which a page is not removed. The store may apply a write some seconds after
/// its reply was lost, which must not bring a removed page back.
const MIN_PAGE_AGE: Duration = Duration::from_secs(20);

/// Number of jobs above which no further old page is carried over into a new page.
const CARRY_OVER_JOBS_LIMIT: usize = 400;

/// A page of the log, with the jobs, workers and queues that its records are about.
#[derive(Debug)]
pub(crate) struct Page {
    number: u64,
    /// When this owner built or read the page.
    written_at: Instant,
    jobs: Vec<job::Id>,
    hosts: Vec<Name>,
    /// Queues whose definitions are stored beside it.
    queues: Vec<Name>,
    /// It has a record of the past use of the teams.
    has_team_use: bool,
}

impl Page {
    pub fn of(number: u64, records: &[Record]) -> Page {
        let mut jobs: Vec<job::Id> = records.iter().filter_map(page::job_of).collect();
        jobs.sort_unstable();
        jobs.dedup();
        let mut hosts: Vec<Name> = records.iter().filter_map(page::host_of).collect();
        hosts.sort_unstable();
        hosts.dedup();
        let has_team_use = records.iter().any(page::is_team_use);
        let (written_at, queues) = (Instant::now(), Vec::new());
        Page { number, written_at, jobs, hosts, queues, has_team_use }
    }

    /// Adds the definitions of queues that are stored beside the page.
    pub fn with_queues(mut self, definitions: &[QueueDefined]) -> Page {
        self.queues = definitions.iter().map(|definition| definition.name.clone()).collect();
        self.queues.sort_unstable();
        self.queues.dedup();
        self
    }

    pub fn number(&self) -> u64 {
        self.number
    }
}

/// A page that is being written to the store.
struct PageWrite {
    page: Page,
    /// Number of records in the page that are not carried over from older pages.
    new_records: u64,
}

/// Repeats the write of a page until its outcome is certain.
#[derive(Clone, Debug)]
struct PageWriter {
    store: Store,
    shared: Arc<Shared>,
    meters: Meters,
    timeout: WriteTimeout,
}

/// The only writer of the log.
///
/// Several page writes may be in flight, so that a slow store delays each record by one
/// round trip only. Pages count as durable in page order. If a page is lost and a later one
/// is stored, the log keeps a gap. Only an owner that has ended can leave one, and it has
/// told no caller or worker of the records in either page.
#[derive(Debug)]
pub(super) struct Journal {
    writer: PageWriter,
    handle: Handle,
    /// Durable pages, the oldest first.
    pages: VecDeque<Page>,
    /// Number of the next page.
    next_page: u64,
    /// Records of this owner that are durable.
    durable_records: u64,
}

impl Journal {
    pub fn new(node: &Node, handle: Handle, shared: Arc<Shared>, pages: Vec<Page>) -> Journal {
        let next_page = pages.iter().map(|page| page.number).max().unwrap_or(0) + 1;
        let (store, meters) = (node.store.clone(), node.meters.clone());
        let timeout = WriteTimeout::new(node.settings.link_mbps, MAX_PAGES_IN_FLIGHT);
        let writer = PageWriter { store, shared, meters, timeout };
        Journal { writer, handle, pages: pages.into(), next_page, durable_records: 0 }
    }

    /// Writes records until this process is no longer the owner.
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

    /// Returns the limit of page writes in flight. It is one while the store is unavailable,
    /// because each write in flight is retried separately.
    fn max_in_flight(&self) -> usize {
        if self.handle.is_store_unavailable() { 1 } else { MAX_PAGES_IN_FLIGHT }
    }

    /// Builds the next page, of new records and those carried over from the oldest pages.
    async fn next_write(
        &mut self,
        batch: Vec<Record>,
    ) -> Result<(PageWrite, Transaction), PageError> {
        let new_records = batch.len() as u64;
        let (mut records, dropped) = self.carry_over().await;
        records.extend(batch);
        let (definitions, records) = page::split_off_queues(records);
        let key = page::key(self.next_page);
        let mut transaction = Transaction::default()
            .expect(OWNER_KEY, self.writer.shared.owner_rev)
            .expect(&key, 0)
            .put(&key, &page::encode(&records)?);
        if !definitions.is_empty() {
            let value = page::encode_queues(&definitions)?;
            transaction = transaction.put(&page::queues_key(self.next_page), &value);
        }
        for page in self.pages.iter().filter(|page| dropped.contains(&page.number)) {
            transaction = transaction.remove(&page::key(page.number));
            if !page.queues.is_empty() {
                transaction = transaction.remove(&page::queues_key(page.number));
            }
        }
        self.pages.retain(|page| !dropped.contains(&page.number));
        let page = Page::of(self.next_page, &records).with_queues(&definitions);
        self.next_page += 1;
        Ok((PageWrite { page, new_records }, transaction))
    }

    /// Reports the records of a durable page to the engine.
    fn on_durable(&mut self, write: PageWrite) {
        self.pages.push_back(write.page);
        self.durable_records += write.new_records;
        self.handle.send(Event::Committed(self.durable_records));
    }

    /// Returns the records to carry over from the oldest pages, and the numbers of these
    /// pages, which can then be removed. Both are empty while the log is short.
    async fn carry_over(&mut self) -> (Vec<Record>, Vec<u64>) {
        let excess = self.pages.len().saturating_sub(MAX_PAGES).min(2);
        let mut jobs = Vec::new();
        let mut hosts = Vec::new();
        let mut queues = Vec::new();
        let mut has_team_use = false;
        let mut dropped = Vec::new();
        for page in self.pages.iter().take(excess) {
            if page.written_at.elapsed() < MIN_PAGE_AGE || jobs.len() > CARRY_OVER_JOBS_LIMIT {
                break;
            }
            jobs.extend(page.jobs.iter().copied());
            hosts.extend(page.hosts.iter().cloned());
            queues.extend(page.queues.iter().cloned());
            has_team_use |= page.has_team_use;
            dropped.push(page.number);
        }
        if dropped.is_empty() {
            return (Vec::new(), dropped);
        }
        (self.handle.snapshots(jobs, hosts, queues, has_team_use).await, dropped)
    }
}

impl PageWriter {
    /// Writes a page. Returns `None` when this process is no longer the owner.
    async fn write(self, write: PageWrite, transaction: Transaction) -> Option<PageWrite> {
        self.commit(&page::key(write.page.number), &transaction).await.then_some(write)
    }

    /// Repeats a transaction until its outcome is certain. Returns `false` when this process
    /// is no longer the owner.
    async fn commit(&self, key: &str, transaction: &Transaction) -> bool {
        let started = Instant::now();
        let mut backoff = Backoff::new(STORE_RETRY / 2, LOG_RETRY_MAX);
        let mut may_be_written = false;
        let mut failures = 0;
        loop {
            let timeout = self.timeout.of(transaction.value_bytes(), failures);
            let attempted_ms = self.shared.confirmation.begin();
            let outcome = self.store.commit(transaction, timeout).await;
            let label = if outcome.is_ok() { "kept" } else { "failed" };
            self.meters.log_writes.with_label_values(&[label]).inc();
            match outcome {
                Ok(_) => {
                    self.shared.confirmation.record(attempted_ms);
                    break;
                }
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
            failures += 1;
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

    /// Returns whether an earlier attempt has written the page, after one that failed with a
    /// conflict. Returns `None` when the store does not reply.
    async fn is_written(&self, key: &str, may_be_written: bool) -> Option<bool> {
        if !self.shared.confirm(&self.store).await.ok()? {
            return Some(false);
        }
        let found = self.store.get(key, STORE_TIMEOUT).await.ok()?;
        if found.is_some() && !may_be_written {
            log::error!("log page {key} exists, but this owner did not write it");
        }
        Some(found.is_some() && may_be_written)
    }
}

/// Returns a record and those queued behind it, as many as fit into a page.
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
