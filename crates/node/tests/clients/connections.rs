//! Connections that stay open and owe bytes, or whose answers are not read.

use std::net::SocketAddr;

use crate::crowd::{Body, Crowd};
use crate::process::Process;
use crate::usage::{open_descriptors, peak_memory_mb, unread_bytes};
use crate::{KEY, Site};

/// Memory that the settings grant the process, in MiB.
const MEMORY_MB: u32 = 64;

/// Descriptors that the settings grant the process.
const MAX_FDS: u32 = 200;

/// Number of clients in a crowd.
const CLIENTS: usize = 300;

/// Opens connections on which a text is sent and nothing else. The process stays within its
/// descriptors and its memory, and serves ordinary requests beside them.
async fn withstands(text: &str) {
    withstands_at(Process::callers, text).await;
}

/// The same at one of the addresses of the process.
async fn withstands_at(address: impl Fn(&Process) -> SocketAddr, text: &str) {
    let site = Site::start(MEMORY_MB, MAX_FDS).await;

    let crowd = Crowd::of_connections(CLIENTS, address(&site.process), text).await;
    site.serves("00000000000000b1").await;
    stays_within_limits(&site);
    drop(crowd);

    site.serves("00000000000000b2").await;
    stays_within_limits(&site);
    site.process.kill().await;
}

fn stays_within_limits(site: &Site) {
    let descriptors = open_descriptors(&site.process);
    assert!(descriptors <= MAX_FDS as usize, "{descriptors} descriptors of {MAX_FDS}");
    // Bytes that the process has not read take memory as well.
    let memory_mb = peak_memory_mb(&site.process) + (unread_bytes(&site.process) >> 20);
    assert!(memory_mb <= u64::from(MEMORY_MB), "{memory_mb} MiB of {MEMORY_MB}");
}

/// Failure: nothing bounded the connections of callers, which left no descriptors for the process's
/// own calls to the store and the workers.
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_say_nothing() {
    withstands("").await;
}

/// Failure: as above.
#[tokio::test(flavor = "multi_thread")]
async fn heads_that_stop_before_their_end() {
    let head = format!("POST /checks/00000000000000c1 HTTP/1.1\r\nX-Pad: {}", "a".repeat(8_000));
    withstands(&head).await;
}

/// Failure: nothing bounded the connections to the listeners for probes and metrics either.
#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_metrics_that_say_nothing() {
    withstands_at(Process::metrics, "").await;
}

/// Failure: as above, with bodies so small that all of them fit into the memory.
#[tokio::test(flavor = "multi_thread")]
async fn small_bodies_that_stop_before_their_end() {
    let head = crate::crowd::head(0xc1, Body::Sized { part: 1_000 }, 1_000);
    withstands(&format!("{head}{{")).await;
}

/// Failure: as above. Besides, requests that wait until earlier answers are read took memory in the
/// kernel without a bound.
#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_answers_are_not_read() {
    let request = format!(
        "GET /checks/00000000000000a1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Api-Key: {KEY}\r\n\r\n"
    );
    withstands(&request.repeat(20_000)).await;
}
