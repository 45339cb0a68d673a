//! The owner's view of one host: its free capacity, its runs and its lease.

mod run;
mod speed;

use std::collections::{BTreeMap, BTreeSet};

use sycamore_types::resources::Resources;

pub use run::RunEnd;
pub(crate) use run::{Phase, Run};
pub(crate) use speed::Speed;

use crate::{HostEntry, TaskId, Timing, job};

/// Consecutive failed runs after which a host is quarantined.
const MAX_CONSECUTIVE_FAILURES: u32 = 4;

/// Time without new tasks after too many consecutive failures, in milliseconds.
const QUARANTINE_MS: u64 = 4_000;

/// Consecutive starts without a confirmation from which other hosts are preferred. Single orders get
/// lost on sound hosts, too.
const MAX_START_FAILURES: u32 = 2;

/// Time within which starts without a confirmation count once, in milliseconds: some of those that
/// were sent together are refused at once, others time out.
const START_FAILURE_WINDOW_MS: u64 = 600;

/// Time for which other hosts are preferred then, in milliseconds. It exceeds the time until the
/// outcome of such a start is known.
const AVOIDANCE_MS: u64 = 3_000;

/// Most times that this time is doubled if the host confirms no start after it either.
const MAX_AVOIDANCE_DOUBLINGS: u32 = 3;

/// Most difference between the clock in a reply and the one that the last report lets expect, in
/// milliseconds: reports were under way for a time that is not known, and clocks drift. The clock of
/// another incarnation differs by the whole life of the earlier one.
const MAX_CLOCK_ERROR_MS: u64 = 250;

/// Time for which a start request without a reply may still be carried out, in milliseconds. The
/// platform's documentation of faults names 2 to 12 s.
const MAX_START_DELAY_MS: u64 = 12_000;

/// Time for which a request from before may still extend the lease of a new incarnation, in
/// milliseconds. Shorter than that for starts: for as long as this, the tasks of a host that falls
/// silent again wait.
const MAX_RENEWAL_DELAY_MS: u64 = 6_000;

/// What the log says about a host, and so what a successor has to expect there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LogState {
    /// The log does not name the host: it has no run of this owner or an earlier one.
    Unused,
    /// The record that the host is used is not durable yet.
    UsePending,
    /// The host may have any run.
    Used,
    /// The host may have only the runs that it had when it stopped taking new tasks, because
    /// it drains or is evacuated, is no longer listed or is silent.
    Leaving,
}

