//! The HTTP implementation of the calls to workers.
//!
//! Forwarded requests have a connection pool of their own, so that long responses never delay a
//! poll, which renews leases.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use sycamore_core::worker::{Launch, Op, Reply, Report};

use super::{LAUNCH_HEADER, Poll, Stop, Worker};
use crate::http::{Client, Error, IDLE_TIMEOUT, classify, connector};

/// Time after which a call without a response is given up, on top of the time for which the
/// worker may delay it.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Body of a forwarded request.
pub type RequestBody = BoxBody<Bytes, std::io::Error>;

/// A client of all workers over HTTP.
#[derive(Clone, Debug)]
pub struct HttpWorker {
    /// Starts, stops and polls.
    control: Client,
    /// Forwarded requests.
    traffic: legacy::Client<HttpConnector, RequestBody>,
}

impl Default for HttpWorker {
    fn default() -> HttpWorker {
        HttpWorker::new()
    }
}

impl HttpWorker {
    /// Builds a client with one connection pool for calls and one for forwarded requests.
    pub fn new() -> HttpWorker {
        let traffic = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector());
        HttpWorker { control: Client::new(), traffic }
    }

    async fn post<T: Serialize>(
        &self,
        address: &str,
        path: &str,
        body: &T,
        wait: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let body = serde_json::to_vec(body).map_err(|error| Error::NotSent(error.to_string()))?;
        let request = Request::post(format!("http://{address}/v1/{path}"))
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::NotSent(error.to_string()))?;
        self.control.call(request, CALL_TIMEOUT + wait).await
    }
}

impl Worker for HttpWorker {
    async fn call(&self, address: &str, op: Op) -> Reply {
        let result = match op {
            Op::Start { launch, .. } => self.post(address, "start", &launch, Duration::ZERO).await,
            Op::Stop { task, how } => {
                self.post(address, "stop", &Stop { task, how }, Duration::ZERO).await
            }
            Op::Poll { lease, wait, forget } => {
                let poll = Poll { lease, wait, forget };
                return parse_report(self.post(address, "poll", &poll, wait).await);
            }
        };
        match result {
            Ok(response) if response.status() == StatusCode::OK => Reply::Done,
            Ok(_) => Reply::Unknown,
            Err(Error::NotSent(_)) => Reply::NotSent,
            Err(_) => Reply::Unknown,
        }
    }

    async fn forward(
        &self,
        address: &str,
        launch: &Launch,
        mut request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, Error> {
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_string();
        let uri: Uri = format!("http://{address}/v1/serve{path}")
            .parse()
            .map_err(|_| Error::NotSent(format!("invalid request path `{path}`")))?;
        *request.uri_mut() = uri;
        let launch =
            serde_json::to_string(launch).map_err(|error| Error::NotSent(error.to_string()))?;
        let launch =
            HeaderValue::from_str(&launch).map_err(|error| Error::NotSent(error.to_string()))?;
        request.headers_mut().insert(LAUNCH_HEADER, launch);
        self.traffic.request(request).await.map_err(classify)
    }
}

fn parse_report(result: Result<Response<Bytes>, Error>) -> Reply {
    match result {
        Ok(response) => match serde_json::from_slice::<Report>(response.body()) {
            Ok(report) if response.status() == StatusCode::OK => Reply::Report(report),
            _ => Reply::Unknown,
        },
        Err(Error::NotSent(_)) => Reply::NotSent,
        Err(_) => Reply::Unknown,
    }
}
