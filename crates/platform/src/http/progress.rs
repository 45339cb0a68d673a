//! Decides from the bytes that a call has moved when to give it up.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Instant;

use super::Activity;

/// Longest pause within the body of a response.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Average rate below which a call is given up, in bytes per second. Without it a peer could
/// hold a call forever with a byte now and then.
const MIN_BYTES_PER_S: u32 = 8 * 1024;

/// Largest part of a request's body that is handed to the connection at a time, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a call has sent and received so far.
#[derive(Debug)]
pub(super) struct Progress {
    started: Instant,
    /// Longest wait for the start of the response.
    timeout: Duration,
    state: Mutex<State>,
    /// Time of the last received bytes of all calls of the client.
    activity: Activity,
}

#[derive(Clone, Copy, Debug)]
struct State {
    /// When bytes were last sent or received.
    last: Instant,
    has_response: bool,
    sent_bytes: usize,
    received_bytes: usize,
}

impl Progress {
    pub fn start(timeout: Duration, activity: Activity) -> Progress {
        let now = Instant::now();
        let state = State { last: now, has_response: false, sent_bytes: 0, received_bytes: 0 };
        Progress { started: now, timeout, state: Mutex::new(state), activity }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn on_sent(&self, bytes: usize) {
        let mut state = self.state();
        state.last = Instant::now();
        state.sent_bytes += bytes;
    }

    /// Records that the head of the response has arrived.
    pub fn on_response(&self) {
        self.activity.record(0);
        let mut state = self.state();
        state.last = Instant::now();
        state.has_response = true;
    }

    /// Records bytes of the response's body.
    pub fn on_received(&self, bytes: usize) {
        let mut state = self.state();
        state.last = Instant::now();
        state.received_bytes += bytes;
        self.activity.record(state.received_bytes);
    }

    /// Waits until the call has to be given up.
    pub async fn stalled(&self) {
        loop {
            let deadline = self.deadline();
            if deadline <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(deadline).await;
        }
    }

    fn deadline(&self) -> Instant {
        let state = *self.state();
        let pause = if state.has_response { self.timeout.min(STALL_TIMEOUT) } else { self.timeout };
        let moved = (state.sent_bytes + state.received_bytes) as f64;
        let allowance = Duration::from_secs_f64(moved / f64::from(MIN_BYTES_PER_S));
        (state.last + pause).min(self.started + self.timeout + allowance)
    }
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = *self.state();
        write!(
            f,
            "{} bytes of the request sent and {} of the response received in {} ms",
            state.sent_bytes,
            state.received_bytes,
            self.started.elapsed().as_millis()
        )
    }
}

/// Body of a request, handed over in parts so that its progress is seen.
#[derive(Debug)]
pub(super) struct Upload {
    body: Full<Bytes>,
    /// What of the body's data is not handed over yet.
    rest: Bytes,
    progress: Arc<Progress>,
}

impl Upload {
    pub fn new(body: Full<Bytes>, progress: Arc<Progress>) -> Upload {
        Upload { body, rest: Bytes::new(), progress }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => self.rest = data,
                    Err(frame) => return Poll::Ready(Some(Ok(frame))),
                },
                other => return other,
            }
        }
        let length = self.rest.len().min(CHUNK_BYTES);
        let chunk = self.rest.split_to(length);
        self.progress.on_sent(length);
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let body = self.body.size_hint().exact().unwrap_or(0);
        SizeHint::with_exact(body + self.rest.len() as u64)
    }
}
