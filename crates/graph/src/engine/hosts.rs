//! Tracks the platform's list of hosts, their incarnations and their leases.
//!
//! Leaving the list says nothing about a host's runs. They are gone only once a new
//! incarnation appears or the lease has certainly expired.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rustc_hash::FxHashMap;
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::Engine;
use crate::host::{Host, LogState, Phase, Speed};
use crate::progress::TaskProgress;
use crate::{Action, ExpiredLease, HostEntry, LossCause, Reading, Record, StepId, TaskId};

/// Most time by which a host's clock may be ahead of this one, in milliseconds. A host that states a
/// later start hasn't taken another one's address: its entry has another writer.
const MAX_CLOCK_LEAD_MS: u64 = 24 * 3_600_000;

impl Engine {
    pub(super) fn update_host_list(&mut self, entries: Vec<HostEntry>) {
        let listed: BTreeMap<Name, u64> =
            entries.iter().map(|entry| (entry.id.clone(), entry.incarnation)).collect();
        self.lose_replaced_hosts(&entries);
        for entry in entries {
            self.update_host(entry);
        }
        let state = |host: &Host| {
            // The capacity in an entry of another incarnation says nothing about this one.
            let known = [0, host.entry.incarnation];
            let is_listed =
                listed.get(&host.entry.id).is_some_and(|incarnation| known.contains(incarnation));
            (is_listed, self.evacuated_domains.contains(&host.entry.failure_domain))
        };
        let is_moved = |host: &&Host| state(host) != (host.is_listed, host.is_evacuated);
        let moved: Vec<Name> =
            self.hosts.values().filter(is_moved).map(|host| host.entry.id.clone()).collect();
        for name in moved {
            let Some(new_state) = self.hosts.get(&name).map(state) else { continue };
            if let Some(host) = self.hosts.get_mut(&name) {
                (host.is_listed, host.is_evacuated) = new_state;
            }
        }
        self.remove_departed_hosts();
        self.record_leaving_hosts();
        self.poll_due_hosts();
        self.needs_dispatch = true;
    }

    /// Ends the runs of hosts whose address belongs to a host that started later. A poll would show
    /// that only while the later one is up.
    fn lose_replaced_hosts(&mut self, entries: &[HostEntry]) {
        let latest_ms = self.now.unix_ms.saturating_add(MAX_CLOCK_LEAD_MS);
        let has_started = |entry: &&HostEntry| entry.incarnation <= latest_ms;
        let mut by_start: Vec<&HostEntry> = entries.iter().filter(has_started).collect();
        by_start.sort_unstable_by_key(|entry| entry.incarnation);
        let newest: FxHashMap<SocketAddr, &HostEntry> =
            by_start.into_iter().filter_map(|entry| Some((entry.address?, entry))).collect();
        let is_replaced = |host: &&Host| {
            let successor = host.entry.address.and_then(|address| newest.get(&address));
            successor.is_some_and(|successor| {
                successor.id != host.entry.id
                    && host.entry.incarnation != 0
                    && successor.incarnation > host.entry.incarnation
            })
        };
        let replaced: Vec<Name> =
            self.hosts.values().filter(is_replaced).map(|host| host.entry.id.clone()).collect();
        for name in replaced {
            self.lose_incarnation(&name);
            if let Some(host) = self.hosts.get_mut(&name) {
                host.forget_reports();
            }
        }
    }

    /// Records when hosts wrote the entries that are known, and until when draining ones have announced
    /// to go on. An older date changes nothing, nor does
    /// one of another incarnation.
    pub(super) fn date_capacities(&mut self, readings: Vec<Reading>) {
        let (now_ms, max_age_ms) = (self.now.monotonic_ms, self.timing.capacity_max_age_ms);
        for reading in readings {
            let host = self.hosts.get_mut(&reading.host);
            let Some(host) = host.filter(|host| host.entry.incarnation == reading.incarnation)
            else {
                continue;
            };
            self.needs_dispatch |= !host.has_current_capacity(now_ms, max_age_ms);
            host.capacity_written_ms = host.capacity_written_ms.max(Some(reading.written_ms));
            if reading.remaining_ms > 0 {
                let until_ms = reading.written_ms.saturating_add(reading.remaining_ms);
                host.serves_until_ms = host.serves_until_ms.max(until_ms);
            }
        }
    }

