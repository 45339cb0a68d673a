//! Polls hosts for their active and ended runs, which also renews their lease.
//!
//! A host that doesn't reply is still polled, but without renewing its lease, so that its
//! runs end at a known time.

use sycamore_types::Name;

use super::isolation::has_survived;
use super::{Effect, Engine};
use crate::host::{Host, LogState, Phase, Run};
use crate::{Action, Poll, Record, Report, TaskId};

impl Engine {
    /// Polls all hosts that are due. Only those that have changed or whose time has come are
    /// looked at, because this happens after each report of each host.
    pub(super) fn poll_due_hosts(&mut self) {
        let now_ms = self.now.monotonic_ms;
        let mut due: Vec<Name> = Vec::new();
        let mut slots = self.hosts.take_changed_for_polls();
        while let Some((at_ms, slot)) = self.poll_timers.first().copied()
            && at_ms <= now_ms
        {
            self.poll_timers.pop_first();
            slots.push(slot);
        }
        for slot in slots {
            let Some(host) = self.hosts.at(slot) else { continue };
            match self.poll_due_ms(host) {
                Some(due_ms) if due_ms <= now_ms => due.push(host.entry.id.clone()),
                Some(due_ms) => {
                    self.poll_timers.insert((due_ms, slot));
                }
                None => {}
            }
        }
        due.sort_unstable();
        due.dedup();
        for name in due {
            let poll = self.poll(&name, self.timing.poll_wait_ms);
            if let Some(host) = self.hosts.get_mut(&name) {
                host.poll_in_flight = Some(poll);
            }
        }
    }

    /// Returns the time from which a host is due for a poll, in milliseconds. `None` if only an
    /// event can make it due.
    fn poll_due_ms(&self, host: &Host) -> Option<u64> {
        // A host that is known only from the log has no address.
        let may_poll = host.entry.incarnation != 0
            && host.poll_in_flight.is_none()
            && (host.is_listed
                || host.has_reported
                || !host.runs.is_empty()
                || host.log != LogState::Unused);
        // A host replies at once while it has unacknowledged run ends. Polling it again
        // before they can be acknowledged would only spin.
        let is_acked = host.last_seen_end <= host.last_durable_end;
        let acked_ms = if is_acked { 0 } else { host.reported_ms + self.timing.unacked_pause_ms };
        may_poll.then(|| acked_ms.max(host.poll_not_before_ms))
    }

    /// Returns the hosts that are due for a poll but would not be looked at.
    pub(super) fn overlooked_polls(&self) -> impl Iterator<Item = &Host> {
        let now_ms = self.now.monotonic_ms;
        let is_noted = move |slot: usize| {
            let timer = self.poll_timers.range(..=(now_ms, usize::MAX)).any(|(_, at)| *at == slot);
            timer || self.hosts.is_changed_for_polls(slot)
        };
        let due = self
            .hosts
            .slots()
            .filter(move |(_, host)| self.poll_due_ms(host).is_some_and(|due_ms| due_ms <= now_ms));
        due.filter(move |(slot, _)| !is_noted(*slot)).map(|(_, host)| host)
    }

    /// Sends one poll and returns its number. The host replies once a run ends, or after
    /// `wait_ms` milliseconds; one that has not reported yet replies without waiting.
    pub(super) fn poll(&mut self, name: &Name, wait_ms: u64) -> u64 {
        self.last_poll += 1;
        let number = self.last_poll;
        let (now_ms, max_lease_ms) = (self.now.monotonic_ms, self.max_lease_ms());
        let timing = &self.timing;
        let Some(host) = self.hosts.get_mut(name) else { return number };
        // Without a report, the host's clock is unknown and the end of the lease can't be
        // stated. The lease isn't renewed either for a host that doesn't reply: it may
        // still receive the polls, and then its lease would never end. The same goes for runs of
        // earlier owners that no report will show.
        let has_hidden_runs = !host.is_accounted_for && host.has_unreadable_rows;
        let may_renew =
            host.has_reported && host.missed_polls == 0 && max_lease_ms > 0 && !has_hidden_runs;
        let lease_ms = max_lease_ms.min(timing.lease_ms);
        let deadline_ms = may_renew.then(|| host.grant(now_ms, lease_ms, timing));
        let wait_ms = if host.has_reported { wait_ms } else { 0 };
        self.actions.push(Action::Poll(Poll {
            host: name.clone(),
            number,
            ack: host.end_to_forget(),
            deadline_ms,
            wait_ms,
        }));
        number
    }

    pub(super) fn handle_report(&mut self, name: &Name, poll: u64, report: Report) {
        let Some(host) = self.hosts.get(name) else { return };
        if report.incarnation < host.entry.incarnation && report.incarnation != 0 {
            return;
        }
        if report.incarnation > host.entry.incarnation && host.entry.incarnation != 0 {
            self.start_incarnation(name, report.incarnation);
        }
        let now_ms = self.now.monotonic_ms;
        let Some(host) = self.hosts.get_mut(name) else { return };
        host.entry.incarnation = report.incarnation;
        if host.poll_in_flight == Some(poll) {
            host.poll_in_flight = None;
        }
        let was_unreachable = host.missed_polls > 0;
        host.missed_polls = 0;
        host.unreachable_since_ms = None;
        host.reported_ms = now_ms;
        host.set_clock(report.clock_ms, now_ms);
        let first_listed = report.ended.first().map(|(seq, ..)| *seq);
        host.last_forgotten_end =
            first_listed.map_or(host.last_seen_end, |seq| seq.saturating_sub(1));
        host.has_reported = true;
        host.is_accounted_for |= !report.is_truncated;
        host.has_unreadable_rows =
            report.is_truncated && report.ended.len() < self.timing.max_ends_per_report;
        host.is_written_off = false;
        if was_unreachable {
            host.lost_suspects.clear();
            self.bulkheads.retract_loss(name);
        }
        self.handle_run_ends(name, &report);
        self.update_runs(name, poll, &report);
        if !report.is_truncated {
            self.forget_reported_ends(name, poll);
        }
        self.record_use(name);
        self.finish_recovery();
        self.poll_due_hosts();
        self.needs_dispatch = true;
    }

