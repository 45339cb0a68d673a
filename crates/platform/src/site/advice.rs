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
    /// Worker and ticket.
    allowed: Vec<(Name, Name)>,
}

/// The service that tells which workers may run a step.
#[derive(Clone, Debug)]
pub struct AdviceClient {
    address: SocketAddr,
    client: Client,
}

impl AdviceClient {
    /// Builds a client of the service at an address.
    pub fn new(address: SocketAddr, client: Client) -> AdviceClient {
        AdviceClient { address, client }
    }

    /// Asks which of some workers may run a step. `None` when there was no response.
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
                log::debug!("advice refused with status {}", response.status());
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
    log::warn!("no advice: {error}");
}
