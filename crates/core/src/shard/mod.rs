//! State and decisions of the owner of one shard.
//!
//! A shard consists of the hosts of whole racks in one failure domain. Its owner
//! accepts jobs and requests, starts their tasks on these hosts, and keeps a log
//! from which the next owner restores the state.
//!
//! - `takeover`: the steps from becoming the owner to the first start, and
//!   handing the shard over.
//! - `intake`: submissions, requests, cancellations and status queries.
//! - `dispatch`: the choice of the next task and its host.
//! - `start`: sending the start of a chosen task.
//! - `usage`: running tasks, and the capacity and limits that they take.
//! - `preemption`: stopping tasks for urgent work or lowered limits, and
//!   reserving hosts for gangs.
//! - `workers`: polling workers, and handling reports and replies.
//! - `persistence`: log, snapshots and the removal of old entries.
//! - `explain`: the reason why a job waits, for its status.

mod dispatch;
mod explain;
mod intake;
mod job;
mod keys;
mod persistence;
mod phase;
mod polls;
mod preemption;
mod running;
mod shapes;
mod start;
mod takeover;
mod usage;
mod workers;

use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamore_types::config::Document;
use sycamore_types::id::{self, Epoch, Revision};
use sycamore_types::resources::Resources;
use sycamore_types::{Name, host};

use crate::action::Action;
use crate::caller::{Answer, Token};
use crate::context::Context;
use crate::ledger::Caps;
use crate::log::Writer;
use crate::node::InjectedBugs;
use crate::peer::{Demand, Summary};
use crate::placement::Table;
use crate::queue::{Place, Queue};
use crate::record::{Decision, Verdict};
use crate::share::FleetUsage;
use crate::worker::Launch;

pub use phase::Phase;

pub(crate) use intake::Pending;

use job::Job;
use keys::Keys;
use polls::Poll;
use preemption::Reservation;
use running::Running;
use shapes::Shapes;

/// Time between two checks that running tasks stay within the caps.
const CAP_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// State of the process that a shard reads or changes when it acts.
pub(crate) struct Env<'a, 'b> {
    pub(crate) cx: &'a mut Context<'b>,
    pub(crate) fleet: &'a mut FleetUsage,
    pub(crate) config: &'a Document,
    pub(crate) config_revision: Revision,
    pub(crate) me: &'a id::Member,
    /// Monotonic time until which work may be started. `None` without a valid
    /// lease.
    pub(crate) deadline: Option<Duration>,
    /// The store is unavailable, and only promises of peers not to take over
    /// keep this process an owner.
    pub(crate) is_lease_extended: bool,
    /// The store replied within the time of the last three lease renewals.
    pub(crate) is_store_reachable: bool,
    /// Minimum time between two writes to the log of this shard.
    pub(crate) log_interval: Duration,
    pub(crate) bugs: InjectedBugs,
}

impl Env<'_, '_> {
    pub(crate) fn now(&self) -> Duration {
        self.cx.now
    }

    pub(crate) fn answer(&mut self, token: Token, answer: Answer) {
        self.cx.out.push(Action::Answer { token, answer });
    }

    fn weight(&self, team: &str) -> u32 {
        self.config.teams.get(team).map_or(1, |team| team.weight)
    }

    /// Returns the share by which waiting teams are ordered, the smallest first.
    fn rank(&self, team: &str) -> u64 {
        self.fleet.rank(team, self.weight(team))
    }
}

