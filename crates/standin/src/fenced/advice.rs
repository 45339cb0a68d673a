//! HTTP server of the simulated advice service, which tells the workers that may run a step.
//!
//! Each server answers all its callers alike. A test that needs a service that some hosts can't
//! use gives these hosts the address of another server or of a faulty link.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::Server;
use crate::http::{Body, response};

/// Time for which a call is left without an answer, beyond all timeouts.
const SILENCE: Duration = Duration::from_secs(60);

/// How the service answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdviceMode {
    /// All workers named are allowed.
    Allows,
    /// Every call gets this status.
    Status(u16),
    /// The connection is closed without a response.
    ClosesConnections,
    /// No call gets a response.
    Silent,
    /// One worker is allowed that was not named, and no other.
    AllowsOthers,
}

#[derive(Debug)]
struct State {
    mode: AdviceMode,
    calls: u64,
}

/// HTTP server of the advice service on loopback.
#[derive(Debug)]
pub struct Advice {
    /// Server that listens for calls. It holds the address.
    pub server: Server,
    state: Arc<Mutex<State>>,
}

impl Advice {
    /// Starts a service on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can't be bound.
    pub async fn start(mode: AdviceMode) -> std::io::Result<Advice> {
        let state = Arc::new(Mutex::new(State { mode, calls: 0 }));
        let shared = state.clone();
        let server = Server::start(Arc::default(), move |request| handle(shared.clone(), request));
        Ok(Advice { server: server.await?, state })
    }

    /// Sets how all later calls are answered.
    pub fn set_mode(&self, mode: AdviceMode) {
        lock(&self.state).mode = mode;
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Option<Response<Body>> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let mode = {
        let mut state = lock(&state);
        state.calls += 1;
        state.mode
    };
    let allowed: Vec<Value> = match mode {
        AdviceMode::Allows => {
            let named = body["workers"].as_array().into_iter().flatten();
            named.map(|worker| json!([worker, "ticket"])).collect()
        }
        AdviceMode::AllowsOthers => vec![json!(["not-named", "ticket"])],
        AdviceMode::Status(status) => {
            return Some(response(StatusCode::from_u16(status).ok()?, "{}"));
        }
        AdviceMode::ClosesConnections => return None,
        AdviceMode::Silent => {
            tokio::time::sleep(SILENCE).await;
            return None;
        }
    };
    Some(response(StatusCode::OK, json!({ "allowed": allowed }).to_string()))
}
