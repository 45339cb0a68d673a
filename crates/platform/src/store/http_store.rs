//! The HTTP implementation of the store.
//!
//! A write counts as having had no effect only if it was not sent or the store refused it;
//! otherwise its outcome is unknown.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use sycamore_core::store::{Op, Reply, Versioned};
use sycamore_types::id::Revision;

use super::{ListItem, REVISION_HEADER, Store};
use crate::Address;
use crate::http::{Client, Error};

/// Time after which a call without a response is given up.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which a watch waits at the store for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// A client of the store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: Client,
    address: Address,
}

impl HttpStore {
    /// Builds a client for the store at an address.
    pub fn new(address: Address) -> HttpStore {
        HttpStore { client: Client::new(), address }
    }

    fn url(&self, rest: &str) -> String {
        format!("http://{}/v1/{rest}", self.address.0)
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let request = Request::builder()
            .method(method)
            .uri(self.url(path))
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::NotSent(error.to_string()))?;
        self.client.call(request, timeout).await
    }

    async fn get(&self, key: &str) -> Reply {
        let response = self.send(Method::GET, &format!("kv/{key}"), Vec::new(), CALL_TIMEOUT).await;
        match response {
            Ok(response) if response.status() == StatusCode::OK => {
                Reply::Value(Some(versioned(key, &response)))
            }
            Ok(response) if response.status() == StatusCode::NOT_FOUND => Reply::Value(None),
            _ => Reply::Unavailable,
        }
    }

    async fn list(&self, prefix: &str) -> Reply {
        let response =
            self.send(Method::GET, &format!("list/{prefix}"), Vec::new(), CALL_TIMEOUT).await;
        let Ok(response) = response else {
            return Reply::Unavailable;
        };
        let listed = serde_json::from_slice::<Vec<ListItem>>(response.body());
        match listed.ok().and_then(decode_all) {
            Some(values) if response.status() == StatusCode::OK => Reply::Values(values),
            _ => Reply::Unavailable,
        }
    }

    async fn write(&self, method: Method, key: &str, expected: Revision, body: Vec<u8>) -> Reply {
        let path = format!("kv/{key}?expected={expected}");
        match self.send(method, &path, body, CALL_TIMEOUT).await {
            Ok(response) => match response.status() {
                StatusCode::OK => Reply::Written(revision_of(&response)),
                StatusCode::CONFLICT => Reply::Conflict,
                StatusCode::SERVICE_UNAVAILABLE => Reply::Unavailable,
                _ => Reply::Unknown,
            },
            Err(Error::NotSent(_)) => Reply::Unavailable,
            Err(_) => Reply::Unknown,
        }
    }
}

impl Store for HttpStore {
    async fn call(&self, op: Op) -> Reply {
        match op {
            Op::Get { key } => self.get(&key).await,
            Op::List { prefix } => self.list(&prefix).await,
            Op::Put { key, expected, value } => {
                self.write(Method::PUT, &key, expected, value).await
            }
            Op::Delete { key, expected } => {
                self.write(Method::DELETE, &key, expected, Vec::new()).await
            }
        }
    }

    async fn watch(&self, key: &str, seen: Revision) -> Option<Versioned> {
        let path = format!("watch/{key}?seen={seen}&wait_ms={}", WATCH_WAIT.as_millis());
        let response =
            self.send(Method::GET, &path, Vec::new(), WATCH_WAIT + CALL_TIMEOUT).await.ok()?;
        (response.status() == StatusCode::OK).then(|| versioned(key, &response))
    }
}

fn versioned(key: &str, response: &Response<Bytes>) -> Versioned {
    let value = response.body().to_vec();
    Versioned { key: key.to_string(), revision: revision_of(response), value }
}

fn revision_of(response: &Response<Bytes>) -> Revision {
    let header = response.headers().get(REVISION_HEADER);
    header.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0)
}

fn decode_all(listed: Vec<ListItem>) -> Option<Vec<Versioned>> {
    let decode = |listed: ListItem| {
        let value = hex::decode(listed.value).ok()?;
        Some(Versioned { key: listed.key, revision: listed.revision, value })
    };
    listed.into_iter().map(decode).collect()
}
