//! The platform's lagging list of live and leaving hosts.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use sycamore_types::host::Host;

use crate::Address;
use crate::http::Client;

/// Time after which a read counts as lost.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The platform's list of hosts.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Reads the list. Returns `None` when it can't be had.
    fn read(&self) -> impl Future<Output = Option<Vec<Host>>> + Send;
}

/// The list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    client: Client,
    address: Address,
}

impl HttpHostList {
    /// Builds a client of the list at an address.
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
