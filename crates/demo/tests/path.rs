//! The whole network path on loopback: callers, operators, entry processes, schedulers, workers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use sycamore_core::member::{Record, Role};
use sycamore_core::store::{MEMBER_PREFIX, decode_value};
use sycamore_ctl::Error;
use sycamore_demo::{CallOutcome, Caller, Deployment, Profile};
use sycamore_platform::Address;
use sycamore_platform::http::Client;
use sycamore_platform::otlp::Tracer;
use sycamore_platform::store::Faults;
use sycamore_scheduler::RecordDestination;
use sycamore_standin::Server;
use sycamore_telemetry::trace::TraceContext;
use tokio::sync::Mutex;

const WORKERS: usize = 16;

/// Serializes the tests. Leases run in real time, and deployments that compete for the CPU could
/// let them expire.
static DEPLOYMENT_LOCK: Mutex<()> = Mutex::const_new(());

/// Time limit for a call or a condition, long enough for a slow host.
const TIMEOUT: Duration = Duration::from_secs(60);

async fn deployment() -> Deployment {
    Deployment::start(Profile::mwakilema(), WORKERS, 2, RecordDestination::Nowhere).await.unwrap()
}

fn caller(deployment: &Deployment) -> Caller {
    let team = deployment.profile.teams[0];
    Caller::new(deployment.entries[0].address, team, &deployment.profile.secret(team))
}

async fn post(deployment: &Deployment, path: &str, body: Vec<u8>) -> Response<Bytes> {
    let secret = deployment.profile.secret(deployment.profile.teams[0]);
    let request = Request::post(format!("http://{}{path}", deployment.entries[0].address))
        .header("authorization", format!("Bearer {secret}"))
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    Client::new().call(request, TIMEOUT).await.unwrap()
}

