//! An HTTP client that acts as a caller of a deployment.
//!
//! It classifies each call by whether the work ran, because a call whose outcome is unknown must
//! not be counted as refused.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;
use sycamore_platform::http::{Client, Error};

/// Time limit for one call, including its response.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);

/// The outcome of one call, as its caller knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The call succeeded. Holds the body of the response.
    Answered(Bytes),
    /// The call was certainly not run. Holds the reason.
    NotRun(String),
    /// The call may have run. Holds the reason why this is not known.
    Unknown(String),
}

/// A caller of a deployment, with the API key of one team.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    address: SocketAddr,
    team: String,
    secret: String,
}

impl Caller {
    /// Builds a caller that calls the entry process at `address` with the key of `team`.
    pub fn new(address: SocketAddr, team: &str, secret: &str) -> Caller {
        let (team, secret) = (team.to_string(), secret.to_string());
        Caller { client: Client::new(), address, team, secret }
    }

    /// Returns a caller with the same key that calls another entry process.
    pub fn via(&self, address: SocketAddr) -> Caller {
        Caller { address, ..self.clone() }
    }

    /// Sends an interactive request, with an idempotency key if `key` is set.
    pub async fn request(&self, service: &str, path: &str, key: Option<&str>) -> CallOutcome {
        let uri = format!("http://{}/v1/services/{service}/{path}", self.address);
        // Simulated workers report a violation if the request runs for another team than the one in
        // `x-expect-team`.
        let mut request = Request::post(uri)
            .header("authorization", format!("Bearer {}", self.secret))
            .header("x-expect-team", &self.team);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        match request.body(Full::new(Bytes::from_static(b"hold"))) {
            Ok(request) => self.send(request).await,
            Err(error) => CallOutcome::NotRun(error.to_string()),
        }
    }

    /// Submits a job. The response body contains the name of the job.
    pub async fn submit(&self, spec: &Value) -> CallOutcome {
        self.call(Method::POST, "/v1/jobs", spec.to_string()).await
    }

    /// Queries the progress of a job. Returns `None` if the call fails.
    pub async fn status(&self, job: &str) -> Option<Value> {
        match self.call(Method::GET, &format!("/v1/jobs/{job}"), String::new()).await {
            CallOutcome::Answered(body) => serde_json::from_slice(&body).ok(),
            _ => None,
        }
    }

    /// Cancels a job.
    pub async fn cancel(&self, job: &str) -> CallOutcome {
        self.call(Method::DELETE, &format!("/v1/jobs/{job}"), String::new()).await
    }

    async fn call(&self, method: Method, path: &str, body: String) -> CallOutcome {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.secret))
            .body(Full::new(Bytes::from(body)));
        match request {
            Ok(request) => self.send(request).await,
            Err(error) => CallOutcome::NotRun(error.to_string()),
        }
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> CallOutcome {
        match self.client.call(request, CALL_TIMEOUT).await {
            Ok(response) if response.status().is_success() => {
                CallOutcome::Answered(response.into_body())
            }
            Ok(response) => {
                let reason = header(&response, "x-reason");
                // A call without a valid key is refused before anything runs.
                let is_not_run = header(&response, "x-outcome") == "not_run"
                    || response.status() == StatusCode::UNAUTHORIZED;
                if is_not_run { CallOutcome::NotRun(reason) } else { CallOutcome::Unknown(reason) }
            }
            Err(Error::NotSent(message)) => CallOutcome::NotRun(message),
            Err(error) => CallOutcome::Unknown(error.to_string()),
        }
    }
}

fn header(response: &http::Response<Bytes>, name: &str) -> String {
    let value = response.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_string()
}
