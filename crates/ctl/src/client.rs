//! HTTP client for the operators' API of an entry process.
//!
//! Every write names the revision that it is based on, so that concurrent changes by operators
//! cannot overwrite each other.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use serde_json::Value;
use sycamore_platform::http as platform;
use sycamore_types::config::Document;
use sycamore_types::id::Revision;

use crate::Error;

/// Time limit for one call, including its response.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A configuration as an entry process returned it.
#[derive(Clone, Debug)]
pub struct Config {
    /// Revision of the document. A change of the document must name it.
    pub revision: Revision,
    /// Document in force on the entry process.
    pub document: Document,
}

/// A client of the operators' API of one entry process.
#[derive(Clone, Debug)]
pub struct Client {
    inner: platform::Client,
    address: SocketAddr,
}

impl Client {
    /// Builds a client for the operators' address of an entry process.
    pub fn new(address: SocketAddr) -> Client {
        Client { inner: platform::Client::new(), address }
    }

    /// Reads the configuration in force.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be reached, refuses the call, or sends a malformed response.
    pub async fn config(&self) -> Result<Config, Error> {
        let response = self.send(Method::GET, "/v1/config", None, Vec::new()).await?;
        let tag = response.headers().get(header::ETAG).and_then(|value| value.to_str().ok());
        let revision = tag.and_then(|tag| tag.parse().ok()).unwrap_or(0);
        let document = serde_json::from_slice(response.body())
            .map_err(|error| Error::Unreachable(format!("malformed response: {error}")))?;
        Ok(Config { revision, document })
    }

    /// Replaces the configuration if its revision is still `expected`. Returns the report of the
    /// entry process: the new revision and how many processes have it in force.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Conflict`] when the configuration was changed in the meantime.
    pub async fn put(&self, expected: Revision, document: &Document) -> Result<Value, Error> {
        let body = serde_json::to_vec(document)
            .map_err(|error| Error::Refused(format!("cannot encode the configuration: {error}")))?;
        let response = self.send(Method::PUT, "/v1/config", Some(expected), body).await?;
        parse(&response)
    }

    /// Reads the JSON document at a path.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be reached, refuses the call, or sends a malformed response.
    pub async fn get(&self, path: &str) -> Result<Value, Error> {
        let response = self.send(Method::GET, path, None, Vec::new()).await?;
        parse(&response)
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        expected: Option<Revision>,
        body: Vec<u8>,
    ) -> Result<Response<Bytes>, Error> {
        let mut request =
            Request::builder().method(method).uri(format!("http://{}{path}", self.address));
        if let Some(expected) = expected {
            request = request.header(header::IF_MATCH, expected.to_string());
        }
        let request = request
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::Usage(error.to_string()))?;
        let response = self.inner.call(request, CALL_TIMEOUT).await;
        let response = response.map_err(|error| Error::Unreachable(error.to_string()))?;
        match response.status() {
            StatusCode::OK => Ok(response),
            StatusCode::CONFLICT => Err(Error::Conflict(message(&response))),
            _ => Err(Error::Refused(message(&response))),
        }
    }
}

fn parse(response: &Response<Bytes>) -> Result<Value, Error> {
    serde_json::from_slice(response.body())
        .map_err(|error| Error::Unreachable(format!("malformed response: {error}")))
}

/// Returns the message in an error response, or the status if there is none.
fn message(response: &Response<Bytes>) -> String {
    let body: Option<Value> = serde_json::from_slice(response.body()).ok();
    let message = body.as_ref().and_then(|body| body.get("message")).and_then(Value::as_str);
    message.map_or_else(|| format!("status {}", response.status()), str::to_string)
}