/// A host in its current incarnation.
#[derive(Debug)]
pub(crate) struct Host {
    pub entry: HostEntry,
    /// Number of the host, unique within this engine. A compact key in place of the name.
    pub number: u32,
    /// The platform's list contains the host.
    pub is_listed: bool,
    /// Lower bound of the time at which this incarnation last wrote its entry, in milliseconds.
    /// `None` if unknown.
    pub capacity_written_ms: Option<u64>,
    /// Time until which this incarnation has announced to go on while it drains, in milliseconds. Zero
    /// if it has announced none.
    pub serves_until_ms: u64,
    /// The failure domain of the host is evacuated.
    pub is_evacuated: bool,
    /// The host has replied to a poll with this owner's fencing token and has not been
    /// lost since. Its clock is known, its lease may be renewed and its run ends acknowledged.
    pub has_reported: bool,
    /// All that the host has run for earlier owners is known or over: a report has listed everything,
    /// or the lease has expired since.
    pub is_accounted_for: bool,
    /// The last report left something out that the next ones may leave out as well, as it is not
    /// waiting behind other run ends.
    pub has_unreadable_rows: bool,
    /// What the log says about the host.
    pub log: LogState,
    /// Largest capacity in the log.
    pub logged_capacity: Resources,
    /// Resources allocated to the runs.
    pub used: Resources,
    /// Part of them that does not become free by itself: that of services, except best-effort ones,
    /// which may be stopped for other tasks.
    pub lasting_use: Resources,
    /// Runs that exist or may exist, by task and attempt.
    pub runs: BTreeMap<(TaskId, u32), Run>,
    /// Number of runs with a latency objective.
    pub latency_runs: u32,
    /// Number of best-effort runs.
    pub best_effort_runs: u32,
    /// Number of runs that use room kept for gangs and may be stopped for these.
    pub loan_count: u32,
    /// Number of isolated runs, by job.
    pub isolated_runs: BTreeMap<job::Id, u32>,
    /// Jobs whose isolated runs were lost with this incarnation.
    pub lost_suspects: BTreeSet<job::Id>,
    /// Time of the last poll that checked whether they are there, in milliseconds.
    pub isolation_checked_ms: u64,
    /// Speed of this incarnation, compared with other hosts.
    pub speed: Speed,
    /// Number of the last run end that was processed.
    pub last_seen_end: u64,
    /// Number of the last run end whose record is durable.
    pub last_durable_end: u64,
    /// Number of the last run end that the host no longer lists.
    pub last_forgotten_end: u64,
    /// The host's clock minus the owner's monotonic clock, in milliseconds.
    pub clock_offset_ms: i64,
    /// A reply since the last report had another clock than that, so that another incarnation may
    /// have sent it.
    has_other_clock: bool,
    /// Start requests that got no reply: task, attempt and time at which that was known, in
    /// milliseconds. The incarnation that they were sent to has been kept from carrying them out, but
    /// not the next one.
    unanswered_starts: Vec<(TaskId, u32, u64)>,
    /// Time until which the host may honour a lease, in milliseconds. Every order with a
    /// deadline moves it, whatever its reply: the host may carry it out late, and takes the
    /// deadline even of a start that it refuses.
    lease_until_ms: u64,
    /// This owner has granted a lease.
    pub has_granted: bool,
    /// The lease counts as expired, and the host has not reported since.
    pub is_written_off: bool,
    /// Number of the poll in flight.
    pub poll_in_flight: Option<u64>,
    /// Time before which no poll is sent, in milliseconds.
    pub poll_not_before_ms: u64,
    /// Time of the last reply to a poll, in milliseconds.
    pub reported_ms: u64,
    /// Time of the first failed poll since the last report, in milliseconds.
    pub unreachable_since_ms: Option<u64>,
    /// Consecutive polls without a reply.
    pub missed_polls: u32,
    /// Consecutive failed runs, a sign that the host itself is faulty. A completed run resets
    /// the count; stopped and lost runs and those of closed jobs leave it unchanged. Runs of
    /// all jobs count alike, so that one faulty job with several tasks can also quarantine
    /// the host.
    pub consecutive_failures: u32,
    /// Time until which the host gets no new tasks, in milliseconds.
    pub quarantined_until_ms: u64,
    /// Starts without a confirmation since the last confirmed one. Those within
    /// [`START_FAILURE_WINDOW_MS`] count once.
    start_failures: u32,
    /// Time of the first start that the last one of them counts with, in milliseconds.
    start_failed_ms: u64,
    /// Time at which the last start failed, in milliseconds.
    last_start_failure_ms: u64,
    /// Time until which other hosts are preferred, as starts do not arrive here, in milliseconds.
    avoided_until_ms: u64,
}

impl Host {
    /// Creates a host whose lease an earlier owner may have renewed just now.
    pub fn new(entry: HostEntry, number: u32, now_ms: u64, timing: &Timing) -> Host {
        Host {
            entry,
            number,
            is_listed: true,
            capacity_written_ms: None,
            serves_until_ms: 0,
            is_evacuated: false,
            has_reported: false,
            is_accounted_for: true,
            has_unreadable_rows: false,
            log: LogState::Unused,
            logged_capacity: Resources::default(),
            used: Resources::default(),
            lasting_use: Resources::default(),
            runs: BTreeMap::new(),
            latency_runs: 0,
            best_effort_runs: 0,
            loan_count: 0,
            isolated_runs: BTreeMap::new(),
            lost_suspects: BTreeSet::new(),
            isolation_checked_ms: 0,
            speed: Speed::default(),
            last_seen_end: 0,
            last_durable_end: 0,
            last_forgotten_end: 0,
            clock_offset_ms: 0,
            has_other_clock: false,
            unanswered_starts: Vec::new(),
            lease_until_ms: timing.lease_until_ms(now_ms, timing.lease_ms),
            has_granted: false,
            is_written_off: false,
            poll_in_flight: None,
            poll_not_before_ms: 0,
            reported_ms: 0,
            unreachable_since_ms: None,
            missed_polls: 0,
            consecutive_failures: 0,
            quarantined_until_ms: 0,
            start_failures: 0,
            start_failed_ms: 0,
            last_start_failure_ms: 0,
            avoided_until_ms: 0,
        }
    }

    /// Returns whether the listed capacity may still be used for placement.
    pub fn has_current_capacity(&self, now_ms: u64, max_age_ms: u64) -> bool {
        self.capacity_written_ms.is_some_and(|written_ms| now_ms <= written_ms + max_age_ms)
    }

