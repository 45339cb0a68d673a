//! The stream to one executor: sends batches of orders, takes their results, and resolves the
//! orders that remain when the executor fails.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use sycamore_platform::site::CallOutcome;
use sycamore_types::Name;
use sycamore_wire::{ConnectionKind, Error, Reader, Writer};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, sleep_until};

use super::batch::Batch;
use super::health::Observation;
use super::pending::{Pending, Resolution};
use super::receipts::Receipts;
use crate::owner::calls::{Calls, Request};
use crate::peer::{
    Command, Order, OrderBatch, OrderResult, ResultBatch, WorkerCall, WorkerOutcome,
};

/// Time within which a peer has to open a session. A new connection takes up to 700 ms.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Longest wait for the executor to take more data before it counts as failed.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which overdue orders and receipts are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What a session tells the owner's set of executors.
#[derive(Debug)]
pub(crate) struct Notice {
    /// Name of the executor.
    pub executor: Name,
    /// Number of the session.
    pub session: u64,
    pub event: NoticeEvent,
}

#[derive(Debug)]
pub(crate) enum NoticeEvent {
    /// The session takes orders.
    Opened,
    Observed(Observation),
    /// The executor did not reach this worker, or its result was overdue.
    Unreached(Name),
}

/// A session with one executor.
#[derive(Debug)]
pub(crate) struct Session {
    pub executor: Name,
    pub address: SocketAddr,
    /// Number of the session among all of this owner.
    pub number: u64,
    pub calls: Calls,
    pub notices: mpsc::UnboundedSender<Notice>,
}

/// State of an open session.
struct Open<'a> {
    session: &'a Session,
    writer: Writer,
    batch: Batch,
    pending: Pending,
    receipts: Receipts,
}

/// Why an open session ends.
enum End {
    /// The owner uses the executor no longer, and all orders have a result.
    Closed,
    Failed(Error),
    /// The executor knows of a newer owner.
    Outranked,
}

type Reading = BoxFuture<'static, (Reader, Result<ResultBatch, Error>)>;

impl Session {
    /// Opens the session and carries requests until the channel is closed or the session fails.
    /// Requests that the executor did not get are made directly.
    pub async fn run(self, mut requests: mpsc::Receiver<Request>) {
        match tokio::time::timeout(OPEN_TIMEOUT, self.open()).await {
            Ok(Ok((writer, reader))) => {
                self.notify(NoticeEvent::Opened);
                let (batch, pending) = (Batch::default(), Pending::default());
                let receipts = Receipts::default();
                let open = Open { session: &self, writer, batch, pending, receipts };
                open.run(reader, &mut requests).await;
            }
            Ok(Err(error)) => self.on_failure(&error),
            Err(_) => self.on_failure(&Error::Stalled(OPEN_TIMEOUT.as_millis() as u64)),
        }
        requests.close();
        while let Ok(request) = requests.try_recv() {
            self.resolve(Resolution::Call(request));
        }
    }

    async fn open(&self) -> Result<(Writer, Reader), Error> {
        let pool = &self.calls.node.pool;
        let kind = ConnectionKind::Traffic;
        let call = pool.open(self.address, kind, &Command::Execute, false).await?;
        let (writer, response) = call.split();
        Ok((writer.with_stall_timeout(WRITE_TIMEOUT), response.wait().await?))
    }

    fn notify(&self, event: NoticeEvent) {
        let executor = self.executor.clone();
        // Without a receiver the owner has ended.
        let _ = self.notices.send(Notice { executor, session: self.number, event });
    }

    fn on_failure(&self, error: &Error) {
        self.count_batch("failed");
        log::info!(
            target: "executor", host:% = self.executor, epoch = self.calls.handle.epoch, error:%;
            "executor failed"
        );
        self.notify(NoticeEvent::Observed(Observation::Failed));
    }

    fn count_batch(&self, outcome: &str) {
        self.calls.node.meters.executor_batches.with_label_values(&[outcome]).inc();
    }

    fn count_order(&self, outcome: &str) {
        self.calls.node.meters.executor_orders.with_label_values(&[outcome]).inc();
    }

    fn resolve(&self, resolution: Resolution) {
        match resolution {
            Resolution::Unknown(request) => {
                self.count_order("unknown");
                self.calls.on_unknown(request);
            }
            Resolution::Call(request) => {
                self.count_order("called directly");
                self.calls.send(request);
            }
        }
    }
}

