//! One scheduler process as a state machine.
//!
//! - `membership`: the lease, promises, fencing and the member list.
//! - `ownership`: taking over, balancing and handing over shards.
//! - `limits`: the division of team limits among shards, and usage reports.
//! - `routing`: dispatch of replies and of callers' events to the shard that they concern.
//! - `view`: the state of the process for metrics and tests.

mod identity;
mod injected_bugs;
mod limits;
mod membership;
mod ownership;
mod routing;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamore_types::config::Document;
use sycamore_types::host::Host;
use sycamore_types::id::{self, Revision};

use crate::action::Action;
use crate::caller::Token;
use crate::context::{Calls, Context};
use crate::event::Event;
use crate::ledger::{self, Planner};
use crate::member::{Fences, Lease, Promises, Table};
use crate::owners;
use crate::peer::Message;
use crate::shard::{Env, Shard};
use crate::share::FleetUsage;
use crate::timing::Timing;

pub use identity::Identity;
pub use injected_bugs::InjectedBugs;
pub use view::{ShardView, View};

/// The decision core of one scheduler process.
#[derive(Debug)]
pub struct Node {
    timing: Timing,
    identity: Identity,
    bugs: InjectedBugs,
    calls: Calls,
    lease: Lease,
    promises: Promises,
    members: Table,
    next_member_poll: Duration,
    is_member_poll_pending: bool,
    fences: Fences,
    /// Time of the latest reply from the store itself.
    last_store_contact: Option<Duration>,
    owners: owners::Client,
    ledger: ledger::Client,
    planner: Planner,
    next_summary: Duration,
    next_usage_broadcast: Duration,
    next_balance: Duration,
    config: Document,
    config_revision: Revision,
    hosts: Vec<Host>,
    /// Shards that the hosts belong to under the configuration in force.
    configured_shards: BTreeSet<id::Shard>,
    shards: BTreeMap<id::Shard, Shard>,
    fleet: FleetUsage,
    /// Shard of each interactive request that has not ended.
    request_shards: BTreeMap<Token, id::Shard>,
    is_stopping: bool,
    has_left: bool,
}

impl Node {
    /// Builds a process that has no lease, no configuration and no hosts yet.
    pub fn new(identity: Identity, timing: Timing) -> Node {
        let record = identity.record();
        Node {
            calls: Calls::new(identity.member.incarnation),
            lease: Lease::new(record),
            timing,
            identity,
            bugs: InjectedBugs::default(),
            promises: Promises::default(),
            members: Table::default(),
            next_member_poll: Duration::ZERO,
            is_member_poll_pending: false,
            fences: Fences::default(),
            last_store_contact: None,
            owners: owners::Client::new(),
            ledger: ledger::Client::new(),
            planner: Planner::default(),
            next_summary: Duration::ZERO,
            next_usage_broadcast: Duration::ZERO,
            next_balance: Duration::ZERO,
            config: Document::default(),
            config_revision: 0,
            hosts: Vec::new(),
            configured_shards: BTreeSet::new(),
            shards: BTreeMap::new(),
            fleet: FleetUsage::default(),
            request_shards: BTreeMap::new(),
            is_stopping: false,
            has_left: false,
        }
    }

    /// Switches safety rules off, so that tests can show that they are needed.
    pub fn inject_bugs(&mut self, bugs: InjectedBugs) {
        self.bugs = bugs;
    }

    /// Returns the present identity of this process.
    pub fn member(&self) -> &id::Member {
        self.lease.member()
    }