    /// Returns whether the host may get new tasks once its capacity is known.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.log == LogState::Used && !self.is_evacuated && self.would_be_usable(now_ms)
    }

    /// Returns whether the host may get new tasks except for an evacuation and its log record.
    pub fn would_be_usable(&self, now_ms: u64) -> bool {
        self.is_listed
            && self.has_reported
            && self.is_accounted_for
            && !self.entry.is_draining
            && self.missed_polls == 0
            && now_ms >= self.quarantined_until_ms
    }

    /// Returns whether operators keep new tasks off the host, by draining it or by evacuating its
    /// failure domain. Its end is no sign of a fault then.
    pub fn is_withdrawn(&self) -> bool {
        self.entry.is_draining || self.is_evacuated
    }

    /// Returns the times at which [`Host::is_usable`], [`Host::is_avoided`] and
    /// [`Host::has_current_capacity`] may change without an event, in milliseconds.
    pub fn usability_changes_ms(&self, now_ms: u64, max_age_ms: u64) -> impl Iterator<Item = u64> {
        let too_old_ms = self.capacity_written_ms.map(|written_ms| written_ms + max_age_ms + 1);
        let times = [Some(self.quarantined_until_ms), Some(self.avoided_until_ms), too_old_ms];
        times.into_iter().flatten().filter(move |at_ms| now_ms < *at_ms)
    }

    /// Returns the most resources that runs of an earlier owner may take up.
    pub fn largest_capacity(&self) -> Resources {
        self.entry.capacity.max_per_dimension(&self.logged_capacity)
    }

    /// Returns the capacity that is not allocated.
    pub fn free(&self) -> Resources {
        self.entry.capacity.minus(&self.used)
    }

    /// Returns the resources of the runs that use room kept for gangs, and whether one of them may be stopped
    /// for these now.
    pub fn loans(&self, now_ms: u64) -> (Resources, bool) {
        if self.loan_count == 0 {
            return (Resources::default(), false);
        }
        let lent = self.runs.values().filter(|run| run.lent_until_ms.is_some());
        lent.fold((Resources::default(), false), |(sum, is_any_over), run| {
            (sum.plus(&run.footprint), is_any_over || run.is_loan_over(now_ms))
        })
    }

    /// Returns the time after which the lease has certainly expired, in milliseconds.
    pub fn lease_until_ms(&self) -> u64 {
        self.lease_until_ms
    }

    /// Returns whether the lease has certainly expired at a time, so that no run of this owner or an
    /// earlier one can still exist on the host.
    pub fn is_lease_expired(&self, at_ms: u64) -> bool {
        at_ms > self.lease_until_ms
    }

    /// Returns the deadline of an order that is valid for `granted_ms`, on the host's clock.
    /// The order may extend the lease until then.
    pub fn grant(&mut self, now_ms: u64, granted_ms: u64, timing: &Timing) -> u64 {
        self.has_granted = true;
        self.extend_lease(now_ms, granted_ms, timing);
        self.clock_at(now_ms) + granted_ms
    }

    /// Returns the number of the last run end that a poll may let the host forget. Zero unless the
    /// host has ends to forget and its incarnation is certain: the next one counts from 1, and would
    /// forget ends that nobody has seen.
    pub fn end_to_forget(&self) -> u64 {
        let is_certain = self.has_reported && self.missed_polls == 0 && !self.has_other_clock;
        let is_due = self.last_durable_end > self.last_forgotten_end;
        if is_certain && is_due { self.last_durable_end } else { 0 }
    }

    /// Takes the clock from a report, in milliseconds.
    pub fn set_clock(&mut self, clock_ms: u64, now_ms: u64) {
        self.clock_offset_ms = clock_ms as i64 - now_ms as i64;
        self.has_other_clock = false;
    }

    /// Returns whether a reply since the last report had another clock than that.
    pub fn has_other_clock(&self) -> bool {
        self.has_other_clock
    }

    /// Compares the clock in a reply to a start that was sent at `sent_ms` with that of the last
    /// report, in milliseconds. Returns whether the same incarnation has certainly sent both.
    pub fn check_clock(
        &mut self,
        clock_ms: u64,
        sent_ms: u64,
        now_ms: u64,
        timing: &Timing,
    ) -> bool {
        if clock_ms == 0 || !self.has_reported {
            return false;
        }
        let is_ahead = clock_ms > self.clock_at(now_ms) + MAX_CLOCK_ERROR_MS;
        let is_behind = clock_ms + MAX_CLOCK_ERROR_MS < self.clock_at(sent_ms);
        self.has_other_clock |= is_ahead || is_behind;
        // A clock that is ahead may be that of an incarnation before this one.
        if !is_ahead {
            self.clock_offset_ms = clock_ms as i64 - now_ms as i64;
        }
        if self.has_other_clock {
            // On a clock that began later, the deadline of the request is far ahead.
            self.extend_lease(now_ms, timing.lease_ms, timing);
        }
        !self.has_other_clock
    }

    /// Notes that the host may honour a lease that is granted for `granted_ms` from now on.
    fn extend_lease(&mut self, now_ms: u64, granted_ms: u64, timing: &Timing) {
        self.lease_until_ms = self.lease_until_ms.max(timing.lease_until_ms(now_ms, granted_ms));
    }

    /// Notes that a start request got no reply.
    pub fn record_unanswered_start(&mut self, task: TaskId, attempt: u32, now_ms: u64) {
        self.unanswered_starts.retain(|(.., at_ms)| may_come_late(*at_ms, now_ms));
        self.unanswered_starts.push((task, attempt, now_ms));
    }

    /// Returns whether start requests without a reply may still be carried out.
    pub fn has_unanswered_starts(&self, now_ms: u64) -> bool {
        self.unanswered_starts.iter().any(|(.., at_ms)| may_come_late(*at_ms, now_ms))
    }

    /// Notes that the incarnation is a new one. Requests from before may still extend its lease, as
    /// their deadlines are times on another clock. Returns the starts among them that got no reply.
    pub fn expect_earlier_requests(&mut self, now_ms: u64, timing: &Timing) -> Vec<(TaskId, u32)> {
        self.extend_lease(now_ms, MAX_RENEWAL_DELAY_MS + timing.lease_ms, timing);
        let late = |(.., at_ms): &&(TaskId, u32, u64)| may_come_late(*at_ms, now_ms);
        let starts = self.unanswered_starts.iter().filter(late);
        starts.map(|(task, attempt, _)| (*task, *attempt)).collect()
    }

    /// Returns whether the host may at a time have runs of an earlier owner that this owner does not
    /// know of.
    pub fn may_have_unlisted_runs(&self, at_ms: u64) -> bool {
        self.log == LogState::Used && !self.is_accounted_for && !self.is_lease_expired(at_ms)
    }

    /// Forgets what the host has reported, as another incarnation may be in its place.
    pub fn forget_reports(&mut self) {
        self.has_reported = false;
        self.is_accounted_for = false;
        self.has_unreadable_rows = false;
    }

    /// Returns the host's clock at a time of the owner's clock, in milliseconds.
    fn clock_at(&self, now_ms: u64) -> u64 {
        u64::try_from(now_ms as i64 + self.clock_offset_ms).unwrap_or(0)
    }

    /// Ends the preference for other hosts.
    pub fn clear_start_failures(&mut self) {
        self.start_failures = 0;
        self.avoided_until_ms = 0;
    }

    /// Records a start that the host has confirmed. It ends the preference for other hosts if it was
    /// requested after the last failure: of starts at the same time, one may get through on the
    /// connection of a poll.
    pub fn record_start(&mut self, requested_ms: u64) {
        if requested_ms >= self.last_start_failure_ms {
            self.clear_start_failures();
        }
    }

    /// Records a start that may not have reached the host, or that the host can't carry out now.
    /// Reports don't make up for it: they may come over a connection that was open before.
    pub fn record_start_failure(&mut self, now_ms: u64) {
        self.last_start_failure_ms = now_ms;
        if self.start_failures == 0 || now_ms >= self.start_failed_ms + START_FAILURE_WINDOW_MS {
            self.start_failures += 1;
            self.start_failed_ms = now_ms;
        }
        if let Some(further) = self.start_failures.checked_sub(MAX_START_FAILURES) {
            let doublings = further.min(MAX_AVOIDANCE_DOUBLINGS);
            self.avoided_until_ms = now_ms + (AVOIDANCE_MS << doublings);
        }
    }

    /// Returns whether other hosts are preferred, because starts have not arrived here.
    pub fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until_ms
    }

    /// Counts the outcome of a run, and quarantines the host after too many failures.
    pub fn record_outcome(&mut self, is_failure: bool, now_ms: u64) {
        if !is_failure {
            self.consecutive_failures = 0;
            return;
        }
        self.consecutive_failures += 1;
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
            self.quarantined_until_ms = now_ms + QUARANTINE_MS;
            // A single further failure after the quarantine quarantines the host again.
            self.consecutive_failures = MAX_CONSECUTIVE_FAILURES - 1;
        }
    }
}

/// Returns whether a start request may still be carried out that was known to have no reply at
/// `unanswered_ms`.
fn may_come_late(unanswered_ms: u64, now_ms: u64) -> bool {
    now_ms <= unanswered_ms + MAX_START_DELAY_MS
}
