use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::{MAX_BODY_BYTES, budget};
use crate::body::{Error, receive};

/// A body of which some parts have arrived.
struct Arriving {
    parts: VecDeque<Bytes>,
    /// Length that the head declares, in bytes.
    declared: Option<u64>,
    /// No more parts come, but the body has not ended.
    is_stalled: bool,
}

impl Body for Arriving {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.parts.pop_front() {
            Some(part) => Poll::Ready(Some(Ok(Frame::data(part)))),
            None if self.is_stalled => Poll::Pending,
            None => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.declared.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

fn arriving(parts: usize, part_bytes: usize) -> Arriving {
    let part = Bytes::from(vec![b' '; part_bytes]);
    Arriving { parts: vec![part; parts].into(), declared: None, is_stalled: false }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_millis(100)
}

#[tokio::test]
async fn a_body_in_single_bytes_is_received_whole() {
    let received = receive(&budget(), arriving(10_000, 1), MAX_BODY_BYTES, soon()).await;

    assert_eq!(received.map(|(body, _)| body.len()).ok(), Some(10_000));
}

/// Failure: a body whose declared length is too large was read up to the limit before it was refused.
#[tokio::test]
async fn a_declared_length_above_the_limit_is_refused_before_the_body_is_read() {
    let body =
        Arriving { declared: Some(MAX_BODY_BYTES as u64 + 1), is_stalled: true, ..arriving(0, 0) };

    let received = receive(&budget(), body, MAX_BODY_BYTES, soon()).await;

    assert_eq!(received.err(), Some(Error::TooLarge));
}

#[tokio::test]
async fn a_chunked_body_above_the_limit_is_refused() {
    let body = arriving(MAX_BODY_BYTES / 1_000 + 1, 1_000);

    let received = receive(&budget(), body, MAX_BODY_BYTES, soon()).await;

    assert_eq!(received.err(), Some(Error::TooLarge));
}

#[tokio::test]
async fn a_body_that_stalls_is_refused_at_the_deadline_and_frees_its_memory() {
    let budget = budget();
    let body = Arriving { is_stalled: true, ..arriving(10, 1_000) };

    let received = receive(&budget, body, MAX_BODY_BYTES, soon()).await;

    assert_eq!(received.err(), Some(Error::Timeout));
    assert_eq!(budget.held_bytes(), 0);
}

/// Failure: a refused body was answered only at its deadline.
#[tokio::test]
async fn a_stalled_body_that_gives_way_is_answered_at_once() {
    let budget = budget();
    let stalled = Arriving { is_stalled: true, ..arriving(1, MAX_BODY_BYTES) };
    let deadline = Instant::now() + Duration::from_secs(600);
    let shared = budget.clone();
    let receiving =
        tokio::spawn(async move { receive(&shared, stalled, MAX_BODY_BYTES, deadline).await });
    let mut held = Vec::new();
    while budget.held_bytes() == 0 {
        tokio::task::yield_now().await;
    }

    let others = budget.max_bytes() / MAX_BODY_BYTES;
    for _ in 0..others {
        let other = budget.begin(0, MAX_BODY_BYTES).expect("an empty body fits");
        other.append(&vec![b' '; MAX_BODY_BYTES]).expect("it displaces the stalled body");
        held.push(other);
    }

    let received = receiving.await.expect("the task ends");
    assert_eq!(received.err(), Some(Error::NoMemory));
}