    /// Processes an event and returns the actions to carry out, in order.
    ///
    /// `now` is the monotonic time of this process. It must not go back.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Store { call, reply } => self.on_store(now, &mut out, call, reply),
            Event::Worker { call, reply } => self.on_worker(now, &mut out, call, reply),
            Event::Peer { from, message } => self.on_peer(now, &mut out, from, message),
            Event::Hosts(hosts) => self.on_hosts(hosts),
            Event::Config { revision, document } => self.on_config(revision, *document),
            Event::OwnersChanged => {
                self.owners.mark_stale();
                self.tick_ownership(now, &mut out);
            }
            Event::Stop => self.on_stop(now),
            other => self.on_caller(now, &mut out, other),
        }
        out
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.tick_membership(now, out);
        self.tick_ownership(now, out);
        self.tick_limits(now, out);
        self.each_shard(now, out, |shard, env| shard.tick(env));
        self.tick_handover(now, out);
        self.tick_leaving(now, out);
    }

    /// Puts a configuration in force, unless it is as old as the present one or older.
    fn on_config(&mut self, revision: Revision, document: Document) {
        let is_outdated = revision <= self.config_revision && !self.bugs.accepts_old_config;
        if is_outdated {
            return;
        }
        self.config_revision = revision;
        self.config = document;
        self.refresh_hosts();
    }

    fn on_hosts(&mut self, hosts: Vec<Host>) {
        self.hosts = hosts;
        self.refresh_hosts();
    }

    /// Applies a change of the hosts or of the configuration.
    fn refresh_hosts(&mut self) {
        let per_domain = self.config.shards_per_domain;
        self.configured_shards = self.hosts.iter().map(|host| host.shard(per_domain)).collect();
        for shard in self.shards.values_mut() {
            shard.set_hosts(&self.hosts, &self.config);
        }
        let sum = |sum: sycamore_types::resources::Resources, host: &Host| sum.plus(&host.capacity);
        let capacity = self.hosts.iter().fold(Default::default(), sum);
        self.fleet.raise_capacity(capacity);
    }

    fn on_peer(
        &mut self,
        now: Duration,
        out: &mut Vec<Action>,
        from: id::Member,
        message: Message,
    ) {
        match message {
            Message::AskPromise { round, revision } => {
                self.on_ask_promise(now, out, from, round, revision);
            }
            Message::Promise { round, span } => {
                let cx = context(&self.timing, &mut self.calls, now, out);
                self.lease.on_promise(&cx, from, round, span);
            }
            Message::Fenced => self.lease.mark_fenced(),
            Message::AskVote { subject } => self.on_ask_vote(now, out, from, subject),
            Message::Vote { subject, promised_at } => {
                self.fences.on_vote(from, &subject, promised_at);
            }
            Message::Release { shard, epoch, to } => {
                self.on_release(now, out, &shard, epoch, to);
            }
            Message::OwnersChanged { revision } => {
                if revision > self.owners.revision() {
                    self.owners.mark_stale();
                }
            }
            Message::Summaries(summaries) => {
                for summary in summaries {
                    self.planner.record_summary(now, &from, summary);
                }
            }
            Message::Grant(grant) => self.on_grant(now, out, &grant),
            Message::Lower { shard, epoch, teams } => {
                let shard = self.shards.get_mut(&shard).filter(|shard| shard.epoch == epoch);
                if let Some(shard) = shard {
                    shard.lower_caps(now, &teams);
                }
            }
            Message::Usage { capacity, teams } => self.on_usage(capacity, &teams),
            Message::Config { revision, document } => self.on_config(revision, *document),
            Message::AskConfig => self.send_config(out, &from),
        }
    }

    fn send_config(&self, out: &mut Vec<Action>, to: &id::Member) {
        if self.config_revision > 0 {
            let document = Box::new(self.config.clone());
            let message = Message::Config { revision: self.config_revision, document };
            self.send(out, to, message);
        }
    }

    /// Sends a message to a member whose address is known.
    fn send(&self, out: &mut Vec<Action>, to: &id::Member, message: Message) {
        if let Some(address) = self.members.address(to) {
            let address = address.clone();
            out.push(Action::Peer { to: to.clone(), address, message });
        }
    }

    /// Calls a function on every shard that this process owns.
    fn each_shard(
        &mut self,
        now: Duration,
        out: &mut Vec<Action>,
        mut f: impl FnMut(&mut Shard, &mut Env<'_, '_>),
    ) {
        let ids: Vec<id::Shard> = self.shards.keys().cloned().collect();
        for id in ids {
            self.with_shard(now, out, &id, &mut f);
        }
    }

    /// Calls a function on one shard with its environment. Returns `None` if the shard is not
    /// owned.
    fn with_shard<T>(
        &mut self,
        now: Duration,
        out: &mut Vec<Action>,
        id: &id::Shard,
        f: impl FnOnce(&mut Shard, &mut Env<'_, '_>) -> T,
    ) -> Option<T> {
        let is_store_reachable = self.is_store_reachable(now);
        // All shards of the process share its budget of store writes.
        let shards = u32::try_from(self.shards.len()).unwrap_or(u32::MAX);
        let log_interval = self.timing.log_write_interval * shards;
        let shard = self.shards.get_mut(id)?;
        let mut cx = context(&self.timing, &mut self.calls, now, out);
        let mut env = Env {
            cx: &mut cx,
            fleet: &mut self.fleet,
            config: &self.config,
            config_revision: self.config_revision,
            me: self.lease.member(),
            deadline: match self.bugs.ignores_deadline {
                true => Some(Duration::MAX),
                false => self.lease.deadline(),
            },
            is_lease_extended: self.lease.is_extended(now),
            is_store_reachable,
            log_interval,
            bugs: self.bugs,
        };
        Some(f(shard, &mut env))
    }

    /// Returns whether the store has replied within the time of three renewals.
    fn is_store_reachable(&self, now: Duration) -> bool {
        self.last_store_contact.is_some_and(|at| now <= at + self.timing.renew_interval * 3)
    }
}

/// Builds a context from single fields, so that other fields of the node stay free to borrow.
fn context<'a>(
    timing: &'a Timing,
    calls: &'a mut Calls,
    now: Duration,
    out: &'a mut Vec<Action>,
) -> Context<'a> {
    Context { now, timing, calls, out }
}