/// Waits until a condition holds. Returns `false` if it does not within [`TIMEOUT`].
async fn wait_until<F: Future<Output = bool>>(mut is_met: impl FnMut() -> F) -> bool {
    let end = tokio::time::Instant::now() + TIMEOUT;
    while tokio::time::Instant::now() < end {
        if is_met().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_is_refused_with_its_cause() {
    let _lock = DEPLOYMENT_LOCK.lock().await;
    let deployment = deployment().await;
    let cases = [
        (json!({ "tasks": 0, "size": { "slots": 1 } }).to_string(), "tasks"),
        (json!({ "tasks": 1 }).to_string(), "size.slots"),
        (json!({ "tasks": -1, "size": { "slots": 1 } }).to_string(), "-1"),
        (json!({ "tasks": 1, "size": { "slots": 1 }, "selector": "a near b" }).to_string(), "near"),
        (json!({ "tasks": 1, "size": { "slots": 1 }, "queue": "ghost" }).to_string(), "queue"),
        (json!({ "taks": 1 }).to_string(), "taks"),
        ("{".to_string(), "body"),
    ];
    for (body, expected) in cases {
        let response = post(&deployment, "/v1/jobs", body.clone().into_bytes()).await;
        let text = String::from_utf8_lossy(response.body()).into_owned();
        assert_eq!(response.status(), StatusCode::BAD_REQUEST, "{body}: {text}");
        assert_eq!(response.headers()["x-outcome"], "not_run", "{body}");
        assert!(text.contains(expected), "{body}: {text}");
    }
    let too_large = post(&deployment, "/v1/jobs", vec![b' '; 100_000]).await;
    assert_eq!(too_large.status(), StatusCode::PAYLOAD_TOO_LARGE);
    let unknown_path = post(&deployment, "/v1/nowhere", Vec::new()).await;
    assert_eq!(unknown_path.status(), StatusCode::NOT_FOUND);
    let unknown_service = post(&deployment, "/v1/services/ghost/x", Vec::new()).await;
    assert_eq!(unknown_service.status(), StatusCode::BAD_REQUEST);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_body_reaches_the_worker_whole() {
    let _lock = DEPLOYMENT_LOCK.lock().await;
    let deployment = deployment().await;
    let body = vec![7; 3 * 1024 * 1024];
    let response = post(&deployment, "/v1/services/stall-desk/photos", body.clone()).await;
    assert_eq!(response.status(), StatusCode::OK);
    let body_report: Value = serde_json::from_slice(response.body()).unwrap();
    assert_eq!(body_report["received"], json!(body.len()));
    assert!(response.headers().contains_key("traceparent"));
    assert_eq!(response.headers()["x-request-id"], body_report["request"].as_str().unwrap());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_is_refused_and_concurrent_changes_conflict() {
    let _lock = DEPLOYMENT_LOCK.lock().await;
    let deployment = deployment().await;
    let caller = caller(&deployment);
    let operator = deployment.operator();
    let before = operator.config().await.unwrap();
    let mut changed = before.document.clone();
    changed.keys.clear();

    let report = operator.put(before.revision, &changed).await.unwrap();

    assert_eq!(report["in_force"], report["of"], "{report}");
    let caller = caller.via(deployment.entries[1].address);
    let outcome = caller.request("stall-desk", "holds", None).await;
    assert_eq!(outcome, CallOutcome::NotRun("key_withdrawn".to_string()));
    let late = operator.put(before.revision, &before.document).await;
    assert!(matches!(late, Err(Error::Conflict(_))), "{late:?}");
    assert_eq!(operator.config().await.unwrap().document, changed);
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_cancelled_and_interactive_requests_run_during_a_store_outage() {
    let _lock = DEPLOYMENT_LOCK.lock().await;
    let deployment = deployment().await;
    let caller = caller(&deployment);
    let spec =
        json!({ "tasks": 4, "size": { "slots": 1 }, "run_ms": 600_000, "restartable": true });
    let CallOutcome::Answered(body) = caller.submit(&spec).await else { panic!("not accepted") };
    let name =
        serde_json::from_slice::<Value>(&body).unwrap()["name"].as_str().unwrap().to_string();
    let is_running = wait_until(|| async {
        caller.status(&name).await.is_some_and(|status| status["running"] == json!(4))
    });
    assert!(is_running.await);

    assert!(matches!(caller.cancel(&name).await, CallOutcome::Answered(_)));

    let is_cancelled = wait_until(|| async {
        let status = caller.status(&name).await.unwrap_or_default();
        status["progress"] == json!("cancelled") && status["running"] == json!(0)
    });
    assert!(is_cancelled.await);
    // During a store outage, a scheduler stays the owner by promises of the peers that its member
    // record names. Right after the start the record may name none yet.
    assert!(wait_until(|| async { peers_are_named(&deployment) }).await);
    deployment.platform.store.set_faults(Faults { is_down: true, ..Faults::default() });
    // Longer than the lease of a scheduler, `Timing::ttl`, so that the owners stay owners only by
    // promises of their peers.
    tokio::time::sleep(Duration::from_secs(5)).await;
    // The test harness shows this output if the test fails.
    for scheduler in &deployment.schedulers {
        println!("{:?}", scheduler.view().await);
    }
    let request = caller.request("stall-desk", "gate", None).await;
    for scheduler in &deployment.schedulers {
        println!("{:?}", scheduler.view().await);
    }
    let job = caller.submit(&spec).await;
    assert!(matches!(request, CallOutcome::Answered(_)), "{request:?}");
    assert_eq!(job, CallOutcome::NotRun("store_unavailable".to_string()));
    assert_eq!(deployment.platform.run_tracker.violations().total(), 0);
}

/// Returns whether the member record of each scheduler names the other one.
fn peers_are_named(deployment: &Deployment) -> bool {
    let values = deployment.platform.store.values(MEMBER_PREFIX);
    let record = |value: &Vec<u8>| serde_json::from_slice::<Record>(decode_value(value)?.1).ok();
    let schedulers =
        values.iter().filter_map(record).filter(|record| record.role == Role::Scheduler);
    let peer_counts: Vec<usize> = schedulers.map(|record| record.peers.len()).collect();
    peer_counts.len() == deployment.schedulers.len() && peer_counts.iter().all(|count| *count > 0)
}

/// Returns the number of decisions that the chain heads cover.
fn decision_count(heads: &Value) -> u64 {
    let shards = heads.as_object().into_iter().flat_map(|shards| shards.values());
    let epochs = shards.filter_map(|shard| shard["epochs"].as_object());
    epochs.flat_map(|epochs| epochs.values()).filter_map(|head| head["sequence"].as_u64()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn decisions_are_recorded_and_the_stream_matches_the_heads() {
    let _lock = DEPLOYMENT_LOCK.lock().await;
    let file = std::env::temp_dir().join(format!("sycamore-records-{}", std::process::id()));
    let records = RecordDestination::File(file.clone());
    let deployment = Deployment::start(Profile::sialkot(), WORKERS, 2, records).await.unwrap();
    let caller =
        Caller::new(deployment.entries[0].address, "export", &deployment.profile.secret("export"));
    for number in 0..20 {
        let outcome = caller.request("orderdesk", &format!("quote/{number}"), None).await;
        assert!(matches!(outcome, CallOutcome::Answered(_)), "{outcome:?}");
    }
    let operator = deployment.operator();
    // Heads are written to the store every few seconds, so they lag behind the stream.
    let has_heads = wait_until(|| async {
        let heads = operator.get("/v1/heads").await.unwrap_or_default();
        decision_count(&heads) >= 20
    });
    assert!(has_heads.await);

    let heads = serde_json::from_value(operator.get("/v1/heads").await.unwrap()).unwrap();
    let text = std::fs::read_to_string(&file).unwrap();
    let _ = std::fs::remove_file(&file);

    assert_eq!(sycamore_audit::verify(text.lines(), &heads), Vec::new());
    assert!(text.lines().count() >= 20);
}

/// Starts a collector that keeps the bodies of exported spans.
async fn collector() -> (std::net::SocketAddr, Arc<std::sync::Mutex<Vec<Value>>>, Server) {
    let bodies: Arc<std::sync::Mutex<Vec<Value>>> = Arc::default();
    let received = bodies.clone();
    let server = Server::start(Arc::default(), move |request: Request<hyper::body::Incoming>| {
        let received = received.clone();
        async move {
            let bytes = request.into_body().collect().await.ok()?.to_bytes();
            received.lock().unwrap().push(serde_json::from_slice(&bytes).ok()?);
            Some(Response::new(Full::new(Bytes::new())))
        }
    })
    .await
    .unwrap();
    (server.address, bodies, server)
}

#[tokio::test(flavor = "multi_thread")]
async fn spans_of_all_hops_reach_the_collector() {
    let (address, bodies, _server) = collector().await;
    let tracer = Tracer::new(Some(Address(address)), "test");
    let caller = TraceContext::parse("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
    let outer = tracer.begin("entry", caller);
    let inner = tracer.begin("scheduler", Some(outer.context()));
    let inner_parent = format!("{:016x}", outer.context().span_id);
    drop(inner);
    drop(outer);

    let has_both = wait_until(|| async { text_of(&bodies).contains("\"name\":\"entry\"") });
    assert!(has_both.await);
    let text = text_of(&bodies);
    assert!(text.contains(&format!("\"parentSpanId\":\"{inner_parent}\"")), "{text}");
    assert!(text.contains("\"parentSpanId\":\"b7ad6b7169203331\""), "{text}");
    assert_eq!(text.matches("0af7651916cd43dd8448eb211c80319c").count(), 2, "{text}");
}

fn text_of(bodies: &std::sync::Mutex<Vec<Value>>) -> String {
    bodies.lock().unwrap().iter().map(Value::to_string).collect()
}