/// One shard that this process owns.
#[derive(Debug)]
pub(crate) struct Shard {
    pub(crate) id: id::Shard,
    pub(crate) epoch: Epoch,
    pub(crate) phase: Phase,
    /// The previous owner may have used idempotency keys that are not in the log.
    has_key_gap: bool,
    table: Table,
    pub(crate) caps: Caps,
    log: Writer,
    is_log_loaded: bool,
    queue: Queue,
    shapes: Shapes,
    jobs: BTreeMap<id::Job, Job>,
    /// Size of the payloads of all jobs in `jobs`, in bytes.
    payload_bytes: usize,
    /// Finished jobs, by the time at which they finished.
    finished_jobs: BTreeSet<(Duration, id::Job)>,
    /// Jobs with a retry delay, by the time at which it ends.
    delayed_jobs: BTreeSet<(Duration, id::Job)>,
    /// Interactive requests that have not ended.
    requests: FxHashMap<Token, Pending>,
    /// Requests by the time at which they fail unless started.
    request_deadlines: BTreeSet<(Duration, Token)>,
    /// Submissions that are being logged, with the time of their arrival.
    pending_submissions: BTreeMap<Token, Duration>,
    keys: Keys,
    /// Tasks that run or may run.
    running: FxHashMap<id::Task, Running>,
    /// Starts that are sent once their log entry is durable.
    launches: FxHashMap<id::Task, Launch>,
    running_by_team: BTreeMap<Name, u32>,
    used_by_team: BTreeMap<Name, Resources>,
    /// State of the polling of each worker, by host name.
    polls: FxHashMap<Name, Poll>,
    /// Ended tasks whose end is not durable yet.
    unlogged_ends: BTreeSet<id::Task>,
    /// Until this time, tasks of jobs from a previous owner may run on hosts that
    /// have not reported yet, so these jobs are not started.
    unseen_tasks_until: Duration,
    /// Time at which this owner activated the shard, `Duration::MAX` before.
    active_since: Duration,
    /// Until this time, the log may lack idempotency keys, so a request with an
    /// unknown key may be a repeat.
    keys_uncertain_until: Duration,
    reservations: Vec<Reservation>,
    /// Urgent jobs for which tasks were preempted, with the time until which no
    /// further tasks are preempted for them.
    preempting_for: FxHashMap<id::Job, Duration>,
    /// Waiting work that was skipped may fit or be allowed now.
    needs_full_pass: bool,
    /// Time of the next check that running tasks stay within the caps.
    next_cap_check: Duration,
    /// Items to be tried on all hosts without a full pass.
    new_items: BTreeSet<(Name, Place)>,
    /// Hosts on which capacity was released since the last pass.
    freed_hosts: BTreeSet<Name>,
    /// Number of decisions recorded in this epoch.
    decision_sequence: u64,
    /// Number of attempts started in this epoch.
    attempt_count: u32,
    /// Time at which a start was last decided; zero if none was.
    last_start_at: Duration,
}

impl Shard {
    pub(crate) fn new(id: id::Shard, epoch: Epoch, has_key_gap: bool) -> Shard {
        Shard {
            log: Writer::new(id.clone(), epoch),
            id,
            epoch,
            phase: Phase::Ledger,
            has_key_gap,
            table: Table::default(),
            caps: Caps::default(),
            is_log_loaded: false,
            queue: Queue::default(),
            shapes: Shapes::default(),
            jobs: BTreeMap::new(),
            payload_bytes: 0,
            finished_jobs: BTreeSet::new(),
            delayed_jobs: BTreeSet::new(),
            requests: FxHashMap::default(),
            request_deadlines: BTreeSet::new(),
            pending_submissions: BTreeMap::new(),
            keys: Keys::default(),
            running: FxHashMap::default(),
            launches: FxHashMap::default(),
            running_by_team: BTreeMap::new(),
            used_by_team: BTreeMap::new(),
            polls: FxHashMap::default(),
            unlogged_ends: BTreeSet::new(),
            unseen_tasks_until: Duration::ZERO,
            active_since: Duration::MAX,
            keys_uncertain_until: Duration::ZERO,
            reservations: Vec::new(),
            preempting_for: FxHashMap::default(),
            needs_full_pass: true,
            next_cap_check: Duration::ZERO,
            new_items: BTreeSet::new(),
            freed_hosts: BTreeSet::new(),
            decision_sequence: 0,
            attempt_count: 0,
            last_start_at: Duration::ZERO,
        }
    }

    /// Updates the hosts from the platform's list and the operators' labels.
    pub(crate) fn set_hosts(&mut self, hosts: &[host::Host], config: &Document) {
        let shard_hosts = Table::of_shard(hosts, &self.id, config.shards_per_domain);
        self.table.update(&shard_hosts, &config.labels, &config.drained);
        for host in self.table.hosts() {
            self.polls.entry(host.name().clone()).or_default();
        }
        self.shapes.clear_unfit();
        self.needs_full_pass = true;
    }

