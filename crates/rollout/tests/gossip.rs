//! Exchange of large documents between processes over links of limited bandwidth.

use std::net::SocketAddr;
use std::time::Duration;

use sycamore_rollout::{Rollout, gossip, push};
use sycamore_standin::link::{LinkState, Proxy};
use sycamore_types::config::{Document, Team};
use sycamore_wire::{Command, Incoming, Pool};
use tokio::net::TcpListener;

/// Carries the documents of these tests in two seconds or more.
const SLOW_LINK: LinkState = LinkState::Narrow(400_000);

/// Longest wait for a revision, far longer than the link needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a document of 0.9 MB, the size that operators may write.
fn document() -> Document {
    let name = |number| format!("{number:0150}").into();
    let teams = (0..6_000).map(|number| (name(number), Team::default())).collect();
    Document { teams, ..Document::default() }
}

fn rollout(revision: u64) -> Rollout {
    let rollout = Rollout::new();
    if revision > 0 {
        rollout.adopt(revision, document());
    }
    rollout
}

/// Serves the configuration messages of a process behind a slow link.
async fn serve(rollout: Rollout) -> Proxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let rollout = rollout.clone();
            let handle = move |incoming: Incoming| reply(rollout.clone(), incoming);
            tokio::spawn(sycamore_wire::serve(socket, handle));
        }
    });
    let link = Proxy::start(address).await.expect("a free port");
    link.set_state(SLOW_LINK);
    link
}

async fn reply(rollout: Rollout, incoming: Incoming) {
    let Command::Config { revision, document } = incoming.command.clone() else { return };
    let reply = rollout.handle_config(revision, document);
    if let Ok((_reader, mut writer)) = incoming.respond() {
        // Fails when the other process gives the call up.
        let _ = writer.write_frame(&reply, true).await;
    }
}

async fn has_revision(rollout: &Rollout, revision: u64) -> bool {
    let mut current = rollout.subscribe();
    let reached = current.wait_for(|config| config.revision >= revision);
    matches!(tokio::time::timeout(WAIT_TIMEOUT, reached).await, Ok(Ok(_)))
}

fn start_gossip(rollout: &Rollout, peer: SocketAddr) {
    tokio::spawn(gossip(rollout.clone(), Pool::default(), move || vec![peer]));
}

/// The cause of incident inc1 in these processes: the limit of one second covered the document.
#[tokio::test]
async fn gossip_brings_a_large_document_from_a_peer_over_a_slow_link() {
    let (old, new) = (rollout(0), rollout(7));
    let link = serve(new).await;

    start_gossip(&old, link.address);

    assert!(has_revision(&old, 7).await);
}

/// The cause of incident inc1 in these processes, in the other direction.
#[tokio::test]
async fn gossip_brings_a_large_document_to_a_peer_over_a_slow_link() {
    let (old, new) = (rollout(0), rollout(7));
    let link = serve(old.clone()).await;

    start_gossip(&new, link.address);

    assert!(has_revision(&old, 7).await);
}

/// An operator's change is reported in time although the push of it goes on.
#[tokio::test]
async fn a_push_that_takes_long_is_not_waited_for_but_arrives() {
    let (old, new) = (rollout(0), rollout(7));
    let link = serve(old.clone()).await;

    let reported = push(&new, &Pool::default(), link.address).await;

    assert_eq!(reported, None);
    assert!(has_revision(&old, 7).await);
}
