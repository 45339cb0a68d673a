//! Guarantees of the fenced worker that the scheduler relies on.

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use sycamore_standin::fenced::{Capacity, Worker};

const TASK: &str = "00000000000000a1.0.0.0";

async fn worker() -> Worker<()> {
    let capacity = Capacity { cpu_millis: 1_000, memory_mib: 1_000 };
    Worker::start("one", capacity, ()).await.expect("a free port")
}

async fn call(worker: &Worker<()>, name: &str, body: Value) -> (u16, Value) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::post(format!("http://{}/sycamorechute/{name}", worker.address()))
        .header("sycamorechute-expect-instance", "one")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a request");
    let response = client.request(request).await.expect("a response");
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.expect("its body").to_bytes();
    (status, serde_json::from_slice(&bytes).expect("a document"))
}

fn start(attempt: u64, fence: u64) -> Value {
    json!({
        "task": TASK, "attempt": attempt, "spec": "{\"ms\":50}", "deadline-ms": 60_000,
        "fence": fence,
    })
}

/// A poll that was meant for a previous incarnation may acknowledge a number that the worker
/// hasn't reached. If the number were applied when the run ends during the wait, the end would
/// be dropped before anyone has seen it.
#[tokio::test]
async fn a_poll_applies_its_acknowledgement_on_arrival_only() {
    let worker = worker().await;
    call(&worker, "run-start", start(1, 1)).await;

    let poll = json!({ "fence": 1, "ack-seq": 57, "wait-ms": 2_000 });
    let (_, report) = call(&worker, "hold", poll).await;

    assert_eq!(report["finished"], json!([[1, TASK, 1, "done", ""]]));
}

#[tokio::test]
async fn a_start_with_an_older_fencing_token_is_refused() {
    let worker = worker().await;
    call(&worker, "hold", json!({ "fence": 2 })).await;

    let (status, reply) = call(&worker, "run-start", start(1, 1)).await;

    assert_eq!((status, &reply["reason"]), (409, &json!("fence")));
}

#[tokio::test]
async fn a_stop_rejects_the_attempt_if_its_start_arrives_later() {
    let worker = worker().await;
    call(&worker, "run-stop", json!({ "task": TASK, "attempt": 3, "fence": 1 })).await;

    let (status, reply) = call(&worker, "run-start", start(3, 1)).await;

    assert_eq!((status, &reply["reason"]), (409, &json!("old")));
    assert_eq!(call(&worker, "run-start", start(4, 1)).await.0, 200);
}
