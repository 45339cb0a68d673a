//! Calls between processes when connections fail without being closed.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use sycamore_standin::link::{LinkState, Proxy};
use sycamore_wire::{ConnectionKind, Error, Incoming, Pool, encode_frame};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_millis(400);

/// Serves calls with their own number, or with a document of this many bytes for number 0.
async fn server(document_bytes: usize) -> Proxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let reply = move |incoming: Incoming<u32>| reply(incoming, document_bytes);
            tokio::spawn(sycamore_wire::serve(socket, reply));
        }
    });
    Proxy::start(address).await.expect("a free port")
}

async fn reply(incoming: Incoming<u32>, document_bytes: usize) {
    let reply = match incoming.command {
        0 => encode_frame(&vec![0_u8; document_bytes]),
        number => encode_frame(&number),
    };
    if let (Ok((_reader, mut writer)), Ok(reply)) = (incoming.respond(), reply) {
        // Fails when the caller gives the call up.
        let _ = writer.write_bytes(reply, true).await;
    }
}

async fn call(pool: &Pool, link: &Proxy, number: u32) -> Result<u32, Error> {
    pool.call_within(link.address, ConnectionKind::Control, &number, TIMEOUT).await
}

async fn fetch(pool: &Pool, link: &Proxy) -> Result<usize, Error> {
    let document: Result<Vec<u8>, Error> = pool.fetch(link.address, &0_u32, TIMEOUT).await;
    document.map(|document| document.len())
}

#[tokio::test]
async fn a_document_that_takes_longer_than_the_timeout_is_received() {
    let link = server(1_000_000).await;
    link.set_state(LinkState::Narrow(1_250_000));

    assert_eq!(fetch(&Pool::default(), &link).await, Ok(1_000_000));
}

#[tokio::test]
async fn a_document_that_stops_is_given_up() {
    let link = server(1_000_000).await;
    link.set_state(LinkState::Narrow(1_250_000));
    let pool = Pool::default();
    let fetching = fetch(&pool, &link);

    let silence = async {
        tokio::time::sleep(TIMEOUT).await;
        link.set_state(LinkState::Silent);
    };
    let (fetched, ()) = tokio::join!(fetching, silence);

    assert_eq!(fetched, Err(Error::Stalled(400)));
}

/// Time within which a connection that has gone silent is replaced.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(3);

/// Calls were sent on a connection that had gone silent until the kernel gave it up.
#[tokio::test]
async fn calls_after_timeouts_use_a_new_connection() {
    let link = server(0).await;
    let pool = Pool::default();
    assert_eq!(call(&pool, &link, 1).await, Ok(1));
    link.silence_open_connections();

    let started = Instant::now();
    while call(&pool, &link, 2).await.is_err() {
        assert!(started.elapsed() < REPLACE_TIMEOUT);
    }
}

#[tokio::test]
async fn documents_after_timeouts_use_a_new_connection() {
    let link = server(1_000).await;
    let pool = Pool::default();
    assert_eq!(fetch(&pool, &link).await, Ok(1_000));
    link.silence_open_connections();

    let started = Instant::now();
    while fetch(&pool, &link).await.is_err() {
        assert!(started.elapsed() < REPLACE_TIMEOUT);
    }
}

/// Failure: a pool with a source address connected from the address that the system chose.
#[tokio::test]
async fn connections_come_from_the_source_address() {
    let link = server(0).await;
    let source = IpAddr::from([127, 0, 0, 8]);
    link.set_state(LinkState::Reset);
    link.set_state_from(source, LinkState::Slow(1));

    let pool = Pool::with_source_address(Some(source));

    assert_eq!(call(&pool, &link, 1).await, Ok(1));
    assert!(call(&Pool::default(), &link, 2).await.is_err());
}