impl Open<'_> {
    async fn run(mut self, reader: Reader, requests: &mut mpsc::Receiver<Request>) {
        match self.carry(reader, requests).await {
            End::Closed => {}
            End::Failed(error) => self.session.on_failure(&error),
            End::Outranked => {
                self.session.count_batch("refused");
                self.session.calls.node.outranked.notify_waiters();
            }
        }
        for resolution in self.pending.take_all() {
            self.session.resolve(resolution);
        }
    }

    async fn carry(&mut self, reader: Reader, requests: &mut mpsc::Receiver<Request>) -> End {
        let mut reading = read(reader);
        let mut check = tokio::time::interval(CHECK_INTERVAL);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut is_closed = false;
        loop {
            let due = self.batch.due();
            let flush = async move {
                match due {
                    Some(due) => sleep_until(due.into()).await,
                    None => std::future::pending().await,
                }
            };
            let sent = tokio::select! {
                // A process that was not scheduled for a while first takes what has arrived.
                biased;
                (reader, received) = &mut reading => match received {
                    Ok(results) => {
                        reading = read(reader);
                        if let Some(end) = self.take_results(results).await {
                            return end;
                        }
                        Ok(())
                    }
                    Err(error) => return End::Failed(error),
                },
                _ = check.tick() => {
                    if is_closed && self.pending.is_empty() {
                        return End::Closed;
                    }
                    self.check().await
                }
                () = flush => self.flush().await,
                request = requests.recv(), if !is_closed => match request {
                    Some(request) => self.enqueue(request).await,
                    None => {
                        is_closed = true;
                        Ok(())
                    }
                },
            };
            if let Err(error) = sent {
                return End::Failed(error);
            }
        }
    }

    async fn enqueue(&mut self, request: Request) -> Result<(), Error> {
        // The direct call reports a worker without a known address.
        let Some(address) = self.session.calls.address(&request) else {
            self.session.resolve(Resolution::Call(request));
            return Ok(());
        };
        let (host, call) = (request.host().clone(), worker_call(&request));
        let now = Instant::now();
        match self.pending.insert(request, now) {
            Ok(id) => {
                if self.batch.push(Order { id, host, address, call }, now) {
                    return self.flush().await;
                }
            }
            Err(request) => self.session.resolve(Resolution::Call(request)),
        }
        Ok(())
    }

    async fn check(&mut self) -> Result<(), Error> {
        let now = Instant::now();
        for resolution in self.pending.take_overdue(now) {
            let (Resolution::Unknown(request) | Resolution::Call(request)) = &resolution;
            self.session.notify(NoticeEvent::Unreached(request.host().clone()));
            self.session.resolve(resolution);
        }
        if self.receipts.is_overdue(now) {
            return Err(Error::Stalled(self.receipts.age_ms(now)));
        }
        if !self.pending.is_empty() && self.receipts.is_due(now) {
            return self.flush().await;
        }
        Ok(())
    }

    /// Sends the gathered orders.
    async fn flush(&mut self) -> Result<(), Error> {
        let orders = self.batch.take();
        for order in &orders {
            self.pending.mark_sent(order.id);
        }
        let (number, wants_receipt) = self.receipts.next(Instant::now());
        let epoch = self.session.calls.handle.epoch;
        let batch = OrderBatch { epoch, number, wants_receipt, orders };
        self.writer.write_frame(&batch, false).await?;
        self.session.count_batch("sent");
        Ok(())
    }

    async fn take_results(&mut self, results: ResultBatch) -> Option<End> {
        if let Some(newer) = results.newer_owner {
            self.session.calls.node.ownership.record_owner(&newer);
            return Some(End::Outranked);
        }
        if let Some(number) = results.receipt
            && let Some(time) = self.receipts.take(number, Instant::now())
        {
            let lag = &self.session.calls.node.meters.executor_lag_s;
            lag.with_label_values::<&str>(&[]).observe(time.as_secs_f64());
            self.session.notify(NoticeEvent::Observed(Observation::Receipt(time)));
        }
        if results.is_leaving {
            self.session.notify(NoticeEvent::Observed(Observation::Leaving));
        }
        self.session.count_batch("received");
        for OrderResult { id, outcome } in results.results {
            // The result of an order that was overdue comes too late.
            let Some(request) = self.pending.take(id) else { continue };
            self.session.count_order("carried out");
            if matches!(outcome, WorkerOutcome::PollFailed(CallOutcome::Unknown)) {
                // The executor may be cut off from a worker that others reach.
                self.session.notify(NoticeEvent::Unreached(request.host().clone()));
            }
            self.complete(request, outcome);
        }
        None
    }

    fn complete(&self, request: Request, outcome: WorkerOutcome) {
        let calls = &self.session.calls;
        match (request, outcome) {
            (Request::Start(start), WorkerOutcome::Started { outcome, clock_ms }) => {
                calls.on_started(start, outcome, clock_ms);
            }
            (Request::Stop(stop), WorkerOutcome::Stopped(outcome)) => {
                let calls = calls.clone();
                tokio::spawn(async move { calls.on_stopped(stop, outcome).await });
            }
            (Request::Poll(poll), WorkerOutcome::Polled(report)) => {
                calls.on_polled(poll, Ok(report));
            }
            (Request::Poll(poll), WorkerOutcome::PollFailed(failure)) => {
                calls.on_polled(poll, Err(failure));
            }
            (request, _) => calls.on_unknown(request),
        }
    }
}

/// Reads the next results. The future keeps the reader, since a frame must not be read in part.
fn read(mut reader: Reader) -> Reading {
    Box::pin(async move {
        let results = reader.read_frame().await;
        (reader, results)
    })
}

fn worker_call(request: &Request) -> WorkerCall {
    match request {
        Request::Start(start) => WorkerCall::Start {
            task: start.task,
            attempt: start.attempt,
            payload: start.payload.clone(),
            deadline_ms: start.deadline_ms,
            ticket: start.ticket.clone(),
            checkpoint: start.checkpoint.clone(),
        },
        Request::Stop(stop) => WorkerCall::Stop { task: stop.task, attempt: stop.attempt },
        Request::Poll(poll) => {
            WorkerCall::Poll { ack: poll.ack, deadline_ms: poll.deadline_ms, wait_ms: poll.wait_ms }
        }
    }
}
