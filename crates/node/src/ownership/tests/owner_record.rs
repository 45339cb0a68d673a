//! Owner records that this system has not written.

use std::time::Duration;

use sycamore_platform::http::Client;
use sycamore_platform::site;
use sycamore_standin::fenced::Store;

use super::super::{OWNER_KEY, OwnerRecord};

const RECORD: &str =
    r#"{"epoch":1,"host":"a","address":"127.0.0.1:9","nonce":1,"is_vacant":false}"#;

async fn read(record: &str) -> (OwnerRecord, u64) {
    let store = Store::start().await.expect("a free port");
    store.overwrite("another/key", b"");
    store.overwrite(OWNER_KEY, record.as_bytes());
    let client = Client::with_idle_timeout(Duration::from_secs(30));
    let client = site::Store::new(store.server.address, client);
    let (record, rev) = OwnerRecord::read(&client).await.expect("a response");
    (record.expect("a record"), rev)
}

/// Failure: an epoch that another writer has left left no higher one to claim. The owner's
/// counter overflowed, and all workers refused its orders.
#[tokio::test]
async fn an_epoch_that_no_claim_has_reached_is_not_continued() {
    for epoch in ["18446744073709551615", "3", "18446744073709551616", "1e400", "-1", "1.5"] {
        let (record, rev) =
            read(&RECORD.replace("\"epoch\":1", &format!("\"epoch\":{epoch}"))).await;

        assert_eq!((record.is_vacant, record.epoch, rev), (true, 2, 2), "{epoch}");
    }
    assert!(!read(RECORD).await.0.is_vacant);
}

/// Failure: a record whose nesting the parser can't hold on its stack ended each process.
#[tokio::test]
async fn a_deeply_nested_record_counts_as_vacant() {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);

    for field in [RECORD, "1", "\"a\"", "false"] {
        assert!(read(&RECORD.replacen(field, &nested, 1)).await.0.is_vacant);
    }
    let unknown = RECORD.replacen("{", &format!("{{\"new\":{nested},"), 1);
    assert!(!read(&unknown).await.0.is_vacant);
}
