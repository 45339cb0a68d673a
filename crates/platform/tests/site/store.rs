//! Responses of the store that carry rows which can't be read.

use std::time::Duration;

use sycamore_platform::http::Client;
use sycamore_platform::site::{Page, Store, StoreError, WatchResponse};
use yare::parameterized;

use crate::responder::Responder;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Levels of a value that overflows the stack of a parser that recurses.
const MANY_LEVELS: usize = 200_000;

async fn range(body: impl Into<Vec<u8>>) -> Result<Page, StoreError> {
    let server = Responder::start(body).await;
    Store::new(server.address, Client::new()).range("servers/", "", TIMEOUT).await
}

async fn watch(body: impl Into<Vec<u8>>) -> Result<WatchResponse, StoreError> {
    let server = Responder::start(body).await;
    let store = Store::new(server.address, Client::new());
    store.watch("op/", 1, Duration::ZERO, u64::MAX).await
}

fn item(key: &str, rev: u64) -> String {
    format!(r#"{{"key":"{key}","value":"e30=","rev":{rev},"created":1,"lease":0}}"#)
}

fn page(rows: &[&str], has_more: bool) -> String {
    let rows = rows.join(",");
    format!(r#"{{"items":[{rows}],"more-pages":{has_more},"as-of":90}}"#)
}

fn brackets() -> String {
    "[".repeat(MANY_LEVELS) + &"]".repeat(MANY_LEVELS)
}

/// Failure: one row that can't be read made the whole page unreadable, so that no process followed
/// the list of workers any more.
#[parameterized(
    no_object = { "7" },
    no_key = { r#"{"value":"e30=","rev":3}"# },
    no_revision = { r#"{"key":"servers/b","value":"e30="}"# },
    revision_too_large = { r#"{"key":"servers/b","value":"e30=","rev":18446744073709551616}"# },
    revision_out_of_range = { r#"{"key":"servers/b","value":"e30=","rev":1e400}"# },
    revision_negative = { r#"{"key":"servers/b","value":"e30=","rev":-1}"# },
    revision_fraction = { r#"{"key":"servers/b","value":"e30=","rev":1.5}"# },
    value_no_string = { r#"{"key":"servers/b","value":{"a":[1]},"rev":3}"# },
    value_no_base64 = { r#"{"key":"servers/b","value":"e30","rev":3}"# },
    key_of_another_type = { r#"{"key":["servers/b"],"value":"e30=","rev":3}"# },
    odd_surrogate = { r#"{"key":"servers/\ud800","value":"e30=","rev":3}"# },
)]
#[test_macro(tokio::test)]
async fn a_row_that_cannot_be_read_costs_that_row_only(row: &str) {
    let body = page(&[&item("servers/a", 1), row, &item("servers/c", 2)], false);

    let page = range(body).await.unwrap();

    let keys: Vec<&str> = page.items.iter().map(|item| &*item.key).collect();
    assert_eq!(keys, ["servers/a", "servers/c"]);
    assert_eq!((page.malformed.len(), page.as_of, page.next), (1, 90, None));
}

/// Failure: as above, for a row whose nesting a recursive parser can't hold on its stack, in place
/// of the value and in a field that is skipped.
#[parameterized(in_value = { "value" }, in_an_unknown_field = { "unknown" })]
#[test_macro(tokio::test)]
async fn a_deeply_nested_row_costs_at_most_that_row(field: &str) {
    let row = format!(r#"{{"key":"servers/b","{field}":{},"rev":3}}"#, brackets());
    let body = page(&[&item("servers/a", 1), &row, &brackets(), &item("servers/c", 2)], false);

    let page = range(body).await.unwrap();

    let keys: Vec<&str> = page.items.iter().map(|item| &*item.key).collect();
    assert_eq!((keys[0], keys[keys.len() - 1]), ("servers/a", "servers/c"));
    assert!(page.malformed.iter().any(|row| row.key.is_none()));
}

/// Failure: bytes in one row that are not UTF-8 made the whole page unreadable.
#[tokio::test]
async fn a_row_with_bytes_that_are_no_text_costs_that_row_only() {
    let rows = [item("servers/a", 1), item("servers/b", 3).replace("e30=", "?")];
    let mut body = page(&[&rows[0], &rows[1]], false).into_bytes();
    body.iter_mut().filter(|byte| **byte == b'?').for_each(|byte| *byte = 0xff);

    let page = range(body).await.unwrap();

    assert_eq!(page.items[0].key, "servers/a");
    assert_eq!(page.malformed[0].key.as_deref(), Some("servers/b"));
}

/// Failure: the next page began before a row at the end that can't be read, or nowhere.
#[tokio::test]
async fn the_next_page_begins_after_the_last_key_that_can_be_read() {
    let odd_value = r#"{"key":"servers/b","value":7,"rev":3}"#;
    let after_value = range(page(&[&item("servers/a", 1), odd_value], true)).await.unwrap();
    let after_row = range(page(&[&item("servers/a", 1), "7"], true)).await.unwrap();

    assert_eq!(after_value.next.as_deref(), Some("servers/b"));
    assert_eq!(after_row.next.as_deref(), Some("servers/a"));
}

/// Failure: the store refused the key after which the next page was to begin, for good.
#[tokio::test]
async fn the_next_page_begins_after_a_key_that_the_store_accepts() {
    let long = item(&format!("servers/{}", "b".repeat(200)), 3);
    let alone = range(page(&[&item("servers/a", 1), &long], true)).await.unwrap();
    let beside = range(page(&[&item("servers/a", 1), &long, "7"], true)).await.unwrap();

    assert_eq!(alone.next.as_deref(), Some("servers/a"));
    assert_eq!(beside.next.as_deref(), Some("servers/a"));
}

/// Failure: a page after which nothing can be read counted as the end of the list, so that the
/// workers behind it counted as gone.
#[tokio::test]
async fn a_page_without_any_key_is_not_the_last_one() {
    assert!(range(page(&["7", "8"], true)).await.is_err());
    assert!(range(page(&[], true)).await.is_err());
}

/// Failure: a key with characters that a URL can't hold ended the reading of the list at each page
/// that ended with it. An ampersand made the store begin at another key.
#[tokio::test]
async fn a_key_is_encoded_in_the_query() {
    let mut server = Responder::start(page(&[], false)).await;
    let store = Store::new(server.address, Client::new());

    store.range("servers/", "servers/a b&c#\u{e9}%", TIMEOUT).await.unwrap();
    store.range("servers/", "servers/i-7f_0.1~", TIMEOUT).await.unwrap();

    let odd = server.requests.recv().await.unwrap();
    assert!(odd.contains("&after=servers/a%20b%26c%23%C3%A9%25 "), "{odd}");
    let usual = server.requests.recv().await.unwrap();
    assert!(usual.contains("?prefix=servers/&after=servers/i-7f_0.1~ "), "{usual}");
}

/// Failure: one change that can't be read ended each watch from before it.
#[parameterized(
    no_object = { "7" },
    value_no_string = { r#"{"key":"op/x","value":7,"rev":3}"# },
    revision_too_large = { r#"{"key":"op/x","value":"e30=","rev":18446744073709551616}"# },
)]
#[test_macro(tokio::test)]
async fn a_change_that_cannot_be_read_costs_that_change_only(row: &str) {
    let body = format!(r#"{{"events":[{row},{}],"as-of":90}}"#, item("op/config", 4));

    let response = watch(body).await.unwrap();

    assert_eq!((response.events.len(), &*response.events[0].key), (1, "op/config"));
    assert_eq!((response.malformed.len(), response.as_of), (1, 90));
}
