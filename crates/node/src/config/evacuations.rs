//! The failure domains that operators have evacuated.
//!
//! The set is read as a whole and kept current by the watch of the configuration. Several tasks
//! read it, and their results may arrive in any order: the store's revision decides which one is
//! newer.

use std::collections::BTreeMap;
use std::sync::Arc;

use sycamore_platform::site::{Store, StoreError, WatchResponse, key};
use sycamore_types::Name;
use tokio::sync::watch;

use crate::metrics::Meters;
use crate::timing::STORE_TIMEOUT;

/// The failure domains that are evacuated at a revision of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Evacuated {
    /// Revision of the store up to which all changes are applied. Zero before the first read.
    pub revision: u64,
    /// Failure domains, each with the revision at which its key was last written.
    pub domains: BTreeMap<Name, u64>,
}

/// Shares the evacuated failure domains between the tasks of the process.
#[derive(Clone, Debug)]
pub(crate) struct Evacuations {
    /// The settings call for evacuations. Otherwise the set stays empty.
    is_in_use: bool,
    sender: Arc<watch::Sender<Evacuated>>,
    meters: Meters,
}

impl Evacuations {
    pub fn new(meters: Meters, is_in_use: bool) -> Evacuations {
        Evacuations { is_in_use, sender: Arc::default(), meters }
    }

    pub fn is_in_use(&self) -> bool {
        self.is_in_use
    }

    /// Returns a receiver that is notified whenever the set changes.
    pub fn subscribe(&self) -> watch::Receiver<Evacuated> {
        self.sender.subscribe()
    }

    /// Reads the whole set. Returns the revision from which a watch continues it, or `None` if
    /// evacuations are not in use.
    ///
    /// # Errors
    ///
    /// Returns the store's error if a page can't be read. The set stays as it was.
    pub async fn read(&self, store: &Store) -> Result<Option<u64>, StoreError> {
        if !self.is_in_use {
            return Ok(None);
        }
        let mut domains = BTreeMap::new();
        let mut revision = None;
        let mut after = String::new();
        loop {
            let page = store.range(key::EVACUATION_PREFIX, &after, STORE_TIMEOUT).await?;
            // Changes between two pages may be missing, so the first page counts.
            let revision = *revision.get_or_insert(page.as_of);
            let found =
                page.items.iter().filter_map(|item| Some((domain_of(&item.key)?, item.rev)));
            domains.extend(found);
            // The key alone evacuates the domain, whatever else can't be read.
            for row in &page.malformed {
                log::warn!(target: "config", key:? = row.key, reason = row.reason; "row skipped");
                domains.extend(row.key.as_deref().and_then(domain_of).map(|name| (name, revision)));
            }
            match page.next {
                Some(next) => after = next,
                None => {
                    self.apply_read(revision, domains);
                    return Ok(Some(revision));
                }
            }
        }
    }

    /// Applies a set that was read at a revision, unless a newer one is known.
    pub fn apply_read(&self, revision: u64, domains: BTreeMap<Name, u64>) {
        self.update(|known| {
            if revision >= known.revision {
                *known = Evacuated { revision, domains };
            }
        });
    }

    /// Applies the changes in the response to a watch, except those that a newer reading contains.
    pub fn apply_changes(&self, response: &WatchResponse) {
        self.update(|known| {
            for change in &response.events {
                let revision = if change.rev == 0 { response.as_of } else { change.rev };
                let Some(domain) = domain_of(&change.key).filter(|_| revision > known.revision)
                else {
                    continue;
                };
                if change.removed {
                    known.domains.remove(&domain);
                } else {
                    known.domains.insert(domain, revision);
                }
            }
            known.revision = known.revision.max(response.as_of);
        });
    }

    /// Changes what is known, and notifies the receivers if the set differs.
    fn update(&self, change: impl FnOnce(&mut Evacuated)) {
        if !self.is_in_use {
            return;
        }
        self.sender.send_if_modified(|known| {
            let before = known.domains.clone();
            change(known);
            self.meters.evacuated_domains.set(known.domains.len() as i64);
            known.domains != before
        });
    }
}

/// Returns the failure domain that a key evacuates, `None` for other keys.
fn domain_of(key: &str) -> Option<Name> {
    let domain = key.strip_prefix(key::EVACUATION_PREFIX)?;
    (!domain.is_empty()).then(|| Name::from(domain))
}
