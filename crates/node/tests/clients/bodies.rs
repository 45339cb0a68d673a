//! Bodies of legal size that stop just short of their end.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::Site;
use crate::crowd::{Body, Crowd, MAX_BODY_BYTES, chunks, head, padded_job};
use crate::usage::peak_memory_mb;

/// Memory that the settings grant the process, in MiB.
const MEMORY_MB: u32 = 64;

/// Descriptors that the settings grant the process, enough for all of a crowd.
const MAX_FDS: u32 = 4_000;

/// Sends crowds to a process, one after another. It stays within its memory, answers ordinary
/// requests while they are open and afterwards, and runs nothing that they sent.
async fn withstands(crowds: &[(usize, Body, usize)]) {
    let site = Site::start(MEMORY_MB, MAX_FDS).await;
    let mut answers = Vec::new();
    for (round, (clients, body, bytes)) in crowds.iter().enumerate() {
        let crowd = Crowd::of_bodies(*clients, site.process.callers(), *body, *bytes).await;
        site.serves(&format!("{:016x}", 0xb000 + round)).await;
        answers.extend(crowd.into_answers().await);
    }

    site.serves("00000000000000a2").await;
    assert!(answers.iter().all(|status| [408, 503].contains(status)), "{answers:?}");
    let peak_mb = peak_memory_mb(&site.process);
    assert!(peak_mb <= u64::from(MEMORY_MB), "{peak_mb} MiB of {MEMORY_MB}");
    // The ordinary submissions: one at the start, one beside each crowd and one at the end.
    assert_eq!(site.platform.start_times().len(), 2 + crowds.len());
    site.process.kill().await;
}

/// Failure: each body was bounded, all of them together were not, and the process ran out of memory.
#[tokio::test(flavor = "multi_thread")]
async fn many_large_bodies_that_stop_before_their_end() {
    withstands(&[(300, Body::Sized { part: MAX_BODY_BYTES }, MAX_BODY_BYTES)]).await;
}

/// Failure: as above. Bodies that come in pieces took twice the memory.
#[tokio::test(flavor = "multi_thread")]
async fn many_large_bodies_in_pieces_that_stop_before_their_end() {
    withstands(&[(300, Body::Sized { part: 4_096 }, MAX_BODY_BYTES)]).await;
}

/// Failure: as above, with bodies whose length is not known beforehand.
#[tokio::test(flavor = "multi_thread")]
async fn many_chunked_bodies_that_stop_before_their_end() {
    withstands(&[(300, Body::Chunked { chunk: 16_384 }, MAX_BODY_BYTES)]).await;
}

/// Failure: each chunk kept a buffer alive, so that a byte took more than ten.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_of_single_bytes_that_stop_before_their_end() {
    withstands(&[(100, Body::Chunked { chunk: 1 }, 200_000)]).await;
}

/// Failure: as above, with chunks that the process can read faster than single bytes.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_small_chunks_that_stop_before_their_end() {
    withstands(&[(100, Body::Chunked { chunk: 16 }, MAX_BODY_BYTES)]).await;
}

/// Failure: memory was not given back, so that the next crowd began where the last one ended.
#[tokio::test(flavor = "multi_thread")]
async fn crowds_of_large_bodies_one_after_another() {
    let whole = Body::Sized { part: MAX_BODY_BYTES };
    let pieces = Body::Sized { part: 4_096 };
    let chunked = Body::Chunked { chunk: 1_000 };
    let crowd = |body| (200, body, MAX_BODY_BYTES);
    withstands(&[crowd(whole), crowd(pieces), crowd(chunked), crowd(pieces)]).await;
}

/// The limits must not refuse what the platform's documentation allows.
#[tokio::test(flavor = "multi_thread")]
async fn a_single_body_of_the_largest_size_is_served() {
    let site = Site::start(MEMORY_MB, MAX_FDS).await;
    let text = padded_job(MAX_BODY_BYTES);
    let sized = Body::Sized { part: MAX_BODY_BYTES };
    let chunked = Body::Chunked { chunk: 1 };
    let end = b"0\r\n\r\n".to_vec();

    for (number, body, sent) in [
        (0xc1, sized, text.clone()),
        (0xc2, Body::Chunked { chunk: 16_384 }, [chunks(&text, 16_384), end.clone()].concat()),
        (0xc3, chunked, [chunks(&text[..50_000], 1), end].concat()),
    ] {
        let mut socket = TcpStream::connect(site.process.callers()).await.expect("a connection");
        let request = [head(number, body, text.len()).into_bytes(), sent].concat();
        socket.write_all(&request).await.expect("the request is sent");
        let mut status = [0; 12];
        socket.read_exact(&mut status).await.expect("an answer");

        assert_eq!(String::from_utf8_lossy(&status), "HTTP/1.1 200", "{body:?}");
    }
    site.process.kill().await;
}

/// Guards against a stop that waits for bodies that don't arrive.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_stops_beside_bodies_that_stop_before_their_end() {
    let site = Site::start(MEMORY_MB, MAX_FDS).await;
    let body = Body::Sized { part: MAX_BODY_BYTES };
    let crowd = Crowd::of_bodies(50, site.process.callers(), body, MAX_BODY_BYTES).await;

    let is_success = site.process.terminate(Duration::from_secs(30)).await;

    assert!(is_success);
    drop(crowd);
}
