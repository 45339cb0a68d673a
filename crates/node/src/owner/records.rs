//! Writes the owner's decisions as audit records.
//!
//! Each decision becomes a record in a hash chain, streamed together with the log
//! lines. The head of the chain, its newest record, is written to the store every
//! [`HEAD_INTERVAL`], so that an audit notices when records are missing from the stream.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use sycamore_audit::{Chain, HEAD_INTERVAL, Heads};
use sycamore_core::record::{self, Decision};
use sycamore_graph::{self as graph, RunEnd, job};
use sycamore_platform::site::{Store, StoreError, Transaction};
use sycamore_telemetry::logs::LineSender;
use sycamore_types::{Name, id};

use crate::clock::Clock;
use crate::metrics::Meters;
use crate::timing::STORE_TIMEOUT;

/// Store key of the chain heads.
const HEADS_KEY: &str = "sycamore/heads";

/// Interval at which to check whether a head is due to be written.
pub(super) const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the only shard of a site.
fn site_shard() -> id::Shard {
    id::Shard::new("site", 0)
}

/// Appends the decisions of one owner to its hash chain.
#[derive(Debug)]
pub(super) struct DecisionRecorder {
    chain: Chain,
    lines: LineSender,
    meters: Meters,
    clock: Clock,
    epoch: u64,
    /// Number of the last record.
    sequence: u64,
    /// Number of the last record whose head was returned by [`Self::due_heads`].
    written_sequence: u64,
    last_heads_at: Instant,
}

impl DecisionRecorder {
    pub fn new(lines: LineSender, meters: Meters, clock: Clock, epoch: u64) -> DecisionRecorder {
        let chain = Chain::default();
        DecisionRecorder {
            chain,
            lines,
            meters,
            clock,
            epoch,
            sequence: 0,
            written_sequence: 0,
            last_heads_at: Instant::now(),
        }
    }

    /// Appends a decision to the chain, and streams its record.
    pub fn record(&mut self, decision: graph::Decision) {
        self.count_metrics(&decision.verdict);
        self.sequence += 1;
        let (subject, verdict) = to_record(decision.verdict);
        let decision = Decision {
            shard: site_shard(),
            epoch: self.epoch,
            sequence: self.sequence,
            config: decision.config,
            subject,
            team: decision.team,
            verdict,
        };
        let record = self.chain.append(decision, self.clock.now().unix_ms);
        match serde_json::to_vec(&record) {
            Ok(mut line) => {
                line.push(b'\n');
                self.lines.send(line);
            }
            Err(error) => log::error!("decision record can't be serialized: {error}"),
        }
    }

    fn count_metrics(&self, verdict: &graph::Verdict) {
        match verdict {
            graph::Verdict::Accepted(_) => {}
            graph::Verdict::Placed { grounds, .. } => {
                let priority = grounds.rank.priority.to_string();
                let wait_s = grounds.waited_ms as f64 / 1_000.0;
                self.meters.start_wait_s.with_label_values(&[&priority]).observe(wait_s);
            }
            graph::Verdict::Ended { how, .. } => {
                self.meters.ends.with_label_values(&[end_name(*how)]).inc();
            }
            graph::Verdict::GivenUp { .. } => self.meters.given_up.inc(),
            graph::Verdict::Preempted { cost_core_ms, .. }
            | graph::Verdict::Recalled { cost_core_ms, .. } => {
                self.meters.preemptions.inc();
                self.meters.preempted_core_ms.inc_by(*cost_core_ms);
            }
            graph::Verdict::Closed(_, state) => {
                self.meters.jobs_closed.with_label_values(&[state_name(*state)]).inc();
            }
        }
    }

    /// Returns the head of the chain if it is due to be written: [`HEAD_INTERVAL`] has
    /// passed since the last one, and there are new records.
    pub fn due_heads(&mut self) -> Option<BTreeMap<id::Shard, Heads>> {
        if self.written_sequence == self.sequence || self.last_heads_at.elapsed() < HEAD_INTERVAL {
            return None;
        }
        self.last_heads_at = Instant::now();
        self.written_sequence = self.sequence;
        let mut newest = BTreeMap::new();
        for (shard, (epoch, head)) in self.chain.heads() {
            let mut heads = Heads::default();
            heads.set(epoch, head);
            newest.insert(shard, heads);
        }
        Some(newest)
    }
}

