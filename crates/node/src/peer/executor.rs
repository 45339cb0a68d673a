//! Carries out the owner's calls to workers, and passes the results back in batches.
//!
//! The peer decides nothing and stores nothing: a session that ends aborts its calls, and the
//! owner treats those without a result as unknown. Calls carry the epoch of their batch as the
//! fencing token, so that workers refuse those of a replaced owner.

use std::sync::Arc;
use std::time::Duration;

use sycamore_graph::{Poll, Start, Stop};
use sycamore_platform::site::WorkerClient;
use sycamore_wire::{Error, Reader, Writer};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::Owner;
use super::order::{
    GATHER_TIME, MAX_BATCH_LEN, MAX_ORDERS_IN_FLIGHT, Order, OrderBatch, OrderResult, ResultBatch,
    WorkerCall, WorkerOutcome,
};
use crate::node::Node;
use crate::timing::{POLL_MARGIN, START_STOP_TIMEOUT};

/// Longest wait for the owner to take results. A session of an owner that has stopped reading
/// would otherwise hold its results for as long as the connection stays open.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// What the writer of a session sends.
enum Message {
    Receipt(u64),
    Refused(Owner),
    Result(OrderResult),
}

/// Carries out the batches of one session until the owner closes it.
///
/// Messages to the writer are bounded: there is one for each order in flight and for each batch.
pub(crate) async fn execute(node: Arc<Node>, reader: Reader, writer: Writer) {
    let (messages, received) = mpsc::channel(MAX_ORDERS_IN_FLIGHT);
    let end = tokio::select! {
        end = carry_out(&node, reader, messages) => end,
        end = write_results(&node, writer.with_stall_timeout(WRITE_TIMEOUT), received) => end,
    };
    if let Err(error) = end {
        log::debug!("a session with the owner ended: {error}");
    }
}

async fn carry_out(
    node: &Arc<Node>,
    mut reader: Reader,
    messages: mpsc::Sender<Message>,
) -> Result<(), Error> {
    let permits = Arc::new(Semaphore::new(MAX_ORDERS_IN_FLIGHT));
    // Aborts its calls when it is dropped.
    let mut calls = JoinSet::new();
    loop {
        let batch: OrderBatch = reader.read_frame().await?;
        if let Some(newer) = node.ownership.newest_owner().filter(|o| o.epoch > batch.epoch) {
            node.meters.executor_batches.with_label_values(&["refused"]).inc();
            log::info!(
                target: "executor", epoch = batch.epoch, newer = newer.epoch;
                "refused orders of a replaced owner"
            );
            let _ = messages.send(Message::Refused(newer)).await;
            // Keeps the session open until the refusal is written.
            calls.shutdown().await;
            return std::future::pending().await;
        }
        if batch.wants_receipt {
            let _ = messages.send(Message::Receipt(batch.number)).await;
        }
        let worker = WorkerClient::new(node.workers.clone(), batch.epoch);
        for order in batch.orders {
            // Without a permit the session reads no further, which the owner sees as a late receipt.
            let Ok(permit) = permits.clone().acquire_owned().await else { return Ok(()) };
            let (worker, messages) = (worker.clone(), messages.clone());
            calls.spawn(async move {
                let id = order.id;
                let outcome = call(&worker, order).await;
                let _ = messages.send(Message::Result(OrderResult { id, outcome })).await;
                drop(permit);
            });
        }
        while calls.try_join_next().is_some() {}
    }
}

async fn call(worker: &WorkerClient, order: Order) -> WorkerOutcome {
    let Order { host, address, call, .. } = order;
    match call {
        WorkerCall::Start { task, attempt, payload, deadline_ms, ticket, checkpoint } => {
            let start = Start { host, task, attempt, payload, deadline_ms, ticket, checkpoint };
            let (outcome, clock_ms) = worker.start(address, &start, START_STOP_TIMEOUT).await;
            WorkerOutcome::Started { outcome, clock_ms }
        }
        WorkerCall::Stop { task, attempt } => {
            let stop = Stop { host, task, attempt };
            WorkerOutcome::Stopped(worker.stop(address, &stop, START_STOP_TIMEOUT).await)
        }
        WorkerCall::Poll { ack, deadline_ms, wait_ms } => {
            // The worker does not see the engine's number of the poll.
            let poll = Poll { host, number: 0, ack, deadline_ms, wait_ms };
            let timeout = Duration::from_millis(wait_ms) + POLL_MARGIN;
            match worker.poll(address, &poll, timeout).await {
                Ok(report) => WorkerOutcome::Polled(report),
                Err(failure) => WorkerOutcome::PollFailed(failure),
            }
        }
    }
}

/// Writes results in batches, each gathered for at most [`GATHER_TIME`].
async fn write_results(
    node: &Node,
    mut writer: Writer,
    mut messages: mpsc::Receiver<Message>,
) -> Result<(), Error> {
    while let Some(first) = messages.recv().await {
        let mut batch = ResultBatch::default();
        batch.add(first);
        let end = Instant::now() + GATHER_TIME;
        while batch.results.len() < MAX_BATCH_LEN && batch.newer_owner.is_none() {
            match tokio::time::timeout_at(end, messages.recv()).await {
                Ok(Some(message)) => batch.add(message),
                Ok(None) | Err(_) => break,
            }
        }
        batch.is_leaving = node.is_stopping();
        let is_last = batch.newer_owner.is_some();
        writer.write_frame(&batch, is_last).await?;
        if is_last {
            break;
        }
    }
    Ok(())
}

impl ResultBatch {
    fn add(&mut self, message: Message) {
        match message {
            Message::Receipt(number) => self.receipt = Some(number),
            Message::Refused(newer) => self.newer_owner = Some(newer),
            Message::Result(result) => self.results.push(result),
        }
    }
}
