//! The background task that sends finished spans to a collector.
//!
//! Spans are sent in batches, at most one per second and without retries, so that a slow
//! collector costs spans rather than memory.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::span::FinishedSpan;
use crate::Address;
use crate::http::Client;

/// Largest number of spans in one request.
const MAX_BATCH_SPANS: usize = 512;

/// Pause between two requests.
const EXPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a request without a response is given up.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// The value of `SPAN_KIND_SERVER` in OTLP.
const SPAN_KIND_SERVER: u8 = 2;

/// Exports spans until all senders of the channel are dropped.
pub(super) async fn run(
    endpoint: Address,
    service: String,
    mut receiver: mpsc::Receiver<FinishedSpan>,
) {
    let client = Client::new();
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, MAX_BATCH_SPANS).await > 0 {
        let body = encode(&service, &batch).to_string();
        batch.clear();
        let request = Request::post(format!("http://{}/v1/traces", endpoint.0))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        if let Ok(request) = request {
            // Spans that the collector did not accept are dropped, not sent again.
            let _ = client.call(request, EXPORT_TIMEOUT).await;
        }
        tokio::time::sleep(EXPORT_INTERVAL).await;
    }
}

fn encode(service: &str, spans: &[FinishedSpan]) -> Value {
    let spans: Vec<Value> = spans.iter().map(encode_span).collect();
    json!({
        "resourceSpans": [{
            "resource": { "attributes": [attribute("service.name", service)] },
            "scopeSpans": [{ "scope": { "name": "sycamorechute" }, "spans": spans }],
        }],
    })
}

fn encode_span(span: &FinishedSpan) -> Value {
    json!({
        "traceId": format!("{:032x}", span.context.trace_id),
        "spanId": format!("{:016x}", span.context.span_id),
        "parentSpanId": span
            .parent_span_id
            .map_or_else(String::new, |parent| format!("{parent:016x}")),
        "name": span.name,
        "kind": SPAN_KIND_SERVER,
        "startTimeUnixNano": span.start_ns.to_string(),
        "endTimeUnixNano": span.end_ns.to_string(),
        "attributes": [attribute("outcome", &span.outcome)],
    })
}

fn attribute(key: &str, value: &str) -> Value {
    json!({ "key": key, "value": { "stringValue": value } })
}
