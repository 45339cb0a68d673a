//! The client of the platform's advice service, which decides which workers may run a step.

use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use sycamore_graph::StepId;
use sycamore_types::Name;

use super::task::step_name;
use crate::http::{Client, Error};

/// Why a query got no advice.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum AdviceError {
    /// the advice service was not reached: {0}
    NotSent(String),
    /// the advice service answered with status {0}
    Status(u16),
    /// the advice service did not answer in time
    TimedOut,
    /// the connection to the advice service broke: {0}
    Broken(String),
    /// the answer of the advice service can't be used: {0}
    Malformed(String),
}

impl std::error::Error for AdviceError {}

impl From<Error> for AdviceError {
    fn from(error: Error) -> AdviceError {
        match error {
            Error::NotSent(reason) => AdviceError::NotSent(reason),
            Error::Unknown(reason) => AdviceError::Broken(reason),
            Error::TooLarge(_) => AdviceError::Malformed(error.to_string()),
        }
    }
}

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

    /// Asks which of some workers may run a step. Returns the allowed ones with their tickets.
    ///
    /// # Errors
    ///
    /// Returns why there was no valid response within `timeout`. A response that allows a worker
    /// that was not named is not valid: it would count as a denial of all those that were.
    pub async fn query(
        &self,
        step: &StepId,
        workers: &[Name],
        timeout: Duration,
    ) -> Result<Vec<(Name, Name)>, AdviceError> {
        let broken = |error: &dyn std::fmt::Display| AdviceError::Broken(error.to_string());
        let body = serde_json::to_vec(&AdviceRequest { step: step_name(step), workers })
            .map_err(|error| broken(&error))?;
        let request = Request::post(format!("http://{}/sycamorechute/advise", self.address))
            .header("content-type", "application/json")
            .body(Full::new(body.into()))
            .map_err(|error| broken(&error))?;
        // The client's own limit begins anew with each part of the call, so that the call ends
        // by the one here.
        let calling = tokio::time::timeout(timeout, self.client.call(request, timeout * 2));
        let response = calling.await.map_err(|_| AdviceError::TimedOut)??;
        if response.status() != StatusCode::OK {
            return Err(AdviceError::Status(response.status().as_u16()));
        }
        let response: AdviceResponse = serde_json::from_slice(response.body())
            .map_err(|error| AdviceError::Malformed(error.to_string()))?;
        match response.allowed.iter().find(|(worker, _)| !workers.contains(worker)) {
            Some((worker, _)) => {
                Err(AdviceError::Malformed(format!("it allows {worker}, which was not named")))
            }
            None => Ok(response.allowed),
        }
    }
}
