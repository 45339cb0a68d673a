//! Requests for advice on a site so large that a step first looks at a sample of the hosts.

use std::collections::BTreeMap;
use std::sync::Arc;

use sycamore_graph::job::{Spec, Step};
use sycamore_graph::{
    Action, Advise, CallClass, Engine, Event, HostEntry, Moment, Reading, Recovered, Report, Timing,
};
use sycamore_types::Name;

use crate::fixture::{QUEUE, TEAM, advised_queue, catalog, host, id, job, step};

/// Number of hosts, enough for four samples.
const HOSTS: usize = 2_048;

/// Number of jobs that arrive before one dispatch pass.
const JOBS: u64 = 40;

/// A label that one host has.
const RARE_LABEL: &str = "rare";

fn large_site() -> Vec<HostEntry> {
    let mut hosts: Vec<HostEntry> =
        (0..HOSTS).map(|number| HostEntry { address: None, ..host(number) }).collect();
    hosts[HOSTS / 2].labels = Arc::from([Name::from(RARE_LABEL)]);
    hosts
}

/// Returns an engine whose hosts all accept work.
fn engine(hosts: Vec<HostEntry>, now: Moment) -> Engine {
    let catalog = catalog(advised_queue());
    let mut engine = Engine::new(now, Timing::default(), catalog, Recovered::default());
    let at_ms = now.monotonic_ms;
    engine.handle(now, Event::Confirmed { at_ms, by_store_ms: at_ms });
    engine.handle(now, Event::AdviceConcurrency([1_000; CallClass::COUNT]));
    let reading = |entry: &HostEntry| {
        let (host, incarnation) = (entry.id.clone(), entry.incarnation);
        Reading { host, incarnation, written_ms: now.monotonic_ms, remaining_ms: 0 }
    };
    let readings = hosts.iter().map(reading).collect();
    let polls = engine.handle(now, Event::Listed(hosts));
    engine.handle(now, Event::Dated(readings));
    for action in polls {
        let Action::Poll(poll) = action else { continue };
        let report = Report { incarnation: 1, clock_ms: 1, ..Report::default() };
        engine.handle(now, Event::Polled { host: poll.host, poll: poll.number, report });
    }
    engine.handle(now, Event::Committed(engine.appended_records()));
    engine
}

/// Submits jobs that arrive together. Returns the calls for advice of the next pass.
fn requests(spec: &Spec) -> Vec<Advise> {
    let now = Moment { monotonic_ms: 1_000, unix_ms: 1_000_000 };
    let mut engine = engine(large_site(), now);
    for number in 0..JOBS {
        let (queue, team) = (Name::from(QUEUE), Name::from(TEAM));
        let submit = Event::Submit { token: 0, job: id(number), queue, team, spec: spec.clone() };
        engine.handle(now, submit);
    }
    engine.handle(now, Event::Committed(engine.appended_records()));
    let actions = engine.dispatch(now);
    assert_eq!(engine.stale_results(), Vec::<String>::new());
    let advise = |action| match action {
        Action::Advise(advise) => Some(advise),
        _ => None,
    };
    actions.into_iter().filter_map(advise).collect()
}

/// Guards against steps that all ask about the same hosts at the same time: on 3,000 hosts, they
/// took them from each other until half of the short tasks were late.
#[test]
fn steps_that_arrive_together_ask_about_different_hosts() {
    let requests = requests(&job(vec![step(3, 1_000)]));

    let mut steps_by_host: BTreeMap<Name, u64> = BTreeMap::new();
    for name in requests.iter().flat_map(|request| &request.hosts) {
        *steps_by_host.entry(name.clone()).or_default() += 1;
    }
    assert_eq!(requests.len() as u64, JOBS);
    assert!(steps_by_host.values().all(|steps| *steps <= JOBS / 2), "{steps_by_host:?}");
}

/// Guards against a step that waits although a host outside of its sample could run it.
#[test]
fn a_step_that_only_one_host_may_run_asks_about_that_host() {
    let rare = Step { required_label: Some(Name::from(RARE_LABEL)), ..step(3, 1_000) };

    let requests = requests(&job(vec![rare]));

    assert_eq!(requests.len() as u64, JOBS);
    let only = large_site()[HOSTS / 2].id.clone();
    assert!(requests.iter().all(|request| request.hosts == [only.clone()]));
}
