//! Carries out the engine's actions: requests to workers, log records, calls for advice.
//!
//! Each request to a worker is a task of its own, so that a slow worker delays no other
//! action.

use std::sync::Arc;
use std::time::Duration;

use sycamore_graph::{Action, Event, HostLoss, LossCause, Poll, Start, StepId, Stop};
use sycamore_platform::site::{CallOutcome, WorkerClient};
use sycamore_types::Name;
use tokio::sync::{Notify, mpsc};

use super::advice::AdviceDispatcher;
use super::journal::Journal;
use super::records::{DecisionRecorder, HEAD_CHECK_INTERVAL, write_heads};
use super::{EndReason, Handle};
use crate::node::Node;
use crate::timing::{ADVICE_CONCURRENCY_INTERVAL, POLL_MARGIN, START_STOP_TIMEOUT};

/// Pause before the engine learns that a stop has no known outcome, or that a worker to
/// poll has no known address. The engine repeats the request shortly afterwards.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Carries out the engine's actions until this process is no longer the owner.
pub(super) async fn run(
    node: Arc<Node>,
    handle: Handle,
    mut actions: mpsc::UnboundedReceiver<Action>,
    journal: Journal,
) -> EndReason {
    let worker = WorkerClient::new(node.client.clone(), handle.epoch);
    let (log_records, received) = mpsc::unbounded_channel();
    let (mut advice, mut ended_calls) = AdviceDispatcher::new(node.clone(), handle.clone());
    let mut journal = std::pin::pin!(journal.run(received));
    let mut recorder = DecisionRecorder::new(
        node.decision_log.clone(),
        node.meters.clone(),
        node.clock,
        handle.epoch,
    );
    let fenced = Arc::new(Notify::new());
    let mut concurrency_check = tokio::time::interval(ADVICE_CONCURRENCY_INTERVAL);
    let mut head_check = tokio::time::interval(HEAD_CHECK_INTERVAL);
    loop {
        tokio::select! {
            _ = concurrency_check.tick() => advice.update_concurrency(),
            _ = head_check.tick() => {
                if let Some(newest) = recorder.due_heads() {
                    tokio::spawn(write_heads(node.store.clone(), newest));
                }
            }
            () = &mut journal => return EndReason::Deposed,
            () = fenced.notified() => return EndReason::Fenced,
            host = ended_calls.recv() => {
                if let Some(host) = host {
                    advice.on_call_ended(&host);
                }
            }
            action = actions.recv() => match action {
                None => return EndReason::Deposed,
                Some(Action::Deposed) => return EndReason::Fenced,
                Some(Action::Append(record)) => {
                    if log_records.send(record).is_err() {
                        return EndReason::Deposed;
                    }
                }
                Some(Action::RecordDecision(decision)) => recorder.record(decision),
                Some(Action::ReportLoss(loss)) => report_loss(&node, &loss, handle.epoch),
                Some(Action::ReportRestriction(queue)) => report_restriction(&node, &queue, handle.epoch),
                Some(Action::ReportTeamUse(rows)) => report_team_use(&node, &rows),
                Some(Action::ReportUnusedReservation { step, host }) => {
                    report_unused_reservation(&node, step, &host, handle.epoch);
                }
                Some(Action::Advise(advise)) => advice.enqueue(advise),
                Some(Action::Start(request)) => start(&node, &handle, &worker, request),
                Some(Action::Stop(request)) => stop(&handle, &worker, request),
                Some(Action::Poll(request)) => poll(&node, &handle, &worker, request, &fenced),
                // Not sent here: the control thread answers callers itself.
                Some(Action::Answer { .. }) => {}
            },
        }
    }
}

fn report_loss(node: &Node, loss: &HostLoss, epoch: u64) {
    let cause = match loss.cause {
        LossCause::Crashed => "crashed",
        LossCause::Drained => "drained",
        LossCause::LeaseExpired => "lease_expired",
    };
    node.meters.host_losses.with_label_values(&[cause]).inc();
    node.meters.suspects.inc_by(loss.suspects as u64);
    let (task, attempt) = loss.youngest;
    log::info!(
        target: "worker", host:% = loss.host, epoch, cause, runs = loss.runs,
        suspects = loss.suspects,
        job:% = task.step.job, occurrence = task.step.occurrence, step = task.step.index,
        task = task.index, attempt, youngest_age_ms = loss.youngest_age_ms,
        silent_ms = loss.silent_ms; "lost a worker with its runs"
    );
}

fn report_unused_reservation(node: &Node, step: StepId, host: &str, epoch: u64) {
    node.meters.unused_reservations.inc();
    log::info!(
        target: "preemption", host, epoch, job:% = step.job, occurrence = step.occurrence,
        step = step.index; "reserved room was not used in time"
    );
}

fn report_restriction(node: &Node, queue: &str, epoch: u64) {
    node.meters.restrictions.inc();
    log::warn!(
        target: "worker", queue, epoch;
        "workers are lost right after starts of this queue; keeping its jobs apart"
    );
}

fn report_team_use(node: &Node, rows: &[(Name, f64, f64)]) {
    for (team, used_s, factor) in rows {
        node.meters.team_past_use_s.with_label_values(&[team]).set(*used_s);
        node.meters.team_usage_factor.with_label_values(&[team]).set(*factor);
    }
}

fn start(node: &Node, handle: &Handle, worker: &WorkerClient, start: Start) {
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
                epoch = handle.epoch, outcome:? = outcome; "start not confirmed"
            );
        }
        let Start { host, task, attempt, .. } = start;
        handle.send(Event::Started { host, task, attempt, outcome, clock_ms });
    });
}

fn stop(handle: &Handle, worker: &WorkerClient, stop: Stop) {
    let (handle, worker) = (handle.clone(), worker.clone());
    tokio::spawn(async move {
        let outcome = match handle.addresses.get(&stop.host) {
            Some(address) => worker.stop(address, &stop, START_STOP_TIMEOUT).await,
            None => CallOutcome::Unknown,
        };
        if outcome == CallOutcome::Unknown {
            // The engine repeats the stop at its first tick after this event.
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        let is_accepted = outcome == CallOutcome::Taken;
        let Stop { host, task, attempt } = stop;
        handle.send(Event::Stopped { host, task, attempt, is_accepted });
    });
}

fn poll(node: &Node, handle: &Handle, worker: &WorkerClient, poll: Poll, fenced: &Arc<Notify>) {
    let (handle, worker, fenced) = (handle.clone(), worker.clone(), fenced.clone());
    let polls = node.meters.polls.clone();
    tokio::spawn(async move {
        let timeout = Duration::from_millis(poll.wait_ms) + POLL_MARGIN;
        let report = match handle.addresses.get(&poll.host) {
            Some(address) => worker.poll(address, &poll, timeout).await,
            None => {
                tokio::time::sleep(RETRY_PAUSE).await;
                Err(CallOutcome::Unknown)
            }
        };
        let outcome =
            report.as_ref().map_or_else(|failure| format!("{failure:?}"), |_| "Taken".into());
        polls.with_label_values(&[&outcome]).inc();
        if matches!(report, Err(CallOutcome::Fenced)) {
            fenced.notify_one();
        }
        let (host, number) = (poll.host, poll.number);
        handle.send(match report {
            Ok(report) => Event::Polled { host, poll: number, report },
            Err(failure) => {
                Event::PollFailed { host, poll: number, is_gone: failure == CallOutcome::Gone }
            }
        });
    });
}
