//! Transfers of configurations between processes over links of limited bandwidth.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use sycamore_standin::link::{LinkState, Proxy};
use sycamore_wire::{Incoming, Pool};
use tokio::net::TcpListener;

use super::super::Configs;
use crate::metrics::Meters;
use crate::peer::{Command, Reply};
use crate::timing::PING_INTERVAL;

/// 10 Mbit/s, the slowest link of the users' sites.
const SLOW_LINK: LinkState = LinkState::Narrow(1_250_000);

/// Time within which a confirmed version must be in force on the users' sites.
const APPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// A process that has one configuration in force and counts how often it is asked for it.
struct Peer {
    link: Proxy,
    transfers: Arc<AtomicUsize>,
}

impl Peer {
    async fn start(source: Vec<u8>, link: LinkState) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let transfers = Arc::new(AtomicUsize::new(0));
        tokio::spawn(serve(listener, source, transfers.clone()));
        let proxy = Proxy::start(address).await.expect("a free port");
        proxy.set_state(link);
        Peer { link: proxy, transfers }
    }

    fn address(&self) -> SocketAddr {
        self.link.address
    }
}

async fn serve(listener: TcpListener, source: Vec<u8>, transfers: Arc<AtomicUsize>) {
    while let Ok((socket, _)) = listener.accept().await {
        let (source, transfers) = (source.clone(), transfers.clone());
        let reply = move |incoming: Incoming<Command>| {
            transfers.fetch_add(1, Ordering::Relaxed);
            let reply = Reply::Config(Some(source.clone()));
            async move {
                let (_reader, mut writer) = incoming.respond().expect("an open stream");
                // Fails when the process under test abandons the transfer.
                let _ = writer.write_frame(&reply, true).await;
            }
        };
        tokio::spawn(sycamore_wire::serve(socket, reply));
    }
}

fn configuration(version: u64, bytes: usize) -> Vec<u8> {
    format!("{{\"version\":{version},\"padding\":\"{}\"}}", "x".repeat(bytes)).into_bytes()
}

/// Reports the peer's version at the interval of pings until it is in force or time is over.
async fn report_until_applied(configs: &Configs, pool: &Pool, peer: &Peer, version: u64) {
    let end = Instant::now() + APPLY_TIMEOUT;
    while configs.version() < version && Instant::now() < end {
        configs.on_peer_version(pool, peer.address(), version);
        tokio::time::sleep(PING_INTERVAL).await;
    }
}

/// Incident inc1: each ping began a copy that was cut off after 400 ms, and none arrived whole.
#[tokio::test]
async fn pings_do_not_restart_the_transfer_of_a_large_configuration() {
    let peer = Peer::start(configuration(9, 1_000_000), SLOW_LINK).await;
    let (configs, pool) = (Configs::new(Meters::new()), Pool::default());

    report_until_applied(&configs, &pool, &peer, 9).await;

    assert_eq!(configs.version(), 9);
    assert_eq!(peer.transfers.load(Ordering::Relaxed), 1);
}