    fn update_host(&mut self, entry: HostEntry) {
        let now_ms = self.now.monotonic_ms;
        let Some(known) = self.hosts.get(&entry.id) else {
            self.last_host_number += 1;
            let host = Host::new(entry, self.last_host_number, now_ms, &self.timing);
            self.hosts.insert(host);
            return;
        };
        // Nearly all entries of a list are as before, and their hosts are not to be looked at.
        if known.entry == entry {
            return;
        }
        if known.entry.incarnation == 0 {
            // Known only from the log until now. The first poll shows which runs it still
            // has.
            if let Some(host) = self.hosts.get_mut(&entry.id) {
                host.entry = entry;
            }
            return;
        }
        if entry.incarnation > known.entry.incarnation {
            let name = entry.id.clone();
            self.start_incarnation(&name, entry.incarnation);
        }
        if let Some(host) = self.hosts.get_mut(&entry.id)
            && host.entry.incarnation == entry.incarnation
        {
            host.entry = entry;
        }
    }

    /// Begins a new incarnation of a host. The runs that the earlier one had are gone.
    pub(super) fn start_incarnation(&mut self, name: &Name, incarnation: u64) {
        self.lose_earlier_incarnation(name);
        let now_ms = self.now.monotonic_ms;
        let mut unanswered = Vec::new();
        if let Some(host) = self.hosts.get_mut(name) {
            unanswered = host.expect_earlier_requests(now_ms, &self.timing);
            host.entry.incarnation = incarnation;
            host.is_listed = false;
            host.capacity_written_ms = None;
            host.serves_until_ms = 0;
            host.speed = Speed::default();
            host.lost_suspects.clear();
            host.logged_capacity = Resources::default();
            host.forget_reports();
            host.last_seen_end = 0;
            host.last_durable_end = 0;
            host.last_forgotten_end = 0;
            host.poll_in_flight = None;
            host.consecutive_failures = 0;
            host.quarantined_until_ms = 0;
            host.clear_start_failures();
        }
        for (task, attempt) in unanswered {
            self.prevent_late_start(name, task, attempt);
        }
    }

    /// Stops a run that no incarnation of a host has, so that the present one doesn't carry out a
    /// start request from before. The task waits until that is certain.
    fn prevent_late_start(&mut self, name: &Name, task: TaskId, attempt: u32) {
        let is_known = |host: &Host| host.runs.contains_key(&(task, attempt));
        if self.hosts.get(name).is_none_or(is_known) {
            return;
        }
        self.adopt_run(name, task, attempt);
        let run = self.hosts.get_mut(name).and_then(|host| host.runs.get_mut(&(task, attempt)));
        if let Some(run) = run {
            run.phase = Phase::Unconfirmed;
            run.deadline_ms = u64::MAX;
            run.is_carried_over = true;
        }
        self.stop_run(name, task, attempt);
    }

    /// Ends the runs of hosts whose lease has expired and that are unreachable or have not listed all
    /// that they run.
    pub(super) fn expire_leases(&mut self) {
        let until_ms = self.leases_expired_until_ms();
        let has_expired = |host: &&Host| {
            (host.missed_polls > 0 || !host.has_reported || !host.is_accounted_for)
                && host.is_lease_expired(until_ms)
        };
        let expired: Vec<Name> =
            self.hosts.values().filter(has_expired).map(|host| host.entry.id.clone()).collect();
        for name in expired {
            self.report_expired_lease(&name);
            self.lose_all_runs(&name, LossCause::LeaseExpired);
            if let Some(host) = self.hosts.get_mut(&name) {
                host.has_reported = false;
                host.is_accounted_for = true;
            }
        }
        self.forget_expired_ends();
        self.remove_departed_hosts();
        self.record_leaving_hosts();
        self.finish_recovery();
    }

    /// Reports the end of a lease once, if the host may have had runs until then.
    fn report_expired_lease(&mut self, name: &Name) {
        let now_ms = self.now.monotonic_ms;
        let Some(host) = self.hosts.get_mut(name) else { return };
        let may_have_had_others = host.log == LogState::Used && !host.is_accounted_for;
        let had_runs = may_have_had_others || !host.runs.is_empty();
        if std::mem::replace(&mut host.is_written_off, true) || !had_runs {
            return;
        }
        let lease = ExpiredLease {
            host: name.clone(),
            runs: host.runs.len(),
            may_have_had_others,
            was_granted_here: host.has_granted,
            silent_ms: host.unreachable_since_ms.map(|since_ms| now_ms.saturating_sub(since_ms)),
        };
        self.actions.push(Action::ReportExpiredLease(lease));
    }

