//! Interactive requests: waiting for a worker, forwarding, and streaming the response.
//!
//! The core is notified when a dispatched request has ended, and whether its worker may still be
//! running it, since the capacity may be reused only when it is certainly free.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::channel::mpsc;
use http::{HeaderName, HeaderValue, Method, Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming as Body};
use sycamore_core::caller::{Answer, Token};
use sycamore_core::worker::Launch;
use sycamore_core::{Ending, Event};
use sycamore_platform::http::Error;
use sycamore_platform::store::Store;
use sycamore_platform::worker::{RequestBody, Worker};
use sycamore_telemetry::trace::{TRACEPARENT, TraceContext};
use sycamore_types::Name;
use sycamore_types::outcome::{Failure, Reason};
use sycamore_wire::{Header, Incoming, InteractiveRequest, Reader, ReplyHead, RequestHead, Writer};

use super::Traffic;

/// Number of parts of a request's body that are buffered until they are sent to the worker.
const MAX_BUFFERED_PARTS: usize = 4;

/// The worker chosen for a request, from [`Answer::Dispatch`].
struct Dispatch {
    address: Name,
    launch: Box<Launch>,
    /// Monotonic time of this process after which the request must not be sent.
    not_after: Duration,
}

impl<S: Store, W: Worker> Traffic<S, W> {
    /// Handles one interactive request from its arrival to its end.
    pub(super) async fn handle_request(&self, incoming: Incoming, mut call: InteractiveRequest) {
        let Ok((reader, mut writer)) = incoming.respond() else {
            return;
        };
        let _in_flight = InFlightGuard::new(&self.in_flight);
        // The span covers the request until the whole response has been sent to the caller.
        let span = self.tracer.begin("scheduler", parent_of(&call.head));
        set_parent(&mut call.head, &span.context());
        let token = self.control.next_token();
        let event = Event::Request { token, request: call.request.clone() };
        let answer_receiver = self.control.call(token, event);
        let answer = tokio::select! {
            answer = answer_receiver => answer,
            () = writer.wait_for_reset() => {
                self.control.send_event(Event::Gone { token });
                self.count_outcome("caller_gone");
                return;
            }
        };
        match answer {
            Ok(Answer::Dispatch { address, launch, not_after, .. }) => {
                let dispatch = Dispatch { address, launch, not_after };
                self.forward(token, &dispatch, call, reader, writer).await;
            }
            Ok(Answer::Failed(failure)) => {
                self.send_failure(&mut writer, failure).await;
            }
            Ok(_) => {}
            Err(_) => self.send_failure(&mut writer, Failure::not_run(Reason::Moved)).await,
        }
    }

    /// Sends a request to its worker and the response to its caller.
    async fn forward(
        &self,
        token: Token,
        dispatch: &Dispatch,
        call: InteractiveRequest,
        reader: Reader,
        mut writer: Writer,
    ) {
        // The process may have been paused after the core made the decision.
        if self.clock.now() > dispatch.not_after {
            self.report_end(token, Ending::Finished);
            self.send_failure(&mut writer, Failure::not_run(Reason::Moved)).await;
            return;
        }
        let request = match build_request(&call.head, reader) {
            Ok(request) => request,
            Err(message) => {
                self.report_end(token, Ending::Finished);
                self.send_failure(&mut writer, Failure::not_run(Reason::Malformed(message))).await;
                return;
            }
        };
        let serving = self.worker.forward(&dispatch.address, &dispatch.launch, request);
        let response = tokio::time::timeout(call.timeout, serving).await;
        let (ending, failure) = match response {
            Ok(Ok(response)) => {
                self.stream_response(token, response, writer, call.timeout).await;
                return;
            }
            Ok(Err(Error::NotSent(_))) => {
                (Ending::Finished, Failure::not_run(Reason::WorkerFailed))
            }
            Ok(Err(_)) => (Ending::InDoubt, Failure::unknown(Reason::WorkerFailed)),
            Err(_) => (Ending::InDoubt, Failure::unknown(Reason::DeadlinePassed)),
        };
        self.report_end(token, ending);
        self.send_failure(&mut writer, failure).await;
    }

