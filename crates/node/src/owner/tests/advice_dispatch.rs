//! Calls for advice through processes that can't be reached, come or go.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use sycamore_graph::{Advise, CallClass, Event, StepId, job};
use sycamore_standin::fenced::{Advice, AdviceMode};
use sycamore_types::Name;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;

use super::super::advice::{AdviceDispatcher, CallEnd, EndedCall};
use super::super::handle::Input;
use super::fixture::node;
use crate::clock::Clock;
use crate::node::Node;
use crate::owner::{Handle, Shared};
use crate::peer::Ping;

/// Expected duration of each call, in milliseconds.
const CALL_MS: f64 = 20.0;

/// The timeout of a call, and some time for a busy machine.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// An owner, host-b, that reaches a service.
struct Fixture {
    node: Arc<Node>,
    dispatcher: AdviceDispatcher,
    ended: UnboundedReceiver<EndedCall>,
    events: Receiver<Input>,
    _service: Advice,
}

impl Fixture {
    async fn new(mode: AdviceMode) -> Fixture {
        let service = Advice::start(mode).await.expect("a free port");
        let node = node("host-b", unused_address(), Some(service.server.address));
        let (control, events) = std::sync::mpsc::channel();
        let handle = Handle::new(1, control, Arc::new(Shared::new(1, Clock::new(), 0)));
        let (dispatcher, ended) = AdviceDispatcher::new(node.clone(), handle);
        Fixture { node, dispatcher, ended, events, _service: service }
    }

    /// Lets the owner hear from a peer.
    fn ping(&self, host: &str, address: SocketAddr) {
        let host = Name::from(host);
        self.node.handle_ping(&Ping { host, address, config_version: 0, owner: None });
    }

    fn enqueue(&mut self) {
        let step = StepId { job: job::Id(1), occurrence: 0, index: 0 };
        let hosts = vec![Name::from("worker-1")];
        let (class, cost_ms, waited_ms) = (CallClass::Short, CALL_MS, 0);
        self.dispatcher.enqueue(Advise { step, class, hosts, cost_ms, waited_ms });
    }

    /// Waits for the end of a call, and passes it on.
    async fn end(&mut self) -> EndedCall {
        let ended = tokio::time::timeout(CALL_TIMEOUT, self.ended.recv()).await;
        let ended = ended.expect("a call ends in time").expect("the dispatcher exists");
        self.dispatcher.on_call_ended(&ended);
        ended
    }

    /// Returns the number of results that the engine has been sent.
    fn results(&self) -> usize {
        let is_result = |input: &Input| matches!(input, Input::Event(Event::Advised { .. }));
        self.events.try_iter().filter(is_result).count()
    }
}

fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn failed(host: &str) -> EndedCall {
    (Name::from(host), CallEnd::Failed)
}

fn answered(host: &str) -> EndedCall {
    (Name::from(host), CallEnd::Answered)
}

/// Failure: a process that the owner can't reach, but hears from, is given each retry of a step.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_is_cut_off_one_way_starves_no_step() {
    let mut fixture = Fixture::new(AdviceMode::Allows).await;
    // Connections are accepted by the system and never read.
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = silent.local_addr().expect("its address");
    fixture.ping("host-a", address);

    fixture.enqueue();
    assert_eq!(fixture.end().await, failed("host-a"));
    for _ in 0..3 {
        fixture.ping("host-a", address);
        fixture.enqueue();
        assert_eq!(fixture.end().await, answered("host-b"));
    }
    assert_eq!(fixture.results(), 4);
}

/// Failure: a process that has just died is given each retry of a step until it is missed.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_died_costs_a_step_one_call() {
    let mut fixture = Fixture::new(AdviceMode::Allows).await;
    fixture.ping("host-a", unused_address());

    fixture.enqueue();
    assert_eq!(fixture.end().await, failed("host-a"));
    fixture.enqueue();
    assert_eq!(fixture.end().await, answered("host-b"));
    assert_eq!(fixture.results(), 2);
}

/// Failure: a call that waits for the only host is not given to one that comes.
#[tokio::test(flavor = "multi_thread")]
async fn a_waiting_call_is_given_to_a_host_that_comes() {
    let mut fixture = Fixture::new(AdviceMode::Silent).await;
    let started = Instant::now();
    fixture.enqueue();
    fixture.enqueue();
    fixture.ping("host-c", unused_address());

    fixture.dispatcher.update();

    assert_eq!(fixture.end().await, failed("host-c"));
    assert!(started.elapsed() < Duration::from_millis(600), "{:?}", started.elapsed());
}
