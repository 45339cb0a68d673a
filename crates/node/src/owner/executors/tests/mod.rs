//! Tests of the executors' decisions, which need no network, and of sessions with a peer that
//! fails.

mod activation;
mod assignment;
mod batch;
mod health;
mod pending;
mod receipts;
mod selection;
mod session;

use std::sync::Arc;

use sycamore_graph::job::Id;
use sycamore_graph::{Poll, Start, StepId, Stop, TaskId};

use crate::owner::calls::Request;

fn task(index: u32) -> TaskId {
    TaskId { step: StepId { job: Id(7), occurrence: 0, index: 0 }, index }
}

fn start(index: u32) -> Request {
    Request::Start(Start {
        host: Arc::from("worker"),
        task: task(index),
        attempt: 1,
        payload: Arc::from("payload"),
        deadline_ms: 1_000,
        ticket: None,
        checkpoint: Arc::from(""),
    })
}

fn stop(index: u32) -> Request {
    Request::Stop(Stop { host: Arc::from("worker"), task: task(index), attempt: 1 })
}

fn poll(wait_ms: u64) -> Request {
    let host = Arc::from("worker");
    Request::Poll(Poll { host, number: 3, ack: 2, deadline_ms: Some(6_000), wait_ms })
}
