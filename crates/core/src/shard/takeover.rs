//! Taking over a shard from the previous owner, and handing it to the next one.
//!
//! The phases of a takeover are those of [`Phase`]: record the epoch, read the
//! snapshot and the log, write a barrier that stops the previous owner's writes, and
//! list what the workers run. Work is started only after that, so that no action of
//! the previous owner takes effect unnoticed.

use sycamore_types::Name;
use sycamore_types::id;

use super::job::Job;
use super::shapes::Shape;
use super::{Env, Phase, Shard};
use crate::caller::{Answer, Submission};
use crate::context::Purpose;
use crate::log::{AfterCommit, Entry, KeyState, Page, SavedJob, Snapshot};
use crate::record::Verdict;
use crate::store::{self, Reply};

impl Shard {
    /// Activates the shard once all workers have reported or the inventory phase
    /// has timed out.
    pub(super) fn activate_if_due(&mut self, env: &mut Env<'_, '_>) {
        if let Phase::Inventory { until } = self.phase {
            let is_complete = self.polls.values().all(|poll| poll.reported_at.is_some());
            if is_complete || env.now() >= until {
                self.activate(env, is_complete);
            }
        }
    }

    /// Starts to read the previous owner's snapshot and log, now that the epoch is
    /// recorded in the ledger.
    pub(crate) fn on_epoch_recorded(&mut self, env: &mut Env<'_, '_>) {
        if self.phase == Phase::Ledger {
            self.phase = Phase::Loading;
            self.read_log(env);
        }
    }

    fn read_log(&mut self, env: &mut Env<'_, '_>) {
        let key = store::snapshot(&self.id);
        env.cx.store(Purpose::LogSnapshot(self.id.clone()), store::Op::Get { key });
    }

    /// Restores the state from the snapshot, then reads the log pages.
    ///
    /// The snapshot is read first, so that the pages that it does not cover are
    /// still in the ring even if the previous owner goes on writing.
    pub(crate) fn on_snapshot_read(&mut self, env: &mut Env<'_, '_>, reply: Reply) {
        if self.phase != Phase::Loading {
            return;
        }
        let Reply::Value(value) = reply else {
            self.read_log(env);
            return;
        };
        let snapshot = self.log.load_snapshot(value.as_ref()).unwrap_or_default();
        self.restore(env, &snapshot);
        let prefix = store::log_prefix(&self.id);
        env.cx.store(Purpose::LogPages(self.id.clone()), store::Op::List { prefix });
    }

    fn restore(&mut self, env: &mut Env<'_, '_>, snapshot: &Snapshot) {
        let now = env.now();
        self.jobs.clear();
        self.payload_bytes = 0;
        self.finished_jobs.clear();
        for saved in &snapshot.jobs {
            self.restore_job(env, saved.clone());
        }
        self.keys.restore(now, &snapshot.keys);
        self.keys_uncertain_until = now + snapshot.keys_in_doubt_for;
    }

    fn restore_job(&mut self, env: &Env<'_, '_>, saved: SavedJob) {
        let shape = self.shapes.intern(task_shape(&saved.submission));
        let job = Job::restore(saved, shape, env.now());
        let id = job.submission.id.clone();
        if let Some(ended_at) = job.ended_at {
            self.finished_jobs.insert((ended_at, id));
        }
        self.insert_job(job);
    }

    /// Replays the log pages that the snapshot does not cover, then writes the
    /// barrier, the first page of this epoch.
    pub(crate) fn on_pages_read(&mut self, env: &mut Env<'_, '_>, reply: Reply) {
        if self.phase != Phase::Loading || self.is_log_loaded {
            return;
        }
        let Reply::Values(values) = reply else {
            self.read_log(env);
            return;
        };
        let covered = self.log.snapshot_sequence();
        let pages = self.log.load_pages(&values);
        for page in pages.into_iter().filter(|page| page.sequence > covered) {
            self.replay(env, page);
        }
        self.is_log_loaded = true;
        self.phase = Phase::Barrier;
        self.log.push(Entry::Barrier(self.epoch), AfterCommit::None);
        if self.has_key_gap {
            self.log.push(Entry::Gap, AfterCommit::None);
            self.record_key_gap(env);
        }
    }

    fn replay(&mut self, env: &Env<'_, '_>, page: Page) {
        for entry in page.entries {
            self.replay_entry(env, entry);
        }
    }

