//! Explanations of recorded decisions for a reader.
//!
//! Each record holds the values that its decision was based on, so the explanation needs no
//! other state of the scheduler.

use sycamore_core::record::{Grounds, StartReason, Verdict};

use crate::Record;

/// Returns one line for each decision about a job, its tasks, or a request: what was decided and
/// why. Lines that are not records are skipped.
pub fn explain<'a>(lines: impl Iterator<Item = &'a str>, subject: &str) -> Vec<String> {
    let records = lines.filter_map(|line| serde_json::from_str::<Record>(line).ok());
    let is_about = |record: &Record| {
        let recorded = &record.decision.subject;
        // The subject of a task is the name of its job, a separator and the numbers of the task.
        recorded == subject
            || recorded.strip_prefix(subject).is_some_and(|rest| rest.starts_with(['/', '.']))
    };
    records.filter(is_about).map(|record| describe(&record)).collect()
}

fn describe(record: &Record) -> String {
    let decision = &record.decision;
    let what = match &decision.verdict {
        Verdict::Started { host, why } => format!("started on {host}: {}", describe_reason(why)),
        Verdict::Preempted { host } => {
            format!("stopped on {host} to make room for urgent work or a lowered limit")
        }
        Verdict::Refused { reason } => format!("refused: {reason}"),
        Verdict::Ended { is_success: true } => "ended well".to_string(),
        Verdict::Ended { is_success: false } => "ended without success".to_string(),
        Verdict::Accepted => "accepted".to_string(),
        Verdict::Placed { host, attempt, grounds } => {
            format!("started on {host}, attempt {attempt}: {}", describe_grounds(grounds))
        }
        Verdict::RunEnded { host, attempt, how } => {
            format!("attempt {attempt} on {host} ended: {how}")
        }
        Verdict::GivenUp { crashes } => {
            format!("given up: {crashes} workers crashed or were lost while they ran it")
        }
        Verdict::PreemptedFor { host, attempt, beneficiary, cost_core_ms } => format!(
            "attempt {attempt} stopped on {host} to make room for {beneficiary}, at a cost of \
             {cost_core_ms} core-milliseconds"
        ),
        Verdict::Closed { state } => format!("closed: {state}"),
        Verdict::Owned { owner } => format!("{owner} became the owner"),
    };
    format!(
        "{} shard {} epoch {} decision {} (configuration {}): {} of team {} {what}",
        record.at_ms,
        decision.shard,
        decision.epoch,
        decision.sequence,
        decision.config,
        decision.subject,
        decision.team,
    )
}

fn describe_reason(why: &StartReason) -> String {
    let own = format!(
        "{} work, number {} to arrive, waited {} ms; the team's weighted share was {:.2}%",
        why.class,
        why.arrival,
        why.waited_ms,
        100.0 * why.share
    );
    match &why.next_team {
        None => format!("{own}; no other team waited in its class"),
        Some(team) => {
            format!("{own}; next in line was team {team} at {:.2}%", 100.0 * why.next_share)
        }
    }
}

fn describe_grounds(grounds: &Grounds) -> String {
    let mut text = format!(
        "number {} of {} steps that waited, priority {}, {} ms of slack, waited {} ms; the team's \
         share was {:.2}%{}",
        grounds.place,
        grounds.waiting,
        grounds.priority,
        grounds.slack_ms,
        grounds.waited_ms,
        100.0 * grounds.share,
        if grounds.is_over_share { ", over what it is due" } else { "" },
    );
    text.push_str(&format!(
        "; the host had {} thousandths of a core free by a report {} ms old",
        grounds.free_cpu_millis, grounds.report_age_ms
    ));
    if let Some(factor) = grounds.usage_factor.filter(|factor| *factor < 1.0) {
        text.push_str(&format!("; it was due {factor:.2} of what it had used in the past"));
    }
    if let Some(wait_ms) = grounds.turn_wait_ms {
        text.push_str(&format!(
            "; it went before steps of higher rank as it had waited {wait_ms} ms for its turn"
        ));
    }
    if let Some(left_ms) = grounds.ticket_left_ms {
        text.push_str(&format!("; its ticket was good for {left_ms} ms"));
    }
    text
}