    /// Does all time-driven work that is due.
    pub(crate) fn tick(&mut self, env: &mut Env<'_, '_>) {
        self.activate_if_due(env);
        self.expire_waiting(env);
        self.poll_workers(env);
        self.write_log(env);
        self.resume_delayed(env);
        self.needs_full_pass |= self.caps.expire(env.now());
        if env.now() >= self.next_cap_check {
            self.next_cap_check = env.now() + CAP_CHECK_INTERVAL;
            self.enforce_caps(env);
        }
        self.expire_reservations(env);
        self.schedule(env);
    }

    /// Returns whether idempotency keys of accepted requests wait to be logged.
    pub(crate) fn has_unlogged_keys(&self) -> bool {
        self.keys.has_unlogged()
    }

    /// Updates the order of teams from their shares of the whole fleet.
    pub(crate) fn set_shares(&mut self, fleet: &FleetUsage, config: &Document) {
        self.queue.set_ranks(|team| {
            let weight = config.teams.get(team).map_or(1, |team| team.weight);
            fleet.rank(team, weight)
        });
    }

    /// Requests a scheduling pass over all waiting work and all hosts.
    pub(crate) fn request_full_pass(&mut self) {
        self.needs_full_pass = true;
    }

    fn running_count(&self, team: &str) -> u32 {
        self.running_by_team.get(team).copied().unwrap_or(0)
    }

    /// Returns how many more tasks of a team may start.
    fn headroom(&self, config: &Document, team: &str) -> u32 {
        let limit = config.teams.get(team).map_or(0, |team| team.limit);
        self.caps.usable(team, limit).saturating_sub(self.running_count(team))
    }

    /// Lowers the caps of teams as the planner of limits requests.
    pub(crate) fn lower_caps(&mut self, now: Duration, teams: &BTreeMap<Name, u32>) {
        for (team, to) in teams {
            let running = self.running_count(team);
            self.caps.lower(now, team, *to, running);
        }
        // A later request can be higher than an earlier one.
        self.needs_full_pass = true;
        self.next_cap_check = now;
    }

    /// Returns the shard's demand and usage for the planner of limits.
    pub(crate) fn summary(&self) -> Summary {
        let mut names: BTreeSet<&Name> = self.caps.teams().collect();
        names.extend(self.running_by_team.keys());
        names.extend(self.queue.teams());
        let teams = names.into_iter().map(|team| (team.clone(), self.demand(team))).collect();
        Summary {
            shard: self.id.clone(),
            epoch: self.epoch,
            ledger: self.caps.revision(),
            lowerings: self.caps.lowerings(),
            capacity: *self.table.capacity(),
            teams,
        }
    }

    fn demand(&self, team: &Name) -> Demand {
        Demand {
            running: self.running_count(team),
            waiting: self.queue.waiting(team),
            cap: self.caps.get(team),
            used: self.used_by_team.get(team).copied().unwrap_or_default(),
        }
    }

    /// Emits a record of a decision.
    fn record(&mut self, env: &mut Env<'_, '_>, subject: String, team: &Name, verdict: Verdict) {
        self.decision_sequence += 1;
        let decision = Decision {
            shard: self.id.clone(),
            epoch: self.epoch,
            sequence: self.decision_sequence,
            config: env.config_revision,
            subject,
            team: team.clone(),
            verdict,
        };
        env.cx.out.push(Action::Record(decision));
    }

    /// Returns the tasks that run or may run, each with its host.
    pub(crate) fn running_tasks(&self) -> impl ExactSizeIterator<Item = (&id::Task, &Name)> {
        self.running.iter().map(|(task, running)| (task, &running.host))
    }

    /// Returns the number of waiting tasks and requests.
    pub(crate) fn waiting(&self) -> u32 {
        self.queue.total()
    }

    /// Returns the number of a team's waiting tasks and requests.
    pub(crate) fn waiting_of(&self, team: &str) -> u32 {
        self.queue.waiting(team)
    }

    /// Returns the number of jobs, finished ones included until they are removed.
    pub(crate) fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the free capacity of all hosts that are reachable and schedulable.
    pub(crate) fn free(&self) -> Resources {
        let usable =
            self.table.hosts().iter().filter(|host| host.is_reachable && !host.is_unschedulable);
        usable.fold(Default::default(), |sum, host| host.free().plus(&sum))
    }
}