/// Adds heads to those in the store. A failed write is not repeated: the next head, written
/// after further decisions, covers the same records.
pub(super) async fn write_heads(store: Store, newest: BTreeMap<id::Shard, Heads>) {
    if let Err(error) = try_write_heads(&store, newest).await {
        log::debug!("chain heads not written: {error}");
    }
}

async fn try_write_heads(
    store: &Store,
    newest: BTreeMap<id::Shard, Heads>,
) -> Result<(), StoreError> {
    let found = store.get(HEADS_KEY, STORE_TIMEOUT).await?;
    let rev = found.as_ref().map_or(0, |item| item.rev);
    let mut stored: BTreeMap<id::Shard, Heads> = match found {
        Some(item) => serde_json::from_slice(&item.value).unwrap_or_else(|error| {
            log::error!("stored chain heads are malformed; replacing them: {error}");
            BTreeMap::new()
        }),
        None => BTreeMap::new(),
    };
    for (shard, heads) in newest {
        let stored_heads = stored.entry(shard).or_default();
        heads.epochs.into_iter().for_each(|(epoch, head)| stored_heads.set(epoch, head));
    }
    let value = serde_json::to_vec(&stored).map_err(|e| StoreError::NotSent(e.to_string()))?;
    let change = Transaction::default().expect(HEADS_KEY, rev).put(HEADS_KEY, &value);
    store.commit(&change, STORE_TIMEOUT).await.map(|_| ())
}

fn to_record(verdict: graph::Verdict) -> (String, record::Verdict) {
    match verdict {
        graph::Verdict::Accepted(job) => (job.to_string(), record::Verdict::Accepted),
        graph::Verdict::Closed(job, state) => {
            (job.to_string(), record::Verdict::Closed { state: Name::from(state_name(state)) })
        }
        graph::Verdict::GivenUp { task, crashes } => {
            (subject(&task), record::Verdict::GivenUp { crashes })
        }
        graph::Verdict::Preempted { task, attempt, host, beneficiary, cost_core_ms }
        | graph::Verdict::Recalled { task, attempt, host, beneficiary, cost_core_ms } => {
            let beneficiary = step_subject(&beneficiary);
            (
                subject(&task),
                record::Verdict::PreemptedFor { host, attempt, beneficiary, cost_core_ms },
            )
        }
        graph::Verdict::Placed { task, attempt, host, grounds } => {
            let grounds = to_record_grounds(&grounds);
            (subject(&task), record::Verdict::Placed { host, attempt, grounds })
        }
        graph::Verdict::Ended { task, attempt, host, how } => {
            let how = Name::from(end_name(how));
            (subject(&task), record::Verdict::RunEnded { host, attempt, how })
        }
    }
}

fn subject(task: &graph::TaskId) -> String {
    format!("{}.{}", step_subject(&task.step), task.index)
}

fn step_subject(step: &graph::StepId) -> String {
    format!("{}.{}.{}", step.job, step.occurrence, step.index)
}

fn to_record_grounds(grounds: &graph::Grounds) -> record::Grounds {
    record::Grounds {
        place: grounds.place,
        waiting: grounds.waiting,
        priority: grounds.rank.priority,
        slack_ms: grounds.rank.slack_ms,
        waited_ms: grounds.waited_ms,
        share: grounds.share,
        is_over_share: grounds.rank.is_over_share,
        is_hopeless: grounds.rank.is_hopeless,
        free_cpu_millis: grounds.free_cpu_millis,
        report_age_ms: grounds.report_age_ms,
        ticket_left_ms: grounds.ticket_left_ms,
        usage_factor: grounds.usage_factor,
        turn_wait_ms: grounds.turn_wait_ms,
    }
}

fn state_name(state: job::State) -> &'static str {
    match state {
        job::State::Queued => "queued",
        job::State::Running => "running",
        job::State::Complete => "complete",
        job::State::Failed => "failed",
        job::State::Cancelled => "cancelled",
    }
}

fn end_name(how: RunEnd) -> &'static str {
    match how {
        RunEnd::Done => "done",
        RunEnd::Failed => "failed",
        RunEnd::Stopped => "stopped",
        RunEnd::LeaseExpired => "lapsed",
        RunEnd::GangBroken => "broken",
        RunEnd::GangTimedOut => "alone",
        RunEnd::HostCrashed => "crashed",
        RunEnd::Collateral => "collateral",
    }
}
