//! Bodies of legal size that take much memory to read.

use serde_json::json;

use crate::process::call;
use crate::usage::peak_memory_mb;
use crate::{KEY, Site};

/// Memory that the settings grant the process, in MiB.
const MEMORY_MB: u32 = 32;

/// Descriptors that the settings grant the process.
const MAX_FDS: u32 = 1_000;

/// Submits a body. The process stays within its memory, refuses it and serves an ordinary request.
async fn withstands(body: &str) {
    let site = Site::start(MEMORY_MB, MAX_FDS).await;

    let response = call("POST", &site.process.url("00000000000000b1"), KEY, body).await;

    assert_eq!(response.map(|(status, _)| status), Some(400));
    site.serves("00000000000000a2").await;
    let peak_mb = peak_memory_mb(&site.process);
    assert!(peak_mb <= u64::from(MEMORY_MB), "{peak_mb} MiB of {MEMORY_MB}");
    site.process.kill().await;
}

/// Failure: all steps of a body were read, each into a hundred times its text, before their number was
/// checked.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_of_very_many_steps() {
    withstands(&json!({ "spec": "work", "steps": vec![json!({}); 80_000] }).to_string()).await;
}
