//! Orders through an executor that works, dies, goes silent, loses results or knows of a newer
//! owner. Workers are simulated ones.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use sycamore_graph::{Event, StartOutcome};
use sycamore_platform::site::CallOutcome;
use sycamore_standin::fenced::{Capacity, Observation, Observer, Worker};
use sycamore_standin::link::{LinkState, Proxy};
use sycamore_types::Name;
use sycamore_wire::Incoming;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};

use super::super::health;
use super::super::session::{Notice, NoticeEvent, Session};
use super::super::{Executors, UPDATE_INTERVAL};
use super::{poll, start, stop};
use crate::clock::Clock;
use crate::node::Node;
use crate::owner::calls::{Calls, Request};
use crate::owner::handle::Input;
use crate::owner::tests::fixture::node;
use crate::owner::{Handle, Shared};
use crate::peer::{
    self, Command, Order, OrderBatch, OrderResult, Owner, Ping, ResultBatch, WorkerOutcome,
};

const EPOCH: u64 = 5;

/// Far longer than needed even on a busy machine.
const WAIT: Duration = Duration::from_secs(10);

/// Starts that the worker has carried out.
#[derive(Clone, Debug, Default)]
struct Starts(Arc<Mutex<u32>>);

impl Starts {
    fn count(&self) -> u32 {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Observer for Starts {
    fn observe(&self, _worker: &str, observation: Observation) {
        if matches!(observation, Observation::Started { .. }) {
            *self.0.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        }
    }
}

/// How a fake executor treats its session.
#[derive(Clone, Copy)]
enum Fake {
    /// Closes the session after it has read the first batch with orders.
    Dies,
    /// Confirms batches and sends no results.
    LosesResults,
    /// Reaches no worker.
    IsCutOff,
}

/// An owner with one worker.
struct Fixture {
    node: Arc<Node>,
    calls: Calls,
    events: Receiver<Input>,
    starts: Starts,
    _worker: Worker<Starts>,
}

impl Fixture {
    async fn start() -> Fixture {
        let starts = Starts::default();
        let capacity = Capacity { cpu_millis: 8_000, memory_mib: 1_000 };
        let worker = Worker::start("worker", capacity, starts.clone()).await.expect("a free port");
        let node = node("owner", SocketAddr::from(([127, 0, 0, 1], 9)), None);
        let (control, events) = std::sync::mpsc::channel();
        let handle = Handle::new(EPOCH, control, Arc::new(Shared::new(1, Clock::new(), 0)));
        handle.addresses.set(Name::from("worker"), worker.address());
        handle.addresses.set_listed(1);
        let calls = Calls::new(node.clone(), handle, Arc::new(Notify::new()));
        Fixture { node, calls, events, starts, _worker: worker }
    }

    /// Opens a session with an executor. Returns the sender of its requests and its notices.
    async fn open(
        &self,
        address: SocketAddr,
    ) -> (mpsc::Sender<Request>, mpsc::UnboundedReceiver<Notice>) {
        let (requests, received) = mpsc::channel(100);
        let (notices, mut noticed) = mpsc::unbounded_channel();
        let (executor, calls) = (Name::from("peer"), self.calls.clone());
        let session = Session { executor, address, number: 1, calls, notices };
        tokio::spawn(session.run(received));
        let opened = noticed.recv().await.map(|notice| notice.event);
        assert!(matches!(opened, Some(NoticeEvent::Opened)), "{opened:?}");
        (requests, noticed)
    }

    /// Waits for the next event that the engine would get.
    async fn event(&self) -> Event {
        let end = Instant::now() + WAIT;
        loop {
            match self.events.try_recv() {
                Ok(Input::Event(event)) => return event,
                Ok(other) => panic!("unexpected {other:?}"),
                Err(TryRecvError::Empty) => {}
                Err(error) => panic!("{error}"),
            }
            assert!(Instant::now() < end, "no event within {WAIT:?}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits for the outcomes of a start and a poll, in any order.
    async fn outcomes_of_start_and_poll(&self) -> StartOutcome {
        let (first, second) = (self.event().await, self.event().await);
        match (&first, &second) {
            (Event::Started { outcome, .. }, Event::Polled { poll: 3, .. })
            | (Event::Polled { poll: 3, .. }, Event::Started { outcome, .. }) => *outcome,
            other => panic!("unexpected {other:?}"),
        }
    }
}

/// Serves sessions like a process of the cluster. Also returns its state.
async fn real_peer() -> (SocketAddr, Arc<Node>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let node = node("peer", address, None);
    tokio::spawn(peer::serve(node.clone(), listener));
    (address, node)
}

async fn fake_peer(fake: Fake) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let handler = move |incoming: Incoming<Command>| serve_fake(incoming, fake);
            tokio::spawn(sycamore_wire::serve(socket, handler));
        }
    });
    address
}

async fn serve_fake(incoming: Incoming<Command>, fake: Fake) {
    let Ok((mut reader, mut writer)) = incoming.respond() else { return };
    while let Ok(batch) = reader.read_frame::<OrderBatch>().await {
        match fake {
            Fake::Dies if !batch.orders.is_empty() => return,
            Fake::Dies => {}
            Fake::LosesResults | Fake::IsCutOff => {
                let receipt = batch.wants_receipt.then_some(batch.number);
                let unreached = |order: Order| OrderResult {
                    id: order.id,
                    outcome: WorkerOutcome::PollFailed(CallOutcome::Unknown),
                };
                let is_cut_off = matches!(fake, Fake::IsCutOff);
                let results = batch.orders.into_iter().filter(|_| is_cut_off).map(unreached);
                let results =
                    ResultBatch { receipt, results: results.collect(), ..ResultBatch::default() };
                if writer.write_frame(&results, false).await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn send(requests: &mpsc::Sender<Request>, all: &[Request]) {
    for request in all {
        requests.send(request.clone()).await.expect("the session runs");
    }
}

/// The whole path: orders reach the worker, and their outcomes the engine.
#[tokio::test]
async fn orders_are_carried_out_by_the_peer() {
    let owner = Fixture::start().await;
    let (address, peer) = real_peer().await;
    let (requests, mut notices) = owner.open(address).await;

    send(&requests, &[start(1), poll(0)]).await;

    assert_eq!(owner.outcomes_of_start_and_poll().await, StartOutcome::Started);
    assert_eq!(owner.starts.count(), 1);
    send(&requests, &[stop(1)]).await;
    assert!(matches!(owner.event().await, Event::Stopped { is_accepted: true, .. }));
    let noticed = notices.recv().await.map(|notice| notice.event);
    let is_receipt = |event: &NoticeEvent| {
        matches!(event, NoticeEvent::Observed(health::Observation::Receipt(_)))
    };
    assert!(noticed.as_ref().is_some_and(is_receipt), "{noticed:?}");
    drop(peer);
}

/// A peer that dies with orders in flight: the start is unknown and not repeated, and the poll is
/// made directly at once, so that the lease is renewed.
#[tokio::test]
async fn orders_of_a_dead_peer_are_resolved_at_once() {
    let owner = Fixture::start().await;
    let (requests, mut notices) = owner.open(fake_peer(Fake::Dies).await).await;
    let sent = Instant::now();

    send(&requests, &[start(1), poll(1_000)]).await;

    assert_eq!(owner.outcomes_of_start_and_poll().await, StartOutcome::Unknown);
    assert!(sent.elapsed() < Duration::from_millis(500), "{:?}", sent.elapsed());
    assert_eq!(owner.starts.count(), 0);
    let noticed = notices.recv().await.map(|notice| notice.event);
    let is_failure =
        |event: &NoticeEvent| matches!(event, NoticeEvent::Observed(health::Observation::Failed));
    assert!(noticed.as_ref().is_some_and(is_failure), "{noticed:?}");
}

/// A paused or cut-off peer keeps its connection open and answers nothing. The lease of 6 s must
/// be renewed well before its end.
#[tokio::test]
async fn polls_of_a_silent_peer_are_made_directly_within_two_seconds() {
    let owner = Fixture::start().await;
    let (address, _peer) = real_peer().await;
    let link = Proxy::start(address).await.expect("a free port");
    let (requests, _notices) = owner.open(link.address).await;
    link.set_state(LinkState::Silent);
    let sent = Instant::now();

    send(&requests, &[start(1), poll(1_000)]).await;

    assert_eq!(owner.outcomes_of_start_and_poll().await, StartOutcome::Unknown);
    assert!(sent.elapsed() < Duration::from_secs(2), "{:?}", sent.elapsed());
}

/// Results that are lost while the peer lives: each order ends after its own timeout, and the owner
/// learns for which worker.
#[tokio::test]
async fn lost_results_are_overdue_and_noticed() {
    let owner = Fixture::start().await;
    let (requests, mut notices) = owner.open(fake_peer(Fake::LosesResults).await).await;

    send(&requests, &[start(1), poll(1_000)]).await;

    assert_eq!(owner.outcomes_of_start_and_poll().await, StartOutcome::Unknown);
    let mut lost = Vec::new();
    while lost.len() < 2 {
        match notices.recv().await.expect("the session runs").event {
            NoticeEvent::Unreached(worker) => lost.push(worker),
            NoticeEvent::Observed(health::Observation::Receipt(_)) => {}
            other => panic!("unexpected {other:?}"),
        }
    }
    assert_eq!(lost, [Name::from("worker"), Name::from("worker")]);
}

/// A peer that has heard of a newer owner must carry out nothing for the old one, which must learn
/// of its replacement.
#[tokio::test]
async fn orders_of_a_replaced_owner_are_refused() {
    let owner = Fixture::start().await;
    let (address, peer) = real_peer().await;
    let newer = Owner { epoch: EPOCH + 1, host: Name::from("newer"), address };
    peer.ownership.record_owner(&newer);
    let (requests, _notices) = owner.open(address).await;
    let outranked = owner.node.outranked.notified();
    tokio::pin!(outranked);
    outranked.as_mut().enable();

    send(&requests, &[start(1)]).await;

    tokio::time::timeout(WAIT, outranked).await.expect("the owner is told");
    assert_eq!(owner.node.ownership.newest_owner(), Some(newer));
    assert!(matches!(owner.event().await, Event::Started { outcome: StartOutcome::Unknown, .. }));
    assert_eq!(owner.starts.count(), 0);
}

/// Without live peers, and below the threshold, workers are called as before.
#[tokio::test]
async fn workers_are_called_directly_without_executors() {
    for min_workers in [1, 2] {
        let owner = Fixture::start().await;
        let (mut executors, _notices) = Executors::new(owner.calls.clone(), min_workers);
        executors.update();

        executors.send(start(1));

        let event = owner.event().await;
        assert!(
            matches!(event, Event::Started { outcome: StartOutcome::Started, .. }),
            "{event:?}"
        );
        assert_eq!(owner.node.meters.executor_batches.with_label_values(&["sent"]).get(), 0);
    }
}

/// A peer that lives and reaches the owner may be cut off from a worker. The engine must hear of the
/// failed poll, and the next one must take another way.
#[tokio::test]
async fn a_worker_that_the_executor_does_not_reach_is_noticed() {
    let owner = Fixture::start().await;
    let (requests, mut notices) = owner.open(fake_peer(Fake::IsCutOff).await).await;

    send(&requests, &[poll(1_000)]).await;

    assert!(matches!(owner.event().await, Event::PollFailed { is_gone: false, .. }));
    loop {
        match notices.recv().await.expect("the session runs").event {
            NoticeEvent::Unreached(worker) => break assert_eq!(worker, Name::from("worker")),
            NoticeEvent::Observed(health::Observation::Receipt(_)) => {}
            other => panic!("unexpected {other:?}"),
        }
    }
}

/// After a peer has not reached a worker, the worker's next orders must not go through it.
#[tokio::test]
async fn an_unreached_worker_is_called_directly() {
    let owner = Fixture::start().await;
    owner.node.handle_ping(&Ping {
        host: Name::from("peer"),
        address: fake_peer(Fake::IsCutOff).await,
        config_version: 0,
        owner: None,
    });
    let (mut executors, mut notices) = Executors::new(owner.calls.clone(), 1);
    executors.update();
    executors.on_notice(notices.recv().await.expect("a notice"));

    executors.send(poll(1_000));
    let failed = owner.event().await;
    // The receipt, and that the worker was not reached.
    for _ in 0..2 {
        executors.on_notice(notices.recv().await.expect("a notice"));
    }
    executors.send(poll(0));
    let direct = owner.event().await;

    assert!(matches!(failed, Event::PollFailed { .. }), "{failed:?}");
    assert!(matches!(direct, Event::Polled { .. }), "{direct:?}");
}

/// A live peer carries the orders from the threshold on; when it fails, they go directly at once.
#[tokio::test]
async fn a_failed_executor_is_replaced_by_direct_calls() {
    let owner = Fixture::start().await;
    let (address, _peer) = real_peer().await;
    let link = Proxy::start(address).await.expect("a free port");
    owner.node.handle_ping(&Ping {
        host: Name::from("peer"),
        address: link.address,
        config_version: 0,
        owner: None,
    });
    let (mut executors, mut notices) = Executors::new(owner.calls.clone(), 1);
    executors.update();
    executors.on_notice(notices.recv().await.expect("a notice"));

    executors.send(start(1));
    let through_peer = owner.event().await;
    link.set_state(LinkState::Reset);
    let failed = async {
        while owner.node.meters.executors.get() > 0 {
            tokio::time::timeout(UPDATE_INTERVAL, notices.recv())
                .await
                .into_iter()
                .flatten()
                .for_each(|notice| executors.on_notice(notice));
            executors.update();
        }
    };
    tokio::time::timeout(WAIT, failed).await.expect("the failure is noticed");
    executors.send(start(2));
    let direct = owner.event().await;

    for event in [through_peer, direct] {
        assert!(
            matches!(event, Event::Started { outcome: StartOutcome::Started, .. }),
            "{event:?}"
        );
    }
    let sent = owner.node.meters.executor_orders.with_label_values(&["carried out"]).get();
    assert_eq!(sent, 1);
}
