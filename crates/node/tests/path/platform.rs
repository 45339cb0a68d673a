//! The stand-in's server: store and worker on one address.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::KEY;
use crate::kv::Kv;
use crate::worker::Worker;

/// Time between two looks of a call that waits.
const POLL: Duration = Duration::from_millis(5);

#[derive(Debug)]
struct State {
    kv: Kv,
    worker: Worker,
    is_store_away: bool,
}

#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Platform {
    pub async fn start() -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("its address");
        let mut kv = Kv::default();
        let entry = json!({
            "service": "desk", "addr": address.to_string(), "state": "ready", "born": 1,
            "capacity": { "cpu": 8000, "mem-mb": 1000, "gpu": 0 }, "labels": ["a", "r1"],
        });
        kv.put("servers/worker-1", &STANDARD.encode(entry.to_string()));
        kv.put("op/config", &STANDARD.encode(config().to_string()));
        let state = State { kv, worker: Worker::new(), is_store_away: false };
        let platform = Platform { address, state: Arc::new(Mutex::new(state)) };
        tokio::spawn(platform.clone().serve(listener));
        platform
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set_store_away(&self, is_away: bool) {
        self.state().is_store_away = is_away;
    }

    pub fn doubled_starts(&self) -> u32 {
        self.state().worker.doubled
    }

    async fn serve(self, listener: TcpListener) {
        while let Ok((socket, _)) = listener.accept().await {
            let platform = self.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let platform = platform.clone();
                    async move { Ok::<_, Infallible>(platform.answer(request).await) }
                });
                // A caller that goes away ends its connection.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(socket), service).await;
            });
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let call = request.uri().path().rsplit('/').next().unwrap_or_default().to_string();
        let query = query(request.uri().query().unwrap_or_default());
        let body = request.into_body().collect().await.map(|body| body.to_bytes());
        let body: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
        let begun = Instant::now();
        let (status, body) = loop {
            match self.try_answer(&call, &query, &body, begun.elapsed()) {
                Some(answer) => break answer,
                None => tokio::time::sleep(POLL).await,
            }
        };
        let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
        *response.status_mut() = http::StatusCode::from_u16(status).expect("a status");
        response
    }

    /// `None` while the call waits.
    fn try_answer(
        &self,
        call: &str,
        query: &HashMap<String, String>,
        body: &Value,
        waited: Duration,
    ) -> Option<(u16, Value)> {
        let mut state = self.state();
        let text = |name: &str| query.get(name).map_or("", String::as_str);
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        if call.starts_with("kv-") && state.is_store_away {
            return Some((503, json!({})));
        }
        Some(match call {
            "kv-key" => state.kv.get(text("key")),
            "kv-range" => state.kv.range(text("prefix"), text("after")),
            "kv-txn" => state.kv.commit(body),
            "kv-watch" => {
                let (status, answer) = state.kv.changes(text("prefix"), number("after"));
                let is_empty = answer["events"].as_array().is_none_or(Vec::is_empty);
                if is_empty && waited < Duration::from_millis(number("wait-ms")) {
                    return None;
                }
                (status, answer)
            }
            order => return state.worker.order(order, body, waited),
        })
    }
}

fn query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

fn config() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "checks", "host": "127.0.0.1", "prefix": "/checks/", "service": "desk",
            "timeout-ms": 3000, "slo-ms": 1000, "priority": 0, "attempts": 4, "slack-factor": 2.0,
        }],
        "tenants": [{ "name": "clerks", "keys": [KEY], "weight": 10 }],
    })
}
