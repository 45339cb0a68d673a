//! Which host makes which call for advice.

use std::time::{Duration, Instant};

use sycamore_graph::{Advise, CallClass, StepId, job};
use sycamore_types::Name;

use super::super::advice::{Assigner, CallEnd};

/// The engine's pause before it repeats a failed call, and the wait for its next pass.
const RETRY: Duration = Duration::from_millis(110);

/// Hosts that calls can be given to, and the time.
struct Fixture {
    assigner: Assigner,
    live: Vec<Name>,
    now: Instant,
}

impl Fixture {
    fn new(hosts: usize) -> Fixture {
        let live = (0..hosts).map(host).collect();
        Fixture { assigner: Assigner::default(), live, now: Instant::now() }
    }

    fn enqueue(&mut self, step: u16, class: CallClass) {
        let job = job::Id(u64::from(step));
        let step = StepId { job, occurrence: 0, index: 0 };
        let (hosts, cost_ms, waited_ms) = (Vec::new(), 20.0, 0);
        self.assigner.enqueue(Advise { step, class, hosts, cost_ms, waited_ms }, self.now);
    }

    /// Assigns the waiting calls. Returns the numbers of their hosts.
    fn assign(&mut self) -> Vec<usize> {
        let assigned = self.assigner.assign(&self.live, self.now);
        assigned.iter().map(|(name, _)| number(name)).collect()
    }

    fn end(&mut self, host: usize, end: CallEnd) {
        self.assigner.on_call_ended(&self::host(host), end, self.now);
    }

    /// Makes a call, and returns the number of its host, whose call ends like that.
    fn call(&mut self, class: CallClass, end: impl Fn(usize) -> CallEnd) -> usize {
        self.enqueue(1, class);
        let host = self.assign()[0];
        self.end(host, end(host));
        self.now += RETRY;
        host
    }

    /// Returns how many tries a call needs while some hosts fail, at most 100.
    fn tries(&mut self, class: CallClass, failing: &[usize]) -> usize {
        let end = |host| match failing.contains(&host) {
            true => CallEnd::Failed,
            false => CallEnd::Answered,
        };
        (1..=100).find(|_| !failing.contains(&self.call(class, end))).unwrap_or(100)
    }
}

fn host(number: usize) -> Name {
    Name::from(format!("host-{number}"))
}

fn number(name: &Name) -> usize {
    name.trim_start_matches("host-").parse().expect("a host's number")
}

/// Failure: the host that is first by name fails, and each retry goes through it again.
#[test]
fn a_retry_goes_through_another_host_than_the_one_that_failed() {
    for hosts in 2..=8 {
        for class in CallClass::ALL {
            for failing in 0..hosts {
                let tries = Fixture::new(hosts).tries(class, &[failing]);
                assert!(tries <= 2, "{hosts} hosts, {class:?}, {failing} fails: {tries} tries");
            }
        }
    }
}

/// Failure: the only host for long calls fails, and the others take none, so that steps that need
/// long calls never start.
#[test]
fn long_calls_go_through_other_hosts_while_those_for_long_calls_fail() {
    assert!(Fixture::new(3).tries(CallClass::Long, &[2]) <= 2);
    assert!(Fixture::new(8).tries(CallClass::Long, &[4, 5, 6, 7]) <= 5);
}

/// Failure: a host that keeps failing costs each step a call.
#[test]
fn a_host_that_keeps_failing_is_called_ever_less() {
    let mut fixture = Fixture::new(2);
    let mut calls = 0;
    for step in 0..1_000 {
        // Two calls at a time, so that the host that fails is needed.
        fixture.enqueue(step, CallClass::Short);
        fixture.enqueue(step, CallClass::Short);
        loop {
            let assigned = fixture.assign();
            if assigned.is_empty() {
                break;
            }
            calls += assigned.iter().filter(|host| **host == 0).count();
            for host in assigned {
                let end = if host == 0 { CallEnd::Failed } else { CallEnd::Answered };
                fixture.end(host, end);
            }
        }
        fixture.now += Duration::from_millis(100);
    }
    // In 100 s, one call each 2 to 4 s, and a few more at the begin.
    assert!((20..=60).contains(&calls), "{calls} calls of the host that fails");
}

