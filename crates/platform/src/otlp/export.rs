use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::span::Finished;
use crate::Address;
use crate::http::Client;

/// Most spans in one export.
const BATCH: usize = 512;

/// Time between two exports.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an export counts as lost.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Kind of a span that serves a call, by the protocol.
const KIND_SERVER: u8 = 2;

/// Exports spans until the tracer is dropped.
pub(super) async fn run(
    endpoint: Address,
    service: String,
    mut receiver: mpsc::Receiver<Finished>,
) {
    let client = Client::new();
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, BATCH).await > 0 {
        let body = encode(&service, &batch).to_string();
        batch.clear();
        let request = Request::post(format!("http://{}/v1/traces", endpoint.0))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        if let Ok(request) = request {
            // Spans that a collector did not take are not worth a second try.
            let _ = client.call(request, TIMEOUT).await;
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

fn encode(service: &str, spans: &[Finished]) -> Value {
    let spans: Vec<Value> = spans.iter().map(encode_span).collect();
    json!({
        "resourceSpans": [{
            "resource": { "attributes": [attribute("service.name", service)] },
            "scopeSpans": [{ "scope": { "name": "sycamorechute" }, "spans": spans }],
        }],
    })
}

fn encode_span(span: &Finished) -> Value {
    json!({
        "traceId": format!("{:032x}", span.context.trace_id),
        "spanId": format!("{:016x}", span.context.span_id),
        "parentSpanId": span.parent.map_or_else(String::new, |parent| format!("{parent:016x}")),
        "name": span.name,
        "kind": KIND_SERVER,
        "startTimeUnixNano": span.begun_ns.to_string(),
        "endTimeUnixNano": span.ended_ns.to_string(),
        "attributes": [attribute("outcome", &span.outcome)],
    })
}

fn attribute(key: &str, value: &str) -> Value {
    json!({ "key": key, "value": { "stringValue": value } })
}
