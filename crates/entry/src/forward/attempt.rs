//! One attempt to have a request run by the owner of a shard.
//!
//! The request and the response stream through, so that neither body is held in memory.

use std::net::SocketAddr;

use bytes::Bytes;
use futures::channel::mpsc;
use futures::{FutureExt, SinkExt};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use sycamore_types::outcome::{Failure, Reason};
use sycamore_wire::{
    Command, ConnectionKind, InteractiveRequest, PendingResponse, Pool, Reader, ReplyHead, Writer,
};
use tokio::time::{Duration, Instant, timeout_at};

use super::body::RequestBody;
use crate::api::Body;
use crate::directory::InFlightGuard;

/// Time past the deadline for which the owner's response is still awaited.
///
/// The owner gives up at the deadline too, and only its response states whether the request may
/// have run.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// Parts of the response body that are buffered for the caller.
const RESPONSE_BUFFER_PARTS: usize = 4;

/// Offer of a request to the owner of a shard.
pub(super) struct Attempt<'a> {
    pub(super) pool: &'a Pool,
    pub(super) address: SocketAddr,
    pub(super) request: InteractiveRequest,
    pub(super) deadline: Instant,
}

impl Attempt<'_> {
    /// Sends the request and returns the response, whose body is still streaming.
    pub(super) async fn run(
        self,
        body: &mut RequestBody,
        guard: InFlightGuard,
    ) -> Result<Response<Body>, Failure> {
        let command = Command::Request(Box::new(self.request));
        let opening = self.pool.open(self.address, ConnectionKind::Traffic, &command, false);
        let call = match timeout_at(self.deadline, opening).await {
            Ok(Ok(call)) => call,
            Ok(Err(error)) if error.is_not_sent() => {
                return Err(Failure::not_run(Reason::NoOwner));
            }
            Ok(Err(_)) => return Err(Failure::unknown(Reason::Moved)),
            Err(_) => return Err(Failure::unknown(Reason::DeadlinePassed)),
        };
        let (writer, response) = call.split();
        let exchange = send_and_await_head(writer, response, body);
        match timeout_at(self.deadline + RESPONSE_GRACE, exchange).await {
            Ok(Ok((head, reader))) => into_response(head, reader, guard),
            Ok(Err(_)) => Err(Failure::unknown(Reason::Moved)),
            Err(_) => Err(Failure::unknown(Reason::DeadlinePassed)),
        }
    }
}

/// Sends the body while waiting for the head of the response.
async fn send_and_await_head(
    mut writer: Writer,
    response: PendingResponse,
    body: &mut RequestBody,
) -> Result<(ReplyHead, Reader), sycamore_wire::Error> {
    let head = async {
        let mut reader = response.wait().await?;
        let head = reader.read_frame::<ReplyHead>().await?;
        Ok((head, reader))
    }
    .fuse();
    let sending = send_body(&mut writer, body).fuse();
    let mut head = std::pin::pin!(head);
    let mut sending = std::pin::pin!(sending);
    loop {
        futures::select! {
            result = head => return result,
            sent = sending => if sent.is_err() {
                // The caller's body broke off. The worker must not mistake the part that it
                // has for the complete body, and nobody is left to receive the response.
                return Err(sycamore_wire::Error::Truncated);
            },
        }
    }
}

/// Sends the whole body. Fails and aborts the stream if the caller's body breaks off.
async fn send_body(writer: &mut Writer, body: &mut RequestBody) -> Result<(), std::io::Error> {
    while let Some(part) = body.next_chunk().await {
        match part {
            Ok(bytes) => {
                // A scheduler that refuses the request may close the stream early. Its
                // refusal is then the head of the response.
                if writer.write_bytes(bytes, false).await.is_err() {
                    return Ok(());
                }
            }
            Err(error) => {
                writer.abort();
                return Err(error);
            }
        }
    }
    let _ = writer.write_bytes(Bytes::new(), true).await;
    Ok(())
}

/// Builds the response from its head, and starts a task that copies the body.
fn into_response(
    head: ReplyHead,
    reader: Reader,
    guard: InFlightGuard,
) -> Result<Response<Body>, Failure> {
    let (status, headers) = match head {
        ReplyHead::Failed(failure) => return Err(failure),
        ReplyHead::Answered { status, headers } => (status, headers),
    };
    let (sender, received) = mpsc::channel(RESPONSE_BUFFER_PARTS);
    tokio::spawn(copy_body(reader, sender, guard));
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(received)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value)
            && !is_hop_by_hop(&name)
        {
            response.headers_mut().append(name, value);
        }
    }
    Ok(response)
}

/// Returns whether a header concerns only the connection between two hops.
fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(name.as_str(), "connection" | "keep-alive" | "transfer-encoding" | "upgrade")
}

type Part = Result<Frame<Bytes>, std::io::Error>;

/// Copies the response body to the caller.
///
/// A body that breaks off ends in an error, which closes the caller's connection, so that the
/// caller does not mistake a part for the complete body.
async fn copy_body(mut reader: Reader, mut sender: mpsc::Sender<Part>, guard: InFlightGuard) {
    let _guard = guard;
    loop {
        let part = match reader.read_bytes().await {
            Ok(Some(bytes)) => Ok(Frame::data(bytes)),
            Ok(None) => return,
            Err(error) => Err(std::io::Error::other(error.to_string())),
        };
        let is_broken = part.is_err();
        if sender.send(part).await.is_err() || is_broken {
            return;
        }
    }
}
