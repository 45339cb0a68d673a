//! Body of an interactive request, which is streamed and limited in size.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use sycamore_intake::connection::{Answering, Connection};

use crate::api::begin_answer;

/// Largest body of an interactive request, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Body of a request, which can be read only once.
///
/// A refused request can be offered to another owner only while none of its body has been read.
#[derive(Debug)]
pub(super) struct RequestBody {
    body: Incoming,
    bytes_read: usize,
    has_been_read: bool,
    connection: Option<Arc<Connection>>,
    /// Keeps the connection open once the body has arrived.
    answering: Option<Answering>,
}

impl RequestBody {
    pub(super) fn new(body: Incoming, connection: Option<Arc<Connection>>) -> RequestBody {
        let mut body =
            RequestBody { body, bytes_read: 0, has_been_read: false, connection, answering: None };
        body.keep_connection_if_ended();
        body
    }

    fn keep_connection_if_ended(&mut self) {
        if self.answering.is_none() && self.body.is_end_stream() {
            self.answering = begin_answer(self.connection.as_ref());
        }
    }

    /// Returns whether some of the body has been read.
    pub(super) fn has_been_read(&self) -> bool {
        self.has_been_read
    }

    /// Reads the next chunk. Returns `None` at the end.
    pub(super) async fn next_chunk(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        loop {
            let frame = self.body.frame().await;
            self.keep_connection_if_ended();
            let frame = match frame? {
                Ok(frame) => frame,
                Err(error) => return Some(Err(std::io::Error::other(error))),
            };
            if let Ok(bytes) = frame.into_data() {
                self.has_been_read = true;
                self.bytes_read += bytes.len();
                if self.bytes_read > MAX_BODY_BYTES {
                    return Some(Err(std::io::Error::other("body is too large")));
                }
                return Some(Ok(bytes));
            }
        }
    }
}