    /// Records in the log that a host is in use, before the first task is placed on it, and again
    /// when it has grown.
    fn record_use(&mut self, name: &Name) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        let accepts_work = host.is_listed && !host.is_withdrawn();
        let is_logged = matches!(host.log, LogState::UsePending | LogState::Used)
            && host.entry.capacity.fits_in(&host.logged_capacity);
        if !accepts_work || is_logged {
            return;
        }
        host.log = LogState::UsePending;
        // Runs may still take up what a host had before it shrank.
        let capacity = host.largest_capacity();
        host.logged_capacity = capacity;
        self.append(Record::HostUsed { host: name.clone(), capacity });
        self.when_durable(Effect::UseHost(name.clone()));
    }

    fn handle_run_ends(&mut self, name: &Name, report: &Report) {
        for (seq, task, attempt, how, checkpoint) in &report.ended {
            let Some(host) = self.hosts.get_mut(name) else { return };
            if *seq <= host.last_seen_end {
                continue;
            }
            host.last_seen_end = *seq;
            self.end_run(name, *task, *attempt, *how, Some(checkpoint.clone()));
        }
        let Some(host) = self.hosts.get(name) else { return };
        let (incarnation, seq) = (host.entry.incarnation, host.last_seen_end);
        if seq > host.last_durable_end {
            self.when_durable(Effect::AcknowledgeEnds { host: name.clone(), incarnation, seq });
        }
    }

    fn update_runs(&mut self, name: &Name, poll: u64, report: &Report) {
        for (task, attempt, checkpoint, percent) in &report.running {
            self.update_run(name, *task, *attempt, checkpoint, *percent);
        }
        if report.is_truncated {
            return;
        }
        let Some(host) = self.hosts.get(name) else { return };
        let is_reported = |key: &(TaskId, u32)| {
            report.running.iter().any(|(task, attempt, ..)| (*task, *attempt) == *key)
        };
        let absent: Vec<_> = host
            .runs
            .iter()
            .filter(|(key, run)| !is_reported(key) && has_ended(run, poll, report.clock_ms))
            .map(|(key, _)| *key)
            .collect();
        for (task, attempt) in absent {
            self.end_run(name, task, attempt, crate::RunEnd::Stopped, None);
        }
    }

    fn update_run(
        &mut self,
        name: &Name,
        task: TaskId,
        attempt: u32,
        checkpoint: &Name,
        percent: u8,
    ) {
        let now_ms = self.now.monotonic_ms;
        let is_new_checkpoint = self.is_new_checkpoint(task, checkpoint);
        let Some(host) = self.hosts.get_mut(name) else { return };
        let visible_after_poll = self.last_poll;
        match host.runs.get_mut(&(task, attempt)) {
            Some(run) => {
                if run.percent != percent {
                    run.percent = percent;
                    run.last_progress_ms = now_ms;
                }
                if is_new_checkpoint {
                    run.checkpoint_ms = now_ms;
                }
                run.is_confirmed = true;
                run.is_carried_over = false;
                if run.phase != Phase::Running {
                    run.phase = Phase::Running;
                    run.visible_after_poll = visible_after_poll;
                }
                if has_survived(run, now_ms) {
                    self.clear_survivor(name, task, attempt);
                }
            }
            None => {
                self.adopt_run(name, task, attempt);
                let host = self.hosts.get_mut(name);
                if let Some(run) = host.and_then(|host| host.runs.get_mut(&(task, attempt))) {
                    run.is_confirmed = true;
                }
            }
        }
        self.save_checkpoint(task, checkpoint);
    }

    /// Returns whether a checkpoint is another one than the last that is known of a task.
    fn is_new_checkpoint(&self, task: TaskId, checkpoint: &Name) -> bool {
        let step = self.jobs.get(&task.step.job).and_then(|job| job.step(task.step));
        let known = step.and_then(|step| step.tasks.get(task.index as usize));
        !checkpoint.is_empty()
            && known.is_some_and(|known| known.checkpoint.as_ref() != Some(checkpoint))
    }
}

/// Returns whether a run that is missing from a report has ended or never started.
fn has_ended(run: &Run, poll: u64, clock_ms: u64) -> bool {
    match run.phase {
        Phase::Running => poll > run.visible_after_poll,
        Phase::Requested => false,
        Phase::Unconfirmed => {
            run.stop_accepted_at_poll.is_some_and(|accepted| poll > accepted)
                || (poll > run.visible_after_poll && clock_ms > run.deadline_ms)
        }
    }
}
