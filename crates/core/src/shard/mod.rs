//! What the owner of one shard does with it.
//!
//! - `takeover`: from the claim to the first start.
//! - `intake`: what callers ask for.
//! - `dispatch`: which work starts next and where.
//! - `start`: sending what was picked, once it may be sent.
//! - `accounts`: what runs, and the room and limits that it takes.
//! - `room`: making room for urgent and for all-at-once work.
//! - `workers`: what workers report.
//! - `durable`: the log, snapshots and what is forgotten.
//! - `explain`: why a job waits, in plain words.

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

/// Time between two comparisons of caps with what runs.
const CAP_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What a shard needs from its process to act.
pub(crate) struct Env<'a, 'b> {
    pub(crate) cx: &'a mut Context<'b>,
    pub(crate) fleet: &'a mut FleetUsage,
    pub(crate) config: &'a Document,
    pub(crate) config_revision: Revision,
    pub(crate) me: &'a id::Member,
    /// Time until which work may be started.
    pub(crate) deadline: Option<Duration>,
    /// Only promises of peers carry this process at present.
    pub(crate) is_riding_out: bool,
    /// The store has answered lately.
    pub(crate) is_store_reachable: bool,
    /// Shortest time between two writes to the log of this shard.
    pub(crate) log_gap: Duration,
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
    has_memory_gap: bool,
    table: Table,
    pub(crate) caps: Caps,
    log: Writer,
    is_log_loaded: bool,
    queue: Queue,
    shapes: Shapes,
    jobs: BTreeMap<id::Job, Job>,
    /// Length of the payloads of all jobs on record.
    payload_bytes: usize,
    /// Jobs that are over, in the order in which they ended.
    finished_jobs: BTreeSet<(Duration, id::Job)>,
    /// Jobs that may not be started before a time.
    delayed_jobs: BTreeSet<(Duration, id::Job)>,
    requests: FxHashMap<Token, Pending>,
    request_deadlines: BTreeSet<(Duration, Token)>,
    pending_submissions: BTreeMap<Token, Duration>,
    keys: Keys,
    running: FxHashMap<id::Task, Running>,
    /// Starts that are being put on record before they are sent.
    launches: FxHashMap<id::Task, Launch>,
    running_by_team: BTreeMap<Name, u32>,
    used_by_team: BTreeMap<Name, Resources>,
    polls: FxHashMap<Name, Poll>,
    /// Tasks that have ended and whose end is being put on record.
    unlogged_ends: BTreeSet<id::Task>,
    /// Tasks on record from before may run on hosts that have not answered,
    /// until this time.
    unseen_tasks_until: Duration,
    active_since: Duration,
    /// Requests with unseen keys can't be told from repeats until this time.
    keys_uncertain_until: Duration,
    reservations: Vec<Reservation>,
    preempting_for: FxHashMap<id::Job, Duration>,
    /// Some work that was passed over may fit or be allowed now.
    needs_full_pass: bool,
    /// Caps are compared with what runs at this time.
    next_cap_check: Duration,
    /// New work since the last look.
    new_items: BTreeSet<(Name, Place)>,
    /// Hosts on which room was given back since the last look.
    freed_hosts: BTreeSet<Name>,
    decision_sequence: u64,
    attempt_count: u32,
    last_start_at: Duration,
}

impl Shard {
    pub(crate) fn new(id: id::Shard, epoch: Epoch, has_memory_gap: bool) -> Shard {
        Shard {
            log: Writer::new(id.clone(), epoch),
            id,
            epoch,
            phase: Phase::Ledger,
            has_memory_gap,
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

    /// Takes in the platform's list of hosts and the operators' labels.
    pub(crate) fn set_hosts(&mut self, hosts: &[host::Host], config: &Document) {
        let mine = Table::of_shard(hosts, &self.id, config.shards_per_domain);
        self.table.update(&mine, &config.labels, &config.drained);
        for host in self.table.hosts() {
            self.polls.entry(host.name().clone()).or_default();
        }
        self.shapes.clear_unfit();
        self.needs_full_pass = true;
    }

    /// Does everything that is due.
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

    /// Tells whether idempotency keys wait to be logged.
    pub(crate) fn has_unlogged_keys(&self) -> bool {
        self.keys.has_unlogged()
    }

    /// Takes in shares over the whole fleet.
    pub(crate) fn set_shares(&mut self, fleet: &FleetUsage, config: &Document) {
        self.queue.set_ranks(|team| {
            let weight = config.teams.get(team).map_or(1, |team| team.weight);
            fleet.rank(team, weight)
        });
    }

    /// Marks the shard as worth another look at all waiting work.
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

    /// Binds the shard to the caps that the planner wants.
    pub(crate) fn lower_caps(&mut self, now: Duration, teams: &BTreeMap<Name, u32>) {
        for (team, to) in teams {
            let running = self.running_count(team);
            self.caps.lower(now, team, *to, running);
        }
        // A later wish can be higher than an earlier one.
        self.needs_full_pass = true;
        self.next_cap_check = now;
    }

    /// Returns what the planner of limits has to know.
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

    /// Puts a decision on record.
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

    /// Returns everything that runs or may run.
    pub(crate) fn running_tasks(&self) -> impl ExactSizeIterator<Item = (&id::Task, &Name)> {
        self.running.iter().map(|(task, running)| (task, &running.host))
    }

    /// Returns the number of tasks and requests that wait.
    pub(crate) fn waiting(&self) -> u32 {
        self.queue.total()
    }

    /// Returns the number of tasks and requests of a team that wait.
    pub(crate) fn waiting_of(&self, team: &str) -> u32 {
        self.queue.waiting(team)
    }

    /// Returns the number of jobs on record.
    pub(crate) fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the room on hosts that may get new work.
    pub(crate) fn free(&self) -> Resources {
        let usable = self.table.hosts().iter().filter(|host| host.is_reachable && !host.is_closed);
        usable.fold(Default::default(), |sum, host| host.free().plus(&sum))
    }
}
