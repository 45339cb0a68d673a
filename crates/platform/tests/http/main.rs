//! Time limits of the HTTP client, against servers that read and write slowly.

mod slow_server;

use std::time::Duration;

use http::Request;
use http_body_util::Full;
use slow_server::{Pace, SlowServer};
use sycamore_platform::http::{Client, Error};

const TIMEOUT: Duration = Duration::from_millis(300);

async fn call(server: &SlowServer, body: Vec<u8>) -> Result<usize, Error> {
    let request = Request::post(format!("http://{}/", server.address));
    let request = request.body(Full::new(body.into())).expect("a request");
    let response = Client::new().call(request, TIMEOUT).await?;
    Ok(response.into_body().len())
}

fn error_text(result: Result<usize, Error>) -> String {
    result.expect_err("the call is given up").to_string()
}

/// Incident inc1: a body was cut off at the time limit of the call although it kept arriving.
#[tokio::test]
async fn a_response_that_takes_longer_than_the_timeout_is_received() {
    let pace = Pace { bytes: 100_000, chunk: 10_000, pause: Duration::from_millis(60) };
    let server = SlowServer::responding(pace).await;

    assert_eq!(call(&server, Vec::new()).await, Ok(100_000));
}

#[tokio::test]
async fn a_response_that_stops_is_given_up() {
    let pace = Pace { bytes: 100_000, chunk: 50_000, pause: Duration::from_secs(60) };
    let server = SlowServer::responding(pace).await;

    let error = error_text(call(&server, Vec::new()).await);

    assert!(error.contains("50000 of the response received"), "{error}");
}

#[tokio::test]
async fn a_response_that_trickles_is_given_up() {
    let pace = Pace { bytes: 100_000, chunk: 10, pause: Duration::from_millis(50) };
    let server = SlowServer::responding(pace).await;

    let started = std::time::Instant::now();
    let error = error_text(call(&server, Vec::new()).await);

    assert!(error.contains("no progress"), "{error}");
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}

/// Incident inc1, the other direction: a large page of the log would have been cut off as well.
#[tokio::test]
async fn a_request_that_takes_longer_than_the_timeout_is_sent() {
    let pace = Pace { bytes: 4_000_000, chunk: 100_000, pause: Duration::from_millis(25) };
    let server = SlowServer::reading(pace).await;

    assert_eq!(call(&server, vec![0; 4_000_000]).await, Ok(2));
}

#[tokio::test]
async fn a_request_that_nobody_reads_is_given_up() {
    let pace = Pace { bytes: 4_000_000, chunk: 100_000, pause: Duration::from_secs(60) };
    let server = SlowServer::reading(pace).await;

    let error = error_text(call(&server, vec![0; 4_000_000]).await);

    assert!(error.contains("0 of the response received"), "{error}");
}
