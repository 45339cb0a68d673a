//! Dispatch of replies and of callers' events to the part of the node that they concern.
//!
//! A call for a shard that this process does not own is answered at once, so that the caller
//! can try its present owner.

use std::time::Duration;

use sycamore_types::id;
use sycamore_types::outcome::{Failure, Reason};

use super::Node;
use crate::action::{Action, CallId};
use crate::caller::{Answer, Token};
use crate::context::Purpose;
use crate::event::Event;
use crate::{store, worker};

impl Node {
    pub(super) fn on_store(
        &mut self,
        now: Duration,
        out: &mut Vec<Action>,
        call: CallId,
        reply: store::Reply,
    ) {
        let Some(purpose) = self.calls.take(call) else {
            return;
        };
        if reply.is_contact() {
            self.last_store_contact = Some(now);
        }
        match purpose {
            Purpose::Lease => self.on_lease_reply(now, out, reply),
            Purpose::Members => self.on_members(now, reply),
            Purpose::Fence(subject) => self.on_fence_reply(now, out, &subject, reply),
            Purpose::Owners => self.on_owners_reply(now, out, reply),
            Purpose::Ledger => self.on_ledger_reply(now, out, reply),
            Purpose::LogSnapshot(id) => {
                self.with_shard(now, out, &id, |shard, env| shard.on_snapshot_read(env, reply));
            }
            Purpose::LogPages(id) => {
                self.with_shard(now, out, &id, |shard, env| shard.on_pages_read(env, reply));
            }
            Purpose::LogWrite(id) => {
                let is_lost =
                    self.with_shard(now, out, &id, |shard, env| shard.on_page_written(env, reply));
                self.drop_if_lost(now, out, &id, is_lost);
            }
            Purpose::SnapshotWrite(id) => {
                let is_lost = self
                    .with_shard(now, out, &id, |shard, env| shard.on_snapshot_written(env, reply));
                self.drop_if_lost(now, out, &id, is_lost);
            }
            Purpose::RemoveMember | Purpose::Start(..) | Purpose::Poll(..) | Purpose::Stop => {}
        }
    }

    /// Drops a shard whose log a later owner has written to, and rereads the owners document.
    fn drop_if_lost(
        &mut self,
        now: Duration,
        out: &mut Vec<Action>,
        id: &id::Shard,
        is_lost: Option<bool>,
    ) {
        if is_lost == Some(true) {
            self.drop_shard(now, out, id);
            self.owners.mark_stale();
        }
    }

    pub(super) fn on_worker(
        &mut self,
        now: Duration,
        out: &mut Vec<Action>,
        call: CallId,
        reply: worker::Reply,
    ) {
        match self.calls.take(call) {
            Some(Purpose::Start(id, task)) => {
                self.with_shard(now, out, &id, |shard, env| {
                    shard.on_start_reply(env, &task, reply)
                });
            }
            Some(Purpose::Poll(id, host)) => {
                self.with_shard(now, out, &id, |shard, env| shard.on_poll_reply(env, &host, reply));
            }
            _ => {}
        }
    }

    /// Passes an event of a caller to the shard that it concerns.
    pub(super) fn on_caller(&mut self, now: Duration, out: &mut Vec<Action>, event: Event) {
        match event {
            Event::Submit { token, submission } => {
                let home = submission.id.home.clone();
                let found = self.with_shard(now, out, &home, |shard, env| {
                    shard.on_submit(env, token, submission);
                });
                self.answer_if_not_owned(out, token, found);
            }
            Event::Request { token, request } => {
                let home = request.id.home.clone();
                self.request_shards.insert(token, home.clone());
                let found = self.with_shard(now, out, &home, |shard, env| {
                    shard.on_request(env, token, request);
                });
                self.answer_if_not_owned(out, token, found);
            }
            Event::Status { token, job } => {
                let found = self.with_shard(now, out, &job.home, |shard, env| {
                    shard.on_status(env, token, &job);
                });
                self.answer_if_not_owned(out, token, found);
            }
            Event::Cancel { token, job } => {
                let found = self.with_shard(now, out, &job.home, |shard, env| {
                    shard.on_cancel(env, token, &job);
                });
                self.answer_if_not_owned(out, token, found);
            }
            Event::Ended { token, ending } => {
                if let Some(home) = self.request_shards.remove(&token) {
                    self.with_shard(now, out, &home, |shard, env| {
                        shard.on_request_ended(env, token, ending);
                    });
                }
            }
            Event::Gone { token } => {
                if let Some(home) = self.request_shards.get(&token).cloned() {
                    self.with_shard(now, out, &home, |shard, env| shard.on_caller_gone(env, token));
                }
            }
            _ => {}
        }
        self.drop_failed_requests(out);
    }

    /// Answers a call for a shard that this process does not own.
    fn answer_if_not_owned(&mut self, out: &mut Vec<Action>, token: Token, found: Option<()>) {
        if found.is_none() {
            let failure = Failure::not_run(Reason::NoOwner);
            out.push(Action::Answer { token, answer: Answer::Failed(failure) });
        }
    }

    /// Drops the requests that this step has answered with a failure.
    fn drop_failed_requests(&mut self, out: &[Action]) {
        for action in out {
            if let Action::Answer { token, answer: Answer::Failed(_) } = action {
                self.request_shards.remove(token);
            }
        }
    }
}