    fn replay_entry(&mut self, env: &Env<'_, '_>, entry: Entry) {
        match entry {
            Entry::Barrier(_) => {}
            Entry::Gap => self.record_key_gap(env),
            Entry::Accepted(submission) => self.replay_job(env, submission),
            Entry::Started { job, index } => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.mark_uncertain(index);
                }
            }
            Entry::NotStarted { job, index } => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.mark_not_started(index);
                }
            }
            Entry::Finished { job, index, is_success } => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.finish(index, is_success);
                }
            }
            Entry::Cancelled(job) => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.cancel();
                }
            }
            Entry::Key(hash) => self.keys.set(env.now(), hash, KeyState::MayHaveRun),
            Entry::KeyReleased(hash) => self.keys.set(env.now(), hash, KeyState::Released),
        }
    }

    /// Handles a point in the log after which keys may be missing.
    ///
    /// Requests with unknown keys may be repeats until the retention time of the
    /// missing keys is over.
    fn record_key_gap(&mut self, env: &Env<'_, '_>) {
        self.keys.forget_released();
        self.keys_uncertain_until = env.now() + env.cx.timing.key_retention;
    }

    fn replay_job(&mut self, env: &Env<'_, '_>, submission: Submission) {
        if self.jobs.contains_key(&submission.id) {
            return;
        }
        let shape = self.shapes.intern(task_shape(&submission));
        self.insert_job(Job::new(submission, shape, env.now()));
    }

    /// Starts the inventory phase, now that the barrier is durable and no previous
    /// owner can write to the log.
    pub(super) fn on_barrier(&mut self, env: &mut Env<'_, '_>) {
        let now = env.now();
        self.phase = Phase::Inventory { until: now + env.cx.timing.inventory_timeout };
        self.unseen_tasks_until = now + env.cx.timing.lengthened(env.cx.timing.task_lease);
        let owner = env.me.clone();
        self.record(env, String::new(), &Name::from(""), Verdict::Owned { owner });
        if env.bugs.skips_inventory {
            self.activate(env, true);
        }
    }

    /// Queues the restored jobs and allows starts.
    ///
    /// `is_complete` says that every worker has reported. If not, the workers that
    /// are missing count as unreachable and get no work.
    fn activate(&mut self, env: &mut Env<'_, '_>, is_complete: bool) {
        if is_complete {
            // All running tasks are known, so no job has to wait until the leases of
            // unknown ones expire.
            self.unseen_tasks_until = env.now();
            self.fail_uncertain_tasks(env);
        }
        self.phase = Phase::Active;
        self.active_since = env.now();
        let ids: Vec<id::Job> = self.jobs.keys().cloned().collect();
        for id in &ids {
            self.enqueue(env, id);
            self.record_if_finished(env, id);
        }
        self.needs_full_pass = true;
    }

    /// Returns whether idempotency keys may be missing and no durable log entry
    /// says so yet.
    pub(crate) fn has_unlogged_key_gap(&self) -> bool {
        let is_logged = !matches!(self.phase, Phase::Ledger | Phase::Loading | Phase::Barrier);
        self.has_key_gap && !(is_logged && self.log.is_clean())
    }

    /// Stops accepting and starting work, so that `to` can become the owner.
    pub(crate) fn drain(&mut self, env: &mut Env<'_, '_>, to: id::Member) {
        match &self.phase {
            Phase::Draining { .. } => {}
            _ => {
                self.phase = Phase::Draining { to };
                self.fail_waiting(env);
            }
        }
    }

    /// Returns the next owner of a draining shard once no start and no log write of
    /// this owner is in flight.
    ///
    /// A request that was just dispatched may not have reached its worker yet, and
    /// the next owner's inventory has to include it.
    pub(crate) fn handover_target(&self, env: &Env<'_, '_>) -> Option<id::Member> {
        let Phase::Draining { to } = &self.phase else {
            return None;
        };
        let latest_arrival =
            self.last_start_at + super::start::SEND_WINDOW + env.cx.timing.max_delay;
        let have_starts_arrived = self.last_start_at.is_zero() || env.now() >= latest_arrival;
        let is_settled = !self.running.values().any(|running| running.is_starting());
        let is_loaded = self.is_log_loaded;
        let is_clean = (self.log.is_clean() && !self.keys.has_unlogged()) || !is_loaded;
        (have_starts_arrived && is_settled && is_clean).then(|| to.clone())
    }

    /// Drops the shard: fails the waiting callers and stops counting its tasks.
    pub(crate) fn abandon(&mut self, env: &mut Env<'_, '_>) {
        self.fail_waiting(env);
        let tasks: Vec<id::Task> = self.running.keys().cloned().collect();
        for task in tasks {
            self.remove_running(env, &task);
        }
    }

    fn fail_waiting(&mut self, env: &mut Env<'_, '_>) {
        for (token, failure) in self.take_waiting_failures() {
            env.answer(token, Answer::Failed(failure));
        }
    }
}

/// Returns the shape of a job's tasks.
///
/// The run time is rounded up to a power of two to limit the number of shapes.
/// Zero, which means unknown, is rounded up to one; the mask turns it back to zero.
pub(super) fn task_shape(submission: &Submission) -> Shape {
    Shape {
        size: submission.spec.size,
        selector: submission.spec.selector.clone(),
        is_spread: submission.spec.kind == sycamore_types::job::Kind::Service,
        run_ms: submission.spec.run_ms.next_power_of_two() & !1,
    }
}
