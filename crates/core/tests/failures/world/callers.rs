//! Calls of callers: submissions, requests, cancellations and status queries.
//!
//! Each call goes to the owner of its shard, or to process 0 if there is none.

use super::*;

impl World {
    /// Submits a job.
    pub fn submit(&mut self, shard: &id::Shard, team: &str, spec: Spec) -> (Token, id::Job) {
        let job = id::Job::new(shard.clone(), self.rng.random());
        if spec.kind == Kind::Service {
            self.services.insert(job.clone());
        }
        if !spec.restartable {
            self.checks.at_most_once.insert(job.clone());
        }
        let index = self.owner(shard).unwrap_or(0);
        let token = self.new_token_for(&job);
        let team = Name::from(team);
        let submission = Submission { id: job.clone(), team, spec };
        self.deliver(index, Event::Submit { token, submission });
        (token, job)
    }

    /// Makes an interactive request, with an idempotency key if one is given.
    pub fn request(&mut self, shard: &id::Shard, team: &str, key: Option<u128>) -> Token {
        let index = self.owner(shard).unwrap_or(0);
        let id = id::Job::new(shard.clone(), self.rng.random());
        self.checks.at_most_once.insert(id.clone());
        if let Some(key) = key {
            self.checks.keys.insert(id.clone(), key);
        }
        let token = self.new_token_for(&id);
        let request = Request {
            id,
            team: Name::from(team),
            service: Name::from("orderdesk"),
            size: size(),
            selector: Default::default(),
            key,
            start_timeout: Duration::from_secs(3),
        };
        self.deliver(index, Event::Request { token, request });
        token
    }

    /// Cancels a job.
    pub fn cancel(&mut self, job: &id::Job) {
        let index = self.owner(&job.home).unwrap_or(0);
        let token = self.next_token;
        self.next_token += 1;
        self.deliver(index, Event::Cancel { token, job: job.clone() });
    }

    /// Queries the status of a job and runs until the answer, at most 1 s.
    ///
    /// Returns `None` if the shard has no owner or the owner gives no status.
    pub fn status(&mut self, job: &id::Job) -> Option<sycamore_core::caller::Status> {
        let index = self.owner(&job.home)?;
        let token = self.next_token;
        self.next_token += 1;
        self.deliver(index, Event::Status { token, job: job.clone() });
        let end = self.now + Duration::from_secs(1);
        self.run_until(end, |world| world.answers.contains_key(&token));
        match self.answers.get(&token) {
            Some(Answer::Status(status)) => Some((**status).clone()),
            _ => None,
        }
    }

    /// Allocates a token for a call that submits or requests work.
    pub(super) fn new_token_for(&mut self, job: &id::Job) -> Token {
        let token = self.next_token;
        self.next_token += 1;
        self.jobs_by_token.insert(token, job.clone());
        token
    }

    /// Returns the accepted jobs, which the owner has answered to be durable.
    pub fn accepted(&self) -> Vec<id::Job> {
        let accepted = |(_, answer): (&Token, &Answer)| match answer {
            Answer::Accepted(job) => Some(job.clone()),
            _ => None,
        };
        self.answers.iter().filter_map(accepted).collect()
    }
}