    /// Streams a response to the caller.
    ///
    /// If the worker's response breaks off, the caller's stream is reset, so that the caller
    /// does not mistake a part of the response for all of it.
    async fn stream_response(
        &self,
        token: Token,
        response: Response<Body>,
        mut writer: Writer,
        timeout: Duration,
    ) {
        let (parts, mut body) = response.into_parts();
        let headers = parts.headers.iter().map(|(name, value)| Header {
            name: name.as_str().to_string(),
            value: value.as_bytes().to_vec(),
        });
        let status = parts.status.as_u16();
        let head = ReplyHead::Answered { status, headers: headers.collect() };
        let mut is_caller_connected = writer.write_frame(&head, false).await.is_ok();
        let copy = async {
            while let Some(frame) = body.frame().await {
                let bytes = frame.map_err(|_| ())?.into_data().unwrap_or_default();
                // The response is read to its end even if the caller is gone: only then is it
                // certain that the worker has finished and its capacity is free.
                if is_caller_connected {
                    is_caller_connected = writer.write_bytes(bytes, false).await.is_ok();
                }
            }
            Ok::<(), ()>(())
        };
        match tokio::time::timeout(timeout, copy).await {
            Ok(Ok(())) => {
                self.report_end(token, Ending::Finished);
                let _ = writer.write_bytes(Bytes::new(), true).await;
                self.count_outcome("answered");
            }
            _ => {
                self.report_end(token, Ending::InDoubt);
                writer.abort();
                self.count_outcome("broken_off");
            }
        }
    }

    /// Notifies the core that a dispatched request has ended.
    fn report_end(&self, token: Token, ending: Ending) {
        self.control.send_event(Event::Ended { token, ending });
    }

    /// Counts a failure and sends it to the caller.
    async fn send_failure(&self, writer: &mut Writer, failure: Failure) {
        self.count_outcome(failure.reason.code());
        let _ = writer.write_frame(&ReplyHead::Failed(failure), true).await;
    }

    fn count_outcome(&self, outcome: &str) {
        self.meters.requests.with_label_values(&[outcome]).inc();
    }
}

/// Returns the trace context that the caller sent, if it is valid.
fn parent_of(head: &RequestHead) -> Option<TraceContext> {
    let header = head.headers.iter().find(|header| header.name == TRACEPARENT)?;
    TraceContext::parse(std::str::from_utf8(&header.value).ok()?)
}

/// Replaces the trace context of a request, so that the worker's span becomes a child of this
/// process's span.
fn set_parent(head: &mut RequestHead, parent: &TraceContext) {
    head.headers.retain(|header| header.name != TRACEPARENT);
    let value = parent.to_string().into_bytes();
    head.headers.push(Header { name: TRACEPARENT.to_string(), value });
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard<'a>(&'a AtomicUsize);

impl InFlightGuard<'_> {
    fn new(in_flight: &AtomicUsize) -> InFlightGuard<'_> {
        in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(in_flight)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Builds the request to the worker. Its body is streamed from the caller while it is sent.
///
/// The error is a message for the caller.
fn build_request(head: &RequestHead, mut reader: Reader) -> Result<Request<RequestBody>, String> {
    let method = Method::from_bytes(head.method.as_bytes()).map_err(|e| e.to_string())?;
    let mut request = Request::builder().method(method).uri(&head.path);
    for header in &head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|e| e.to_string())?;
        let value = HeaderValue::from_bytes(&header.value).map_err(|e| e.to_string())?;
        request = request.header(name, value);
    }
    let (mut parts, received) = mpsc::channel(MAX_BUFFERED_PARTS);
    tokio::spawn(async move {
        loop {
            let part = match reader.read_bytes().await {
                Ok(Some(bytes)) => Ok(Frame::data(bytes)),
                Ok(None) => return,
                Err(error) => Err(std::io::Error::other(error.to_string())),
            };
            let is_error = part.is_err();
            if parts.send(part).await.is_err() || is_error {
                return;
            }
        }
    });
    let body = BodyExt::boxed(StreamBody::new(received));
    request.body(body).map_err(|error| error.to_string())
}
