//! How the evacuated failure domains reach a process.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamore_platform::http::Client;
use sycamore_platform::site::{self, WatchResponse};
use sycamore_standin::fenced::{Mode, Store};
use sycamore_types::Name;

use super::super::{Configs, Evacuations};
use crate::metrics::Meters;

/// Time within which a change must be known while the store answers. Of the 5 s after which no
/// task may start in the domain, an order in flight and its deadline take up to 2.3 s.
const KNOWN_TIMEOUT: Duration = Duration::from_millis(2_500);

fn evacuations() -> Evacuations {
    Evacuations::new(Meters::new(), true)
}

fn set(domains: &[(&str, u64)]) -> BTreeMap<Name, u64> {
    domains.iter().map(|(domain, revision)| (Name::from(*domain), *revision)).collect()
}

/// A response to a watch of `op/` with these changes: key, whether it was removed, revision.
fn response(as_of: u64, changes: &[(&str, bool, u64)]) -> WatchResponse {
    let event = |(key, removed, rev): &(&str, bool, u64)| {
        format!(r#"{{"key":"{key}","value":"e30=","removed":{removed},"rev":{rev}}}"#)
    };
    let events: Vec<String> = changes.iter().map(event).collect();
    let text = format!(r#"{{"events":[{}],"as-of":{as_of}}}"#, events.join(","));
    WatchResponse::parse(text.as_bytes()).expect("a response")
}

fn known(evacuations: &Evacuations) -> Vec<String> {
    evacuations.subscribe().borrow().domains.keys().map(|domain| domain.to_string()).collect()
}

/// Failure: a reading that was slow undoes an evacuation that the watch has shown meanwhile.
#[test]
fn an_older_reading_does_not_undo_a_newer_change() {
    let evacuations = evacuations();
    evacuations.apply_changes(&response(8, &[("op/evacuate/a", false, 7)]));

    evacuations.apply_read(6, set(&[]));

    assert_eq!(known(&evacuations), ["a"]);
}

/// Failure: the response to a watch that began long ago undoes a newer reading.
#[test]
fn an_older_change_does_not_undo_a_newer_reading() {
    let evacuations = evacuations();
    evacuations.apply_read(10, set(&[("a", 9)]));

    let removed_before = response(12, &[("op/evacuate/a", true, 8), ("op/evacuate/b", false, 11)]);
    evacuations.apply_changes(&removed_before);

    assert_eq!(known(&evacuations), ["a", "b"]);
}

/// Failure: of several changes in one response, another than the last one counts.
#[test]
fn the_last_change_of_a_response_counts() {
    let evacuations = evacuations();

    evacuations.apply_changes(&response(
        5,
        &[
            ("op/evacuate/a", false, 1),
            ("op/evacuate/a", true, 2),
            ("op/evacuate/b", false, 3),
            ("op/evacuate/b", true, 4),
            ("op/evacuate/a", false, 5),
        ],
    ));

    assert_eq!(known(&evacuations), ["a"]);
}

/// Failure: changes are dropped because the store tells no revision for each of them.
#[test]
fn a_change_without_a_revision_is_dated_by_its_response() {
    let evacuations = evacuations();
    evacuations.apply_read(3, set(&[]));

    evacuations.apply_changes(&response(5, &[("op/evacuate/a", false, 0)]));

    assert_eq!(known(&evacuations), ["a"]);
}

/// Failure: the configuration, or another key of operators, is taken for a failure domain.
#[test]
fn other_keys_evacuate_nothing() {
    let evacuations = evacuations();
    let others = [("op/config", false, 1), ("op/evacuate/", false, 2), ("op/evacuated", false, 3)];

    evacuations.apply_changes(&response(4, &others));

    assert!(known(&evacuations).is_empty());
}

/// Failure: owners are woken by each response to a watch, although nothing has changed.
#[test]
fn receivers_are_notified_of_changes_only() {
    let evacuations = evacuations();
    let mut changes = evacuations.subscribe();

    evacuations.apply_changes(&response(5, &[]));
    assert!(!changes.has_changed().expect("a sender"));
    evacuations.apply_changes(&response(6, &[("op/evacuate/a", false, 6)]));

    assert!(changes.has_changed().expect("a sender"));
    assert_eq!(changes.borrow_and_update().revision, 6);
}

async fn start_store() -> (Store, site::Store) {
    let store = Store::start().await.expect("a free port");
    let client = Client::with_idle_timeout(Duration::from_secs(30));
    let address = store.server.address;
    (store, site::Store::new(address, client))
}

/// Starts to follow a store that has a configuration.
async fn follow(configs: Configs) -> (Store, Configs) {
    let (store, client) = start_store().await;
    store.configure(&serde_json::json!({ "version": 1 }));
    tokio::spawn(configs.clone().follow_store(client));
    let mut applied = configs.subscribe();
    let is_applied = applied.wait_for(|current| current.is_some());
    tokio::time::timeout(KNOWN_TIMEOUT, is_applied).await.expect("in time").expect("a sender");
    (store, configs)
}

/// Fails unless exactly these failure domains are known in time.
async fn expect_known(configs: &Configs, domains: &[&str]) {
    let mut changes = configs.evacuations.subscribe();
    let expected = changes
        .wait_for(|known| known.domains.keys().map(|name| &**name).eq(domains.iter().copied()));
    if tokio::time::timeout(KNOWN_TIMEOUT, expected).await.is_err() {
        panic!("{:?} known instead of {domains:?}", known(&configs.evacuations));
    }
}

/// Failure: a process reads the set at its start only, or only the first change of it.
#[tokio::test]
async fn an_evacuation_is_followed_while_it_is_set_removed_and_set_again() {
    let (store, configs) = follow(Configs::new(Meters::new()).with_evacuations()).await;

    for _ in 0..3 {
        store.evacuate("a");
        expect_known(&configs, &["a"]).await;
        store.evacuate("b");
        expect_known(&configs, &["a", "b"]).await;
        store.end_evacuation("a");
        store.end_evacuation("b");
        expect_known(&configs, &[]).await;
    }
}

/// Failure: a process that starts during an evacuation does not know of it.
#[tokio::test]
async fn an_evacuation_from_before_the_start_is_known() {
    let (store, client) = start_store().await;
    store.evacuate("a");
    // No configuration was written yet.
    let configs = Configs::new(Meters::new()).with_evacuations();

    tokio::spawn(configs.clone().follow_store(client));

    expect_known(&configs, &["a"]).await;
}

/// Failure: changes are missed for good that were made while the store was out of reach and that
/// its history no longer has.
#[tokio::test]
async fn changes_that_the_history_has_lost_are_read_again() {
    let (store, configs) = follow(Configs::new(Meters::new()).with_evacuations()).await;
    store.evacuate("a");
    expect_known(&configs, &["a"]).await;

    store.set_mode(Mode::Unavailable);
    tokio::time::sleep(Duration::from_millis(1_800)).await;
    store.end_evacuation("a");
    store.evacuate("b");
    store.forget_history();
    store.set_mode(Mode::Normal);

    expect_known(&configs, &["b"]).await;
}

/// Failure: a process forgets the evacuation when it can't read the store.
#[tokio::test]
async fn an_evacuation_stays_known_while_the_store_is_unavailable() {
    let (store, configs) = follow(Configs::new(Meters::new()).with_evacuations()).await;
    store.evacuate("a");
    expect_known(&configs, &["a"]).await;

    store.set_mode(Mode::Unavailable);
    tokio::time::sleep(Duration::from_millis(2_500)).await;

    assert_eq!(known(&configs.evacuations), ["a"]);
}

/// Failure: the change is known too late while the store is slow. 240 ms is its slowest documented
/// response.
#[tokio::test]
async fn an_evacuation_is_known_in_time_while_the_store_is_slow() {
    let (store, configs) = follow(Configs::new(Meters::new()).with_evacuations()).await;

    store.set_mode(Mode::Slow(Duration::from_millis(240)));
    store.evacuate("a");

    expect_known(&configs, &["a"]).await;
}

/// Failure: the configuration is no longer followed where evacuations are.
#[tokio::test]
async fn the_configuration_is_followed_beside_evacuations() {
    let (store, configs) = follow(Configs::new(Meters::new()).with_evacuations()).await;
    let mut applied = configs.subscribe();

    store.evacuate("a");
    store.configure(&serde_json::json!({ "version": 2 }));
    let second = applied.wait_for(|current| {
        current.as_ref().is_some_and(|current| current.config.catalog.version == 2)
    });

    tokio::time::timeout(KNOWN_TIMEOUT, second).await.expect("in time").expect("a sender");
    expect_known(&configs, &["a"]).await;
}

/// Failure: deployments whose settings don't call for evacuations follow them.
#[tokio::test]
async fn nothing_is_evacuated_where_evacuations_are_not_in_use() {
    let (store, configs) = follow(Configs::new(Meters::new())).await;

    store.evacuate("a");
    store.configure(&serde_json::json!({ "version": 2 }));
    let mut applied = configs.subscribe();
    let second = applied.wait_for(|current| {
        current.as_ref().is_some_and(|current| current.config.catalog.version == 2)
    });
    tokio::time::timeout(KNOWN_TIMEOUT, second).await.expect("in time").expect("a sender");

    assert!(known(&configs.evacuations).is_empty());
}

/// Failure: a set of more than one page is read in part.
#[tokio::test]
async fn a_reading_returns_all_domains_and_the_revision_to_continue_from() {
    let (store, client) = start_store().await;
    store.set_max_page_items(7);
    (0..30).for_each(|number| store.evacuate(&format!("domain-{number:02}")));
    let evacuations = evacuations();

    let revision = evacuations.read(&client).await.expect("a reply");

    assert_eq!(revision, Some(30));
    assert_eq!(known(&evacuations).len(), 30);
}

/// Failure: a value that can't be read, or a domain whose name a URL can't hold, kept processes
/// from reading the other evacuations. The key alone evacuates the domain.
#[tokio::test]
async fn a_reading_holds_whatever_the_values_and_names_are() {
    let (store, client) = start_store().await;
    store.set_max_page_items(1);
    ["a", "b c&d", "e\u{e9}", "f"].iter().for_each(|domain| store.evacuate(domain));
    store.overwrite("op/evacuate/g", "[".repeat(100_000).as_bytes());
    store.corrupt_row("op/evacuate/h");
    let evacuations = evacuations();

    evacuations.read(&client).await.expect("a reading");

    assert_eq!(known(&evacuations), ["a", "b c&d", "e\u{e9}", "f", "g", "h"]);
}

/// Failure: a change that can't be read hid that a domain is evacuated, or ended each later watch.
#[tokio::test]
async fn a_change_that_cannot_be_read_is_read_again() {
    let (store, configs) = follow(Configs::new(Meters::new()).with_evacuations()).await;

    store.corrupt_row("op/evacuate/a");
    expect_known(&configs, &["a"]).await;
    store.evacuate("b");
    expect_known(&configs, &["a", "b"]).await;
    store.end_evacuation("a");

    expect_known(&configs, &["b"]).await;
}
