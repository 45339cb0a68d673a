//! What happens in a world, step by step.

use super::*;

impl World {
    pub(super) fn schedule(&mut self, delay: Duration, process: usize, happening: Happening) {
        let life = self.processes.get(process).map_or(0, |process| process.life);
        self.order += 1;
        self.agenda.insert((self.now + delay, self.order), (life, happening));
    }

    pub(super) fn latency(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..3_000))
    }

    pub fn deliver(&mut self, at: usize, event: Event) {
        let delay = self.latency();
        self.schedule(delay, at, Happening::Deliver(at, event));
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        self.run_until(end, |_| false);
    }

    /// Lets time pass until something holds. Returns whether it did.
    pub fn run_until(&mut self, end: Duration, mut holds: impl FnMut(&World) -> bool) -> bool {
        while let Some(((at, order), _)) = self.agenda.first_key_value() {
            let (at, order) = (*at, *order);
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            let Some((life, happening)) = self.agenda.remove(&(at, order)) else {
                break;
            };
            self.happen(life, happening);
            if holds(self) {
                return true;
            }
        }
        self.now = end;
        false
    }

    pub(super) fn happen(&mut self, life: u32, happening: Happening) {
        match happening {
            Happening::Tick(at) => {
                if self.is_current(at, life) {
                    self.defer_or(at, life, Happening::Tick(at), |world| {
                        world.schedule(TICK, at, Happening::Tick(at));
                        world.read_hosts(at);
                        world.step(at, Event::Tick);
                    });
                }
            }
            Happening::Deliver(at, event) => {
                if self.is_current(at, life) {
                    let copy = event.clone();
                    self.defer_or(at, life, Happening::Deliver(at, copy), |world| {
                        world.step(at, event);
                    });
                }
            }
            Happening::Send(at, action) => {
                if self.is_current(at, life) {
                    let copy = action.clone();
                    self.defer_or(at, life, Happening::Send(at, copy), |world| {
                        world.carry_out(at, action);
                    });
                }
            }
            Happening::StoreCall(at, call, op) => self.call_store(at, life, call, &op),
            Happening::WorkerCall(at, call, host, op) => {
                self.call_worker(at, life, call, &host, op)
            }
            Happening::RequestArrives(at, token, host, launch) => {
                self.request_arrives(at, life, token, &host, &launch);
            }
        }
        self.check_limits();
    }

    /// Reads the platform's list again and again, as a shell does.
    pub(super) fn read_hosts(&mut self, at: usize) {
        let process = &mut self.processes[at];
        if self.now >= process.next_hosts {
            process.next_hosts = self.now + HOSTS;
            let hosts = self.hosts();
            self.deliver(at, Event::Hosts(hosts));
        }
    }

    pub(super) fn is_current(&self, at: usize, life: u32) -> bool {
        self.processes[at].is_up && self.processes[at].life == life
    }

    /// A paused process does everything after it wakes.
    pub(super) fn defer_or(
        &mut self,
        at: usize,
        _: u32,
        later: Happening,
        f: impl FnOnce(&mut World),
    ) {
        if self.processes[at].is_paused {
            self.schedule(TICK, at, later);
        } else {
            f(self);
        }
    }

    pub(super) fn step(&mut self, at: usize, event: Event) {
        let process = &mut self.processes[at];
        let local = process.clock.read(self.now);
        let actions = process.node.step(local, event);
        let config = process.node.view(local).config;
        if config < process.config {
            self.checks.violations.push(format!("n{at} went back to configuration {config}"));
        }
        self.processes[at].config = config;
        for action in actions {
            self.note(&action);
            let delay = Duration::from_micros(self.rng.random_range(0..500));
            self.schedule(delay, at, Happening::Send(at, action));
        }
    }

    /// Names the step that an action belongs to, for tests that wait for one.
    pub(super) fn note(&mut self, action: &Action) {
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
        self.seen.insert(name);
    }

    pub(super) fn carry_out(&mut self, at: usize, action: Action) {
        let local = self.processes[at].clock.read(self.now);
        let is_late = action.not_after().is_some_and(|end| local > end);
        let delay = self.latency();
        match action {
            Action::Store { call, op } => {
                let delay =
                    if self.store_fault.is_slow { delay + STORE_TIMEOUT / 2 } else { delay };
                self.schedule(delay, at, Happening::StoreCall(at, call, op));
            }
            Action::Worker { call, .. } if is_late => {
                let reply = core_worker::Reply::NotSent;
                self.deliver(at, Event::Worker { call, reply });
            }
            Action::Worker { call, host, op, .. } => {
                self.schedule(delay, at, Happening::WorkerCall(at, call, host, op));
            }
            Action::Peer { to, message, .. } => self.send_peer(at, &to, message),
            Action::Answer { token, answer } => self.answer(at, token, answer, is_late),
            Action::Record(_) => {}
            Action::Stopped => self.processes[at].is_up = false,
        }
    }

    pub(super) fn send_peer(&mut self, at: usize, to: &id::Member, message: peer::Message) {
        let found = self.processes.iter().position(|p| p.node.member().name == to.name);
        let Some(target) = found else {
            return;
        };
        let is_cut =
            self.processes[at].is_cut_from_peers || self.processes[target].is_cut_from_peers;
        let is_addressee = self.processes[target].node.member() == to;
        if is_cut || !is_addressee {
            return;
        }
        let from = self.processes[at].node.member().clone();
        let event = Event::Peer { from, message };
        if self.garbles_peers {
            let late = Duration::from_millis(self.rng.random_range(0..3_000));
            let kind = self.rng.random_range(0..5);
            if kind == 0 {
                return;
            }
            if kind <= 2 {
                let copy = event.clone();
                self.schedule(late, target, Happening::Deliver(target, copy));
            }
            if kind == 2 {
                return;
            }
        }
        self.deliver(target, event);
    }

    pub(super) fn answer(&mut self, at: usize, token: Token, answer: Answer, is_late: bool) {
        if let Answer::Dispatch { host, launch, .. } = &answer {
            if is_late {
                self.deliver(at, Event::Ended { token, ending: Ending::Finished });
            } else {
                let delay = self.latency();
                let arrival = Happening::RequestArrives(at, token, host.clone(), launch.clone());
                self.schedule(delay, at, arrival);
            }
        }
        if let Answer::Failed(failure) = &answer
            && failure.certainty == Certainty::NotRun
            && let Some(job) = self.tokens.get(&token).cloned()
            && !self.answers.contains_key(&token)
        {
            self.checks.told_not_run(&job);
        }
        self.answers.insert(token, answer);
    }

    pub(super) fn call_store(&mut self, at: usize, life: u32, call: u64, op: &core_store::Op) {
        let is_cut = self.store_fault.is_down || self.processes[at].is_cut_from_store;
        if is_cut {
            self.reply_store(at, life, call, core_store::Reply::Unavailable, Duration::ZERO);
            return;
        }
        let reply = self.store.call(op);
        if self.store_fault.loses_replies && op.is_write() {
            self.reply_store(at, life, call, core_store::Reply::Unknown, STORE_TIMEOUT);
        } else {
            self.reply_store(at, life, call, reply, Duration::ZERO);
        }
    }

    pub(super) fn reply_store(
        &mut self,
        at: usize,
        life: u32,
        call: u64,
        reply: core_store::Reply,
        extra: Duration,
    ) {
        if self.processes[at].life == life {
            let delay = self.latency() + extra;
            let event = Event::Store { call, reply };
            self.schedule(delay, at, Happening::Deliver(at, event));
        }
    }

    pub(super) fn call_worker(
        &mut self,
        at: usize,
        life: u32,
        call: u64,
        host: &Name,
        op: core_worker::Op,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(host) else {
            return;
        };
        let (reply, extra) = if worker.is_unreachable {
            (core_worker::Reply::Unknown, Duration::from_millis(300))
        } else {
            (worker.call(now, &op), Duration::ZERO)
        };
        let is_start = matches!(op, core_worker::Op::Start { .. });
        let is_reply_lost = worker.loses_replies && is_start;
        if let core_worker::Op::Start { launch, .. } = &op
            && reply == core_worker::Reply::Done
        {
            self.checks.started(launch, &self.workers);
        }
        let reply = if is_reply_lost { core_worker::Reply::Unknown } else { reply };
        if self.processes[at].life == life {
            let delay = self.latency() + extra;
            self.schedule(delay, at, Happening::Deliver(at, Event::Worker { call, reply }));
        }
    }

    pub(super) fn request_arrives(
        &mut self,
        at: usize,
        life: u32,
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
            self.checks.started(launch, &self.workers);
            ending = Ending::Finished;
        }
        if self.processes[at].life == life {
            let event = Event::Ended { token, ending };
            self.schedule(Duration::from_millis(30), at, Happening::Deliver(at, event));
        }
    }

    pub(super) fn check_limits(&mut self) {
        for worker in self.workers.values_mut() {
            worker.advance(self.now);
        }
        if self.now >= self.limits_from {
            self.checks.limits(&self.limits, &self.workers);
        }
    }
}
