//! The platform's list of live and leaving hosts.
//!
//! The list lags behind the actual state of the hosts, so a listed host may be gone and a live
//! one may be missing.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use sycamore_types::host::Host;

use crate::Address;
use crate::http::Client;

/// Time after which a read without a response is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Access to the platform's list of hosts.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Reads the whole list. Returns `None` if it is unavailable or malformed.
    fn read(&self) -> impl Future<Output = Option<Vec<Host>>> + Send;
}

/// Reads the list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    client: Client,
    address: Address,
}

impl HttpHostList {
    /// Builds a client for the host list that is served at an address.
    pub fn new(address: Address) -> HttpHostList {
        HttpHostList { client: Client::new(), address }
    }
}

impl HostList for HttpHostList {
    async fn read(&self) -> Option<Vec<Host>> {
        let uri = format!("http://{}/v1/hosts", self.address.0);
        let request = Request::get(uri).body(Full::new(Bytes::new())).ok()?;
        let response = self.client.call(request, READ_TIMEOUT).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(response.body()).ok()
    }
}
