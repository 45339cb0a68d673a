//! Reads the log and the evacuated failure domains when this process becomes the owner.
//!
//! A page that can't be decoded fails the whole read, since the engine would lack accepted
//! jobs without its records.

use displaydoc::Display;
use sycamore_graph::{Record, Recovered};
use sycamore_platform::site::{MalformedRow, Store, StoreError};

use super::journal::Page;
use super::page::{self, PageError};
use crate::config::Evacuations;
use crate::timing::STORE_TIMEOUT;

/// Why the state of the former owner can't be read.
#[derive(Debug, Display)]
pub(super) enum ReadError {
    /// {0}
    Store(StoreError),
    /// {0}
    Page(PageError),
    /// a row of the log can't be read: {0:?}
    Row(MalformedRow),
    /// the evacuated failure domains can't be read: {0}
    Evacuations(StoreError),
}

/// Reads the evacuated failure domains into `evacuations`, and the log as [`read_log`] does.
pub(super) async fn read(
    store: &Store,
    evacuations: &Evacuations,
) -> Result<(Recovered, Vec<Page>), ReadError> {
    let evacuated = async { evacuations.read(store).await.map_err(ReadError::Evacuations) };
    let (log, _) = tokio::try_join!(read_log(store), evacuated)?;
    Ok(log)
}

/// Reads the whole log. Returns what its records say, and its pages for the journal.
async fn read_log(store: &Store) -> Result<(Recovered, Vec<Page>), ReadError> {
    let mut recovered = Recovered::default();
    let mut pages = Vec::new();
    let mut after = String::new();
    loop {
        let found =
            store.range(page::PREFIX, &after, 3 * STORE_TIMEOUT).await.map_err(ReadError::Store)?;
        if let Some(row) = found.malformed.into_iter().next() {
            return Err(ReadError::Row(row));
        }
        for item in &found.items {
            if let Some(number) = page::number_of_queues(&item.key) {
                read_queues(number, &item.value, &mut recovered, &mut pages);
            }
            let Some(number) = page::number(&item.key) else { continue };
            let records = page::decode(&item.value).map_err(ReadError::Page)?;
            pages.push(Page::of(number, &records));
            records.into_iter().for_each(|record| recovered.apply(record));
        }
        match found.next {
            Some(next) => after = next,
            None => return Ok((recovered, pages)),
        }
    }
}

/// Reads the definitions of queues that are stored beside a page. Without them the jobs of removed queues
/// wait, while all other jobs are served.
fn read_queues(number: u64, value: &[u8], recovered: &mut Recovered, pages: &mut Vec<Page>) {
    let definitions = match page::decode_queues(value) {
        Ok(definitions) => definitions,
        Err(error) => {
            log::error!(target: "store", page = number, error:%; "definitions of queues not read");
            return;
        }
    };
    // The key follows that of the page, which an older build may have removed without this one.
    if let Some(page) = pages.pop_if(|page| page.number() == number) {
        pages.push(page.with_queues(&definitions));
    }
    definitions
        .into_iter()
        .for_each(|definition| recovered.apply(Record::QueueDefined(definition)));
}
