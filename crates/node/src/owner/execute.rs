use std::sync::Arc;
use std::time::Duration;

use sycamore_graph::{Action, Event, Poll, Start, Stop};
use sycamore_platform::site::{Order, Worker};
use tokio::sync::mpsc;

use super::dealer::Dealer;
use super::journal::Journal;
use super::records::{HEAD_POLL, Records, write_heads};
use super::{End, Handle};
use crate::node::Node;
use crate::timing::{ADVICE_CONCURRENCY_INTERVAL, POLL_MARGIN, START_STOP_TIMEOUT};

/// Pause before a look at a worker without a known address is given up.
const NO_ADDRESS_PAUSE: Duration = Duration::from_millis(200);

/// Carries the engine's actions out until this process no longer owns.
pub(super) async fn run(
    node: Arc<Node>,
    handle: Handle,
    mut actions: mpsc::UnboundedReceiver<Action>,
    journal: Journal,
) -> End {
    let worker = Worker::new(node.client.clone(), handle.epoch);
    let (pages, received) = mpsc::unbounded_channel();
    let (mut dealer, mut ended) = Dealer::new(node.clone(), handle.clone());
    let mut journal = std::pin::pin!(journal.run(received));
    let mut records =
        Records::new(node.decision_log.clone(), node.meters.clone(), node.clock, handle.epoch);
    let mut refresh = tokio::time::interval(ADVICE_CONCURRENCY_INTERVAL);
    let mut heads = tokio::time::interval(HEAD_POLL);
    loop {
        tokio::select! {
            _ = refresh.tick() => dealer.refresh(),
            _ = heads.tick() => {
                if let Some(newest) = records.due_head() {
                    tokio::spawn(write_heads(node.store.clone(), newest));
                }
            }
            () = &mut journal => return End::Deposed,
            host = ended.recv() => {
                if let Some(host) = host {
                    dealer.free(&host);
                }
            }
            action = actions.recv() => match action {
                None | Some(Action::Deposed) => return End::Deposed,
                Some(Action::Append(record)) => {
                    if pages.send(record).is_err() {
                        return End::Deposed;
                    }
                }
                Some(Action::RecordDecision(decision)) => records.add(decision),
                Some(Action::Advise(advise)) => dealer.take(advise),
                Some(Action::Start(order)) => start(&node, &handle, &worker, order),
                Some(Action::Stop(order)) => stop(&handle, &worker, order),
                Some(Action::Poll(look)) => hold(&node, &handle, &worker, look),
                // Answers stay with the control thread.
                Some(Action::Answer { .. }) => {}
            },
        }
    }
}

fn start(node: &Node, handle: &Handle, worker: &Worker, start: Start) {
    let (handle, worker) = (handle.clone(), worker.clone());
    let starts = node.meters.starts.clone();
    tokio::spawn(async move {
        let (outcome, clock_ms) = match handle.addresses.get(&start.host) {
            Some(address) => worker.start(address, &start, START_STOP_TIMEOUT).await,
            None => (sycamore_graph::StartOutcome::Rejected, 0),
        };
        starts.with_label_values(&[&format!("{outcome:?}")]).inc();
        if outcome != sycamore_graph::StartOutcome::Started {
            log::info!(
                target: "start", job:% = start.task.step.job, step = start.task.step.index,
                task = start.task.index, attempt = start.attempt, host:% = start.host,
                epoch = handle.epoch, outcome:? = outcome; "start not taken"
            );
        }
        let Start { host, task, attempt, .. } = start;
        handle.tell(Event::Started { host, task, attempt, outcome, clock_ms });
    });
}

fn stop(handle: &Handle, worker: &Worker, stop: Stop) {
    let (handle, worker) = (handle.clone(), worker.clone());
    tokio::spawn(async move {
        let order = match handle.addresses.get(&stop.host) {
            Some(address) => worker.stop(address, &stop, START_STOP_TIMEOUT).await,
            None => Order::Unknown,
        };
        if order == Order::Unknown {
            // The engine repeats at its next tick, not at once.
            tokio::time::sleep(NO_ADDRESS_PAUSE).await;
        }
        let is_taken = order == Order::Taken;
        let Stop { host, task, attempt } = stop;
        handle.tell(Event::Stopped { host, task, attempt, is_accepted: is_taken });
    });
}

fn hold(node: &Node, handle: &Handle, worker: &Worker, hold: Poll) {
    let (handle, worker) = (handle.clone(), worker.clone());
    let looks = node.meters.polls.clone();
    tokio::spawn(async move {
        let timeout = Duration::from_millis(hold.wait_ms) + POLL_MARGIN;
        let report = match handle.addresses.get(&hold.host) {
            Some(address) => worker.hold(address, &hold, timeout).await,
            None => {
                tokio::time::sleep(NO_ADDRESS_PAUSE).await;
                Err(Order::Unknown)
            }
        };
        let outcome = report.as_ref().map_or_else(|order| format!("{order:?}"), |_| "Taken".into());
        looks.with_label_values(&[&outcome]).inc();
        let (host, number) = (hold.host, hold.number);
        handle.tell(match report {
            Ok(report) => Event::Polled { host, poll: number, report },
            Err(order) => Event::PollFailed { host, poll: number, is_gone: order == Order::Gone },
        });
    });
}
