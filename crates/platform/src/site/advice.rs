//! The client of the platform's advice service, which decides which workers may run a step.
//!
//! A failed query is logged and yields no advice, so that the caller has a single case to handle.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use sycamore_graph::StepId;
use sycamore_types::Name;

use super::task::step_name;
use crate::http::Client;

#[derive(Serialize)]
struct AdviceRequest<'a> {
    step: String,
    workers: &'a [Name],
}

#[derive(Deserialize)]
struct AdviceResponse {
    /// Workers that may run the step, each with a ticket that its starts must carry.
    allowed: Vec<(Name, Name)>,
}

/// A client of the advice service.
#[derive(Clone, Debug)]
pub struct AdviceClient {
    address: SocketAddr,
    client: Client,
}

impl AdviceClient {
    /// Builds a client for the service at an address.
    pub fn new(address: SocketAddr, client: Client) -> AdviceClient {
        AdviceClient { address, client }
    }

    /// Asks which of some workers may run a step.
    ///
    /// Returns the allowed workers with their tickets, or `None` if the query failed or did not
    /// get a valid response within `timeout`.
    pub async fn query(
        &self,
        step: &StepId,
        workers: &[Name],
        timeout: Duration,
    ) -> Option<Vec<(Name, Name)>> {
        let body = serde_json::to_vec(&AdviceRequest { step: step_name(step), workers }).ok()?;
        let request = Request::post(format!("http://{}/sycamorechute/advise", self.address))
            .header("content-type", "application/json")
            .body(Full::new(body.into()))
            .ok()?;
        match self.client.call(request, timeout).await {
            Ok(response) if response.status() == StatusCode::OK => {
                let response: Result<AdviceResponse, _> = serde_json::from_slice(response.body());
                response.map(|response| response.allowed).map_err(|error| log_failure(&error)).ok()
            }
            Ok(response) => {
                log::debug!("advice service rejected the query with status {}", response.status());
                None
            }
            Err(error) => {
                log_failure(&error);
                None
            }
        }
    }
}

fn log_failure(error: &dyn std::fmt::Display) {
    log::warn!("query of the advice service failed: {error}");
}
