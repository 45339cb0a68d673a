//! Events of a simulated run: ticks, calls, replies and messages.
//!
//! Events are handled one at a time in the order of their times; events at the
//! same time are handled in the order in which they were scheduled. Faults
//! lose, delay or repeat them here.

use super::*;

impl World {
    /// Schedules an event that belongs to the present incarnation of `process`.
    pub(super) fn schedule(&mut self, delay: Duration, process: usize, sim_event: SimEvent) {
        let incarnation = self.processes.get(process).map_or(0, |process| process.incarnation);
        self.sequence += 1;
        self.event_queue.insert((self.now + delay, self.sequence), (incarnation, sim_event));
    }

    /// Draws the latency of one message.
    pub(super) fn latency(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..3_000))
    }

    /// Delivers an event to a process after a random latency.
    pub fn deliver(&mut self, index: usize, event: Event) {
        let delay = self.latency();
        self.schedule(delay, index, SimEvent::Deliver(index, event));
    }

    /// Advances the virtual time by `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        self.run_until(end, |_| false);
    }

    /// Advances the virtual time until a condition holds, at most until `end`.
    /// Returns whether the condition held.
    pub fn run_until(&mut self, end: Duration, mut holds: impl FnMut(&World) -> bool) -> bool {
        while let Some(((at, sequence), _)) = self.event_queue.first_key_value() {
            let (at, sequence) = (*at, *sequence);
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            let Some((incarnation, sim_event)) = self.event_queue.remove(&(at, sequence)) else {
                break;
            };
            self.handle(incarnation, sim_event);
            if holds(self) {
                return true;
            }
        }
        self.now = end;
        false
    }

    /// Handles an event, then checks the limits of the teams.
    pub(super) fn handle(&mut self, incarnation: u32, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Tick(index) => {
                if self.is_current(index, incarnation) {
                    self.defer_if_paused(index, incarnation, SimEvent::Tick(index), |world| {
                        world.schedule(TICK_INTERVAL, index, SimEvent::Tick(index));
                        world.read_hosts(index);
                        world.step_core(index, Event::Tick);
                    });
                }
            }
            SimEvent::Deliver(index, event) => {
                if self.is_current(index, incarnation) {
                    let copy = event.clone();
                    self.defer_if_paused(
                        index,
                        incarnation,
                        SimEvent::Deliver(index, copy),
                        |world| {
                            world.step_core(index, event);
                        },
                    );
                }
            }
            SimEvent::Perform(index, action) => {
                if self.is_current(index, incarnation) {
                    let copy = action.clone();
                    self.defer_if_paused(
                        index,
                        incarnation,
                        SimEvent::Perform(index, copy),
                        |world| {
                            world.perform(index, action);
                        },
                    );
                }
            }
            SimEvent::StoreCall(index, call, op) => self.call_store(index, incarnation, call, &op),
            SimEvent::WorkerCall(index, call, host, op) => {
                self.call_worker(index, incarnation, call, &host, op)
            }
            SimEvent::RequestArrives(index, token, host, launch) => {
                self.request_arrives(index, incarnation, token, &host, &launch);
            }
        }
        self.check_limits();
    }

    /// Delivers the host list at each interval, as the process around the core does.
    pub(super) fn read_hosts(&mut self, index: usize) {
        let process = &mut self.processes[index];
        if self.now >= process.next_host_read {
            process.next_host_read = self.now + HOST_LIST_INTERVAL;
            let hosts = self.hosts();
            self.deliver(index, Event::Hosts(hosts));
        }
    }

    /// Returns whether a process is up and still in the given incarnation.
    pub(super) fn is_current(&self, index: usize, incarnation: u32) -> bool {
        self.processes[index].is_up && self.processes[index].incarnation == incarnation
    }

    /// Handles an event, or schedules it again while the process is paused.
    pub(super) fn defer_if_paused(
        &mut self,
        index: usize,
        _: u32,
        deferred: SimEvent,
        action: impl FnOnce(&mut World),
    ) {
        if self.processes[index].is_paused {
            self.schedule(TICK_INTERVAL, index, deferred);
        } else {
            action(self);
        }
    }

    /// Passes an event to the core, schedules the actions that it returns, and
    /// checks that its configuration revision never decreases.
    pub(super) fn step_core(&mut self, index: usize, event: Event) {
        let process = &mut self.processes[index];
        let local_time = process.clock.read(self.now);
        let actions = process.node.step(local_time, event);
        let revision = process.node.view(local_time).config;
        if revision < process.config_revision {
            self.checks
                .violations
                .push(format!("n{index} went back to configuration revision {revision}"));
        }
        self.processes[index].config_revision = revision;
        for action in actions {
            self.record_action(&action);
            let delay = Duration::from_micros(self.rng.random_range(0..500));
            self.schedule(delay, index, SimEvent::Perform(index, action));
        }
    }

    /// Records the kind of an action, for tests that wait for one.
    pub(super) fn record_action(&mut self, action: &Action) {
        let name = match action {
            Action::Worker { op: core_worker::Op::Start { .. }, .. } => "start",
            Action::Worker { op: core_worker::Op::Stop { .. }, .. } => "stop",
            Action::Store { op: core_store::Op::Put { key, .. }, .. } => match key.as_str() {
                key if key.starts_with("log/") => "page",
                key if key.starts_with("snapshot/") => "snapshot",
                "owners" => "owners",
                "ledger" => "ledger",
                _ => "renewal",
            },
            Action::Peer { message: peer::Message::Lower { .. }, .. } => "lower",
            _ => return,
        };
        self.seen_actions.insert(name);
    }

    /// Performs an action of the core, unless its time limit has passed.
    pub(super) fn perform(&mut self, index: usize, action: Action) {
        let local_time = self.processes[index].clock.read(self.now);
        let is_late = action.not_after().is_some_and(|not_after| local_time > not_after);
        let delay = self.latency();
        match action {
            Action::Store { call, op } => {
                let delay =
                    if self.store_fault.is_slow { delay + STORE_TIMEOUT / 2 } else { delay };
                self.schedule(delay, index, SimEvent::StoreCall(index, call, op));
            }
            Action::Worker { call, .. } if is_late => {
                let reply = core_worker::Reply::NotSent;
                self.deliver(index, Event::Worker { call, reply });
            }
            Action::Worker { call, host, op, .. } => {
                self.schedule(delay, index, SimEvent::WorkerCall(index, call, host, op));
            }
            Action::Peer { to, message, .. } => self.send_peer(index, &to, message),
            Action::Answer { token, answer } => self.answer(index, token, answer, is_late),
            Action::Record(_) => {}
            Action::Stopped => self.processes[index].is_up = false,
        }
    }

    /// Sends a message to a peer.
    ///
    /// A message to an earlier incarnation of the peer is dropped. While peer
    /// messages are disrupted, one in five is lost, one in five is delivered a
    /// second time within 3 s, and one in five is only delivered then.
    pub(super) fn send_peer(&mut self, index: usize, to: &id::Member, message: peer::Message) {
        let found = self.processes.iter().position(|p| p.node.member().name == to.name);
        let Some(target) = found else {
            return;
        };
        let is_partitioned = self.processes[index].is_partitioned_from_peers
            || self.processes[target].is_partitioned_from_peers;
        let is_current_member = self.processes[target].node.member() == to;
        if is_partitioned || !is_current_member {
            return;
        }
        let from = self.processes[index].node.member().clone();
        let event = Event::Peer { from, message };
        if self.disrupts_peer_messages {
            let extra_delay = Duration::from_millis(self.rng.random_range(0..3_000));
            let fate = self.rng.random_range(0..5);
            if fate == 0 {
                return;
            }
            if fate <= 2 {
                let copy = event.clone();
                self.schedule(extra_delay, target, SimEvent::Deliver(target, copy));
            }
            if fate == 2 {
                return;
            }
        }
        self.deliver(target, event);
    }

    /// Records an answer to a caller, and sends a dispatched request to its worker.
    ///
    /// A dispatch after its time limit is not sent; the core is notified that the
    /// request has ended.
    pub(super) fn answer(&mut self, index: usize, token: Token, answer: Answer, is_late: bool) {
        if let Answer::Dispatch { host, launch, .. } = &answer {
            if is_late {
                self.deliver(index, Event::Ended { token, ending: Ending::Finished });
            } else {
                let delay = self.latency();
                let arrival = SimEvent::RequestArrives(index, token, host.clone(), launch.clone());
                self.schedule(delay, index, arrival);
            }
        }
        if let Answer::Failed(failure) = &answer
            && failure.certainty == Certainty::NotRun
            && let Some(job) = self.jobs_by_token.get(&token).cloned()
            && !self.answers.contains_key(&token)
        {
            self.checks.record_not_run(&job);
        }
        self.answers.insert(token, answer);
    }

    /// Performs a call to the store, unless the store is unavailable to the process.
    pub(super) fn call_store(
        &mut self,
        index: usize,
        incarnation: u32,
        call: u64,
        op: &core_store::Op,
    ) {
        let is_unavailable =
            self.store_fault.is_down || self.processes[index].is_partitioned_from_store;
        if is_unavailable {
            self.send_store_reply(
                index,
                incarnation,
                call,
                core_store::Reply::Unavailable,
                Duration::ZERO,
            );
            return;
        }
        let reply = self.store.call(op);
        if self.store_fault.loses_replies && op.is_write() {
            self.send_store_reply(
                index,
                incarnation,
                call,
                core_store::Reply::Unknown,
                STORE_TIMEOUT,
            );
        } else {
            self.send_store_reply(index, incarnation, call, reply, Duration::ZERO);
        }
    }

    /// Delivers a reply of the store, unless the caller has crashed or restarted.
    pub(super) fn send_store_reply(
        &mut self,
        index: usize,
        incarnation: u32,
        call: u64,
        reply: core_store::Reply,
        extra_delay: Duration,
    ) {
        if self.processes[index].incarnation == incarnation {
            let delay = self.latency() + extra_delay;
            let event = Event::Store { call, reply };
            self.schedule(delay, index, SimEvent::Deliver(index, event));
        }
    }

    /// Performs a call to a worker and delivers its reply.
    pub(super) fn call_worker(
        &mut self,
        index: usize,
        incarnation: u32,
        call: u64,
        host: &Name,
        op: core_worker::Op,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(host) else {
            return;
        };
        let (reply, extra_delay) = if worker.is_unreachable {
            (core_worker::Reply::Unknown, Duration::from_millis(300))
        } else {
            (worker.call(now, &op), Duration::ZERO)
        };
        let is_start = matches!(op, core_worker::Op::Start { .. });
        let is_reply_lost = worker.loses_replies && is_start;
        if let core_worker::Op::Start { launch, .. } = &op
            && reply == core_worker::Reply::Done
        {
            self.checks.record_start(launch, &self.workers);
        }
        let reply = if is_reply_lost { core_worker::Reply::Unknown } else { reply };
        if self.processes[index].incarnation == incarnation {
            let delay = self.latency() + extra_delay;
            self.schedule(delay, index, SimEvent::Deliver(index, Event::Worker { call, reply }));
        }
    }

    /// Starts an interactive request at its worker, and notifies its owner 30 ms
    /// later that it has ended or is in doubt.
    pub(super) fn request_arrives(
        &mut self,
        index: usize,
        incarnation: u32,
        token: Token,
        host: &Name,
        launch: &core_worker::Launch,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(host) else {
            return;
        };
        let mut ending = Ending::InDoubt;
        if !worker.is_unreachable {
            let op = core_worker::Op::Start { launch: launch.clone(), not_after: Duration::ZERO };
            worker.call(now, &op);
            self.checks.record_start(launch, &self.workers);
            ending = Ending::Finished;
        }
        if self.processes[index].incarnation == incarnation {
            let event = Event::Ended { token, ending };
            self.schedule(Duration::from_millis(30), index, SimEvent::Deliver(index, event));
        }
    }

    /// Ends tasks that are due and checks the limits of the teams.
    pub(super) fn check_limits(&mut self) {
        for worker in self.workers.values_mut() {
            worker.advance(self.now);
        }
        if self.now >= self.limits_checked_from {
            self.checks.check_limits(&self.limits, &self.workers);
        }
    }
}
