//! Carries out the engine's actions: requests to workers, log records, calls for advice.
//!
//! Requests to workers are made directly, or through executors where there are many workers.

use std::sync::Arc;

use sycamore_graph::{Action, ExpiredLease, HostLoss, LossCause, StepId};
use sycamore_types::Name;
use tokio::sync::{Notify, mpsc};

use super::advice::AdviceDispatcher;
use super::calls::{Calls, Request};
use super::executors::{self, Executors};
use super::journal::Journal;
use super::records::{DecisionRecorder, HEAD_CHECK_INTERVAL, write_heads};
use super::{EndReason, Handle};
use crate::node::Node;
use crate::timing::ADVICE_UPDATE_INTERVAL;

/// Carries out the engine's actions until this process is no longer the owner.
pub(super) async fn run(
    node: Arc<Node>,
    handle: Handle,
    mut actions: mpsc::UnboundedReceiver<Action>,
    journal: Journal,
) -> EndReason {
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
    let calls = Calls::new(node.clone(), handle.clone(), fenced.clone());
    let (mut executors, mut notices) = Executors::new(calls, executors::min_workers());
    let mut executor_update = tokio::time::interval(executors::UPDATE_INTERVAL);
    let mut advice_update = tokio::time::interval(ADVICE_UPDATE_INTERVAL);
    let mut head_check = tokio::time::interval(HEAD_CHECK_INTERVAL);
    loop {
        tokio::select! {
            _ = advice_update.tick() => advice.update(),
            _ = executor_update.tick() => executors.update(),
            notice = notices.recv() => {
                if let Some(notice) = notice {
                    executors.on_notice(notice);
                }
            }
            _ = head_check.tick() => {
                if let Some(newest) = recorder.due_heads() {
                    tokio::spawn(write_heads(node.store.clone(), newest));
                }
            }
            () = &mut journal => return EndReason::Deposed,
            () = fenced.notified() => return EndReason::Fenced,
            ended = ended_calls.recv() => {
                if let Some(ended) = ended {
                    advice.on_call_ended(&ended);
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
                Some(Action::ReportExpiredLease(lease)) => {
                    report_expired_lease(&node, &lease, handle.epoch);
                }
                Some(Action::ReportRestriction(queue)) => report_restriction(&node, &queue, handle.epoch),
                Some(Action::ReportTeamUse(rows)) => report_team_use(&node, &rows),
                Some(Action::ReportUnusedReservation { step, host }) => {
                    report_unused_reservation(&node, step, &host, handle.epoch);
                }
                Some(Action::Advise(advise)) => advice.enqueue(advise),
                Some(Action::Start(request)) => executors.send(Request::Start(request)),
                Some(Action::Stop(request)) => executors.send(Request::Stop(request)),
                Some(Action::Poll(request)) => executors.send(Request::Poll(request)),
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
        LossCause::GangBroken => "gang_broken",
    };
    node.meters.host_losses.with_label_values(&[cause]).inc();
    node.meters.suspects.inc_by(loss.suspects as u64);
    let (task, attempt) = loss.youngest;
    log::info!(
        target: "worker", host:% = loss.host, epoch, cause, runs = loss.runs,
        suspects = loss.suspects, kept = loss.kept,
        job:% = task.step.job, occurrence = task.step.occurrence, step = task.step.index,
        task = task.index, attempt, youngest_age_ms = loss.youngest_age_ms,
        silent_ms = loss.silent_ms; "lost a worker with its runs"
    );
}

fn report_expired_lease(node: &Node, lease: &ExpiredLease, epoch: u64) {
    let granted_by = if lease.was_granted_here { "this_owner" } else { "earlier_owner" };
    node.meters.expired_leases.with_label_values(&[granted_by]).inc();
    log::info!(
        target: "worker", host:% = lease.host, epoch, runs = lease.runs,
        may_have_had_others = lease.may_have_had_others, granted_by, silent_ms = lease.silent_ms;
        "the lease of a worker has expired"
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
