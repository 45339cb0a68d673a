//! Simulated host list of the platform.
//!
//! The list is served whole to every request, whatever its method and path.

use std::sync::{Arc, Mutex, PoisonError};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use sycamore_types::host::Host;

use crate::http::{Body, Server, response};

/// HTTP server of the host list. Clones share the list.
#[derive(Clone, Debug)]
pub struct HostList {
    hosts: Arc<Mutex<Vec<Host>>>,
    server: Arc<Server>,
}

impl HostList {
    /// Starts serving `hosts` on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can't be bound.
    pub async fn start(hosts: Vec<Host>) -> std::io::Result<HostList> {
        let hosts = Arc::new(Mutex::new(hosts));
        let shared = hosts.clone();
        let server =
            Server::start(Arc::default(), move |request| handle(shared.clone(), request)).await?;
        Ok(HostList { hosts, server: Arc::new(server) })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address
    }

    /// Changes the list that is served from now on.
    pub fn update(&self, f: impl FnOnce(&mut Vec<Host>)) {
        f(&mut self.hosts.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

async fn handle(hosts: Arc<Mutex<Vec<Host>>>, _: Request<Incoming>) -> Option<Response<Body>> {
    let hosts = hosts.lock().unwrap_or_else(PoisonError::into_inner);
    Some(response(StatusCode::OK, serde_json::to_vec(&*hosts).unwrap_or_default()))
}
