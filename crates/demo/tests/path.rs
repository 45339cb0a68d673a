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
static TURN: Mutex<()> = Mutex::const_new(());

/// Time limit for a call or a condition, long enough for a slow host.
const PATIENCE: Duration = Duration::from_secs(60);

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
    Client::new().call(request, PATIENCE).await.unwrap()
}

/// Waits until a condition holds. Returns `false` if it does not within [`PATIENCE`].
async fn until<F: Future<Output = bool>>(mut holds: impl FnMut() -> F) -> bool {
    let end = tokio::time::Instant::now() + PATIENCE;
    while tokio::time::Instant::now() < end {
        if holds().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_a_clear_answer() {
    let _turn = TURN.lock().await;
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
    for (body, named) in cases {
        let answer = post(&deployment, "/v1/jobs", body.clone().into_bytes()).await;
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        assert_eq!(answer.status(), StatusCode::BAD_REQUEST, "{body}: {text}");
        assert_eq!(answer.headers()["x-outcome"], "not_run", "{body}");
        assert!(text.contains(named), "{body}: {text}");
    }
    let huge = post(&deployment, "/v1/jobs", vec![b' '; 100_000]).await;
    assert_eq!(huge.status(), StatusCode::PAYLOAD_TOO_LARGE);
    let nowhere = post(&deployment, "/v1/nowhere", Vec::new()).await;
    assert_eq!(nowhere.status(), StatusCode::NOT_FOUND);
    let service = post(&deployment, "/v1/services/ghost/x", Vec::new()).await;
    assert_eq!(service.status(), StatusCode::BAD_REQUEST);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_body_reaches_the_worker_whole() {
    let _turn = TURN.lock().await;
    let deployment = deployment().await;
    let body = vec![7; 3 * 1024 * 1024];
    let answer = post(&deployment, "/v1/services/stall-desk/photos", body.clone()).await;
    assert_eq!(answer.status(), StatusCode::OK);
    let told: Value = serde_json::from_slice(answer.body()).unwrap();
    assert_eq!(told["received"], json!(body.len()));
    assert!(answer.headers().contains_key("traceparent"));
    assert_eq!(answer.headers()["x-request-id"], told["request"].as_str().unwrap());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_and_racing_operators_conflict() {
    let _turn = TURN.lock().await;
    let deployment = deployment().await;
    let caller = caller(&deployment);
    let operator = deployment.operator();
    let before = operator.config().await.unwrap();
    let mut changed = before.document.clone();
    changed.keys.clear();

    let told = operator.put(before.revision, &changed).await.unwrap();

    assert_eq!(told["in_force"], told["of"], "{told}");
    let refused = caller.by_way_of(deployment.entries[1].address);
    let answer = refused.request("stall-desk", "holds", None).await;
    assert_eq!(answer, CallOutcome::NotRun("key_withdrawn".to_string()));
    let late = operator.put(before.revision, &before.document).await;
    assert!(matches!(late, Err(Error::Conflict(_))), "{late:?}");
    assert_eq!(operator.config().await.unwrap().document, changed);
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_cancelled_and_interactive_work_outlives_a_store_outage() {
    let _turn = TURN.lock().await;
    let deployment = deployment().await;
    let caller = caller(&deployment);
    let spec =
        json!({ "tasks": 4, "size": { "slots": 1 }, "run_ms": 600_000, "restartable": true });
    let CallOutcome::Answered(body) = caller.submit(&spec).await else { panic!("not accepted") };
    let name =
        serde_json::from_slice::<Value>(&body).unwrap()["name"].as_str().unwrap().to_string();
    let running = until(|| async {
        caller.status(&name).await.is_some_and(|status| status["running"] == json!(4))
    });
    assert!(running.await);

    assert!(matches!(caller.cancel(&name).await, CallOutcome::Answered(_)));

    let over = until(|| async {
        let status = caller.status(&name).await.unwrap_or_default();
        status["progress"] == json!("cancelled") && status["running"] == json!(0)
    });
    assert!(over.await);
    // During a store outage, a scheduler stays the owner by promises of the peers that its member
    // record names. Right after the start the record may name none yet.
    assert!(until(|| async { peers_are_named(&deployment) }).await);
    deployment.site.store.set_faults(Faults { is_down: true, ..Faults::default() });
    // Longer than a lease, so that the owners stay owners only by promises of their peers.
    tokio::time::sleep(Duration::from_secs(5)).await;
    // The test harness shows this output if the test fails.
    for s in &deployment.schedulers {
        println!("{:?}", s.view().await);
    }
    let request = caller.request("stall-desk", "gate", None).await;
    for s in &deployment.schedulers {
        println!("{:?}", s.view().await);
    }
    let job = caller.submit(&spec).await;
    assert!(matches!(request, CallOutcome::Answered(_)), "{request:?}");
    assert_eq!(job, CallOutcome::NotRun("store_unavailable".to_string()));
    assert_eq!(deployment.site.run_tracker.violations().total(), 0);
}

/// Returns whether the member record of each scheduler names the other one.
fn peers_are_named(deployment: &Deployment) -> bool {
    let values = deployment.site.store.values(MEMBER_PREFIX);
    let record = |value: &Vec<u8>| serde_json::from_slice::<Record>(decode_value(value)?.1).ok();
    let schedulers = values.iter().filter_map(record).filter(|r| r.role == Role::Scheduler);
    let named: Vec<usize> = schedulers.map(|record| record.peers.len()).collect();
    named.len() == deployment.schedulers.len() && named.iter().all(|peers| *peers > 0)
}

/// Returns the number of decisions that the chain heads cover.
fn sequences(heads: &Value) -> u64 {
    let shards = heads.as_object().into_iter().flat_map(|shards| shards.values());
    let epochs = shards.filter_map(|shard| shard["epochs"].as_object());
    epochs.flat_map(|epochs| epochs.values()).filter_map(|head| head["sequence"].as_u64()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn decisions_are_on_record_and_the_stream_agrees_with_the_store() {
    let _turn = TURN.lock().await;
    let file = std::env::temp_dir().join(format!("sycamore-records-{}", std::process::id()));
    let records = RecordDestination::File(file.clone());
    let deployment = Deployment::start(Profile::sialkot(), WORKERS, 2, records).await.unwrap();
    let caller =
        Caller::new(deployment.entries[0].address, "export", &deployment.profile.secret("export"));
    for at in 0..20 {
        let told = caller.request("orderdesk", &format!("quote/{at}"), None).await;
        assert!(matches!(told, CallOutcome::Answered(_)), "{told:?}");
    }
    let operator = deployment.operator();
    // Heads are written to the store every few seconds, so they lag behind the stream.
    let has_heads = until(|| async {
        let heads = operator.get("/v1/heads").await.unwrap_or_default();
        sequences(&heads) >= 20
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
    let kept = bodies.clone();
    let server = Server::start(Arc::default(), move |request: Request<hyper::body::Incoming>| {
        let kept = kept.clone();
        async move {
            let bytes = request.into_body().collect().await.ok()?.to_bytes();
            kept.lock().unwrap().push(serde_json::from_slice(&bytes).ok()?);
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

    let has_both = until(|| async { text_of(&bodies).contains("\"name\":\"entry\"") });
    assert!(has_both.await);
    let text = text_of(&bodies);
    assert!(text.contains(&format!("\"parentSpanId\":\"{inner_parent}\"")), "{text}");
    assert!(text.contains("\"parentSpanId\":\"b7ad6b7169203331\""), "{text}");
    assert_eq!(text.matches("0af7651916cd43dd8448eb211c80319c").count(), 2, "{text}");
}

fn text_of(bodies: &std::sync::Mutex<Vec<Value>>) -> String {
    bodies.lock().unwrap().iter().map(Value::to_string).collect()
}