/// Failure: a host that can be used again is passed over for ever.
#[test]
fn a_host_that_answers_again_is_used_like_the_others() {
    let mut fixture = Fixture::new(2);
    for _ in 0..6 {
        fixture.call(CallClass::Short, |host| match host {
            0 => CallEnd::Failed,
            _ => CallEnd::Answered,
        });
    }
    fixture.now += Duration::from_secs(5);

    fixture.enqueue(1, CallClass::Short);
    fixture.enqueue(2, CallClass::Short);
    let mut both = fixture.assign();
    both.sort();
    assert_eq!(both, [0, 1]);
    fixture.end(0, CallEnd::Answered);
    fixture.end(1, CallEnd::Answered);

    let mut used = [0, 0].map(|_| fixture.call(CallClass::Short, |_| CallEnd::Answered));
    used.sort();
    assert_eq!(used, [0, 1]);
}

/// Failure: at a low load all calls go through one host, whose faults then hit all steps.
#[test]
fn calls_one_after_another_are_spread_over_the_hosts_of_a_class() {
    // Of 8 hosts, two serve short calls only and four serve long calls.
    for (class, expected) in [(CallClass::Short, 2), (CallClass::Long, 4)] {
        let mut fixture = Fixture::new(8);
        let mut calls = [0; 8];
        for _ in 0..40 {
            calls[fixture.call(class, |_| CallEnd::Answered)] += 1;
        }
        let used = calls.iter().filter(|calls| **calls == 40 / expected).count();
        assert_eq!(used, expected, "{class:?}: {calls:?}");
    }
}

/// Failure: while the service answers no host, no calls are made, or after that one host has to
/// make all calls.
#[test]
fn an_outage_of_the_service_leaves_all_hosts_in_use() {
    let mut fixture = Fixture::new(8);
    for _ in 0..50 {
        fixture.call(CallClass::Short, |_| CallEnd::Failed);
    }

    fixture.call(CallClass::Short, |_| CallEnd::Answered);

    (0..8).for_each(|step| fixture.enqueue(step, CallClass::Short));
    assert_eq!(fixture.assign().len(), 8);
}

/// Failure: short calls wait behind long ones.
#[test]
fn long_calls_leave_hosts_to_short_ones() {
    let mut fixture = Fixture::new(8);
    (0..20).for_each(|step| fixture.enqueue(step, CallClass::Long));
    fixture.assign();

    fixture.enqueue(20, CallClass::Short);
    fixture.enqueue(21, CallClass::Short);

    assert_eq!(fixture.assign(), [0, 1]);
}

/// Failure: calls that the service rejects, such as for a worker that it does not know, make all
/// hosts count as failing.
#[test]
fn a_rejected_call_does_not_speak_against_the_host() {
    let mut fixture = Fixture::new(3);
    let before = fixture.assigner.concurrency(&fixture.live, fixture.now);

    fixture.call(CallClass::Short, |_| CallEnd::Rejected);

    assert_eq!(fixture.assigner.concurrency(&fixture.live, fixture.now), before);
}

/// Failure: a call that waited for a host that has gone is lost, or waits though others are free.
#[test]
fn waiting_calls_go_to_the_hosts_that_are_left() {
    let mut fixture = Fixture::new(3);
    (0..3).for_each(|step| fixture.enqueue(step, CallClass::Long));
    assert_eq!(fixture.assign(), [2]);

    fixture.live.truncate(2);

    assert_eq!(fixture.assign(), [0, 1]);
}

/// Failure: nothing tells whether hosts are idle while calls wait for one.
#[test]
fn the_time_that_hosts_spend_on_calls_is_counted_once() {
    let second = Duration::from_secs(1);
    let mut fixture = Fixture::new(1);
    fixture.enqueue(1, CallClass::Long);
    fixture.assign();

    fixture.now += second;
    let of_running = fixture.assigner.take_busy_time(fixture.now);
    fixture.now += second;
    fixture.end(0, CallEnd::Answered);
    fixture.now += second;
    let of_ended = fixture.assigner.take_busy_time(fixture.now);

    let expected = [Duration::ZERO, Duration::ZERO, second];
    assert_eq!([of_running, of_ended], [expected; 2]);
}
