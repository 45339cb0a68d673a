//! What a new owner knows of evacuations before its engine starts.

use std::time::Duration;

use sycamore_platform::http::Client;
use sycamore_platform::site::{self, key};
use sycamore_standin::fenced::Store;

use super::super::recover;
use crate::config::Evacuations;
use crate::metrics::Meters;

async fn start_store() -> (Store, site::Store) {
    let store = Store::start().await.expect("a free port");
    let client = Client::with_idle_timeout(Duration::from_secs(30));
    let address = store.server.address;
    (store, site::Store::new(address, client))
}

/// Failure: a new owner whose watch lags behind places tasks in an evacuated domain.
#[tokio::test]
async fn a_new_owner_reads_evacuations_that_its_watch_has_not_shown() {
    let (store, client) = start_store().await;
    store.evacuate("a");
    let evacuations = Evacuations::new(Meters::new(), true);

    let state = recover::read(&client, &evacuations).await;

    assert!(state.is_ok());
    assert!(evacuations.subscribe().borrow().domains.contains_key("a"));
}

/// Failure: a new owner takes evacuations that it can't read for none.
#[tokio::test]
async fn a_new_owner_does_not_go_on_without_the_evacuations() {
    let (store, client) = start_store().await;
    store.refuse_prefix(key::EVACUATION_PREFIX);
    let evacuations = Evacuations::new(Meters::new(), true);

    assert!(recover::read(&client, &evacuations).await.is_err());
}