    /// Returns the hosts that may have runs of an earlier owner which no report has shown, each with
    /// the time until its lease has certainly expired, in milliseconds.
    pub fn awaited_hosts(&self) -> Vec<(Name, u64)> {
        let now_ms = self.now.monotonic_ms;
        let until_ms = self.leases_expired_until_ms();
        let awaited = self.hosts.values().filter(|host| host.may_have_unlisted_runs(until_ms));
        let left = awaited
            .map(|host| (host.entry.id.clone(), host.lease_until_ms().saturating_sub(now_ms)));
        left.collect()
    }

    /// Records which hosts get no new work, with the runs that they still have. The fewer
    /// runs the log allows for, the fewer unreachable hosts a new owner has to wait for. A
    /// silent host gets no new work either.
    fn record_leaving_hosts(&mut self) {
        let is_leaving = |host: &&Host| {
            let is_used = matches!(host.log, LogState::Used | LogState::Leaving);
            let gets_no_work = host.is_withdrawn() || !host.is_listed || host.missed_polls > 0;
            is_used && gets_no_work && host.has_reported && host.is_accounted_for
        };
        let leaving: Vec<Name> =
            self.hosts.values().filter(is_leaving).map(|host| host.entry.id.clone()).collect();
        let mut records = Vec::new();
        for name in leaving {
            let Some(host) = self.hosts.get(&name) else { continue };
            let (log, record) = if host.runs.is_empty() && !self.has_unreported_ends(&name) {
                (LogState::Unused, Record::HostReleased { host: name.clone() })
            } else if host.log == LogState::Used {
                (LogState::Leaving, self.leaving_record(host))
            } else {
                continue;
            };
            records.push(record);
            if let Some(host) = self.hosts.get_mut(&name) {
                host.log = log;
            }
        }
        records.into_iter().for_each(|record| self.append(record));
    }

    /// Forgets hosts that are no longer listed and can't have runs any more. One that starts again
    /// under its name may carry out start requests from before.
    fn remove_departed_hosts(&mut self) {
        let (now_ms, until_ms) = (self.now.monotonic_ms, self.leases_expired_until_ms());
        let may_have_runs = |host: &Host| {
            !host.runs.is_empty()
                || !host.is_lease_expired(until_ms)
                || host.has_unanswered_starts(now_ms)
        };
        let is_gone = |host: &&Host| !host.is_listed && !may_have_runs(host);
        let gone: Vec<Name> =
            self.hosts.values().filter(is_gone).map(|host| host.entry.id.clone()).collect();
        for name in gone {
            if self.hosts.remove(&name).is_some_and(|host| host.log != LogState::Unused) {
                self.append(Record::HostReleased { host: name });
            }
        }
    }

    /// Ends the recovery once all hosts of the previous owner are accounted for.
    pub(super) fn finish_recovery(&mut self) {
        if !self.is_recovering {
            return;
        }
        let until_ms = self.leases_expired_until_ms();
        let is_unaccounted = |host: &Host| host.may_have_unlisted_runs(until_ms);
        if !self.hosts.values().any(is_unaccounted) {
            self.is_recovering = false;
            self.needs_dispatch = true;
            self.stop_partial_gangs();
            self.drop_specs_without_runs();
        }
    }

    /// Stops gangs that the previous owner started only in part.
    fn stop_partial_gangs(&mut self) {
        let runs = self.hosts.values().flat_map(|host| host.runs.keys());
        let of_gangs = runs.filter(|(task, _)| self.is_gang(task.step));
        // One member each: the attempt of a gang has as many runs as the gang has tasks.
        let attempts: BTreeMap<(StepId, u32), TaskId> =
            of_gangs.map(|(task, attempt)| ((task.step, *attempt), *task)).collect();
        for ((step_id, attempt), member) in attempts {
            let step = self.jobs.get(&step_id.job).and_then(|job| job.step(step_id));
            let is_running =
                |task: &TaskProgress| task.runs.iter().any(|(_, number)| *number == attempt);
            if step.is_some_and(|step| !step.tasks.iter().all(is_running)) {
                self.stop_gang(member, attempt);
            }
        }
    }
}
