//! A link on loopback that can be harmed.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::LinkState;

/// Bytes passed on at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Passes connections on to one server.
#[derive(Debug)]
pub(crate) struct Proxy {
    /// Address for callers.
    pub address: SocketAddr,
    link: watch::Sender<LinkState>,
    target: watch::Sender<SocketAddr>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (link, state) = watch::channel(LinkState::Open);
        let (target, server) = watch::channel(target);
        let task = tokio::spawn(accept(listener, server, state));
        Ok(Proxy { address, link, target, task })
    }

    pub fn set_state(&self, state: LinkState) {
        self.link.send_replace(state);
    }

    /// Passes new connections on to another server.
    pub fn retarget(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }
}

async fn accept(
    listener: TcpListener,
    server: watch::Receiver<SocketAddr>,
    link: watch::Receiver<LinkState>,
) {
    while let Ok((caller, _)) = listener.accept().await {
        // A reset link closes what it accepts.
        if *link.borrow() != LinkState::Reset {
            let target = *server.borrow();
            tokio::spawn(forward_connection(caller, target, link.clone()));
        }
    }
}

async fn forward_connection(
    caller: TcpStream,
    target: SocketAddr,
    link: watch::Receiver<LinkState>,
) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = (caller.set_nodelay(true), server.set_nodelay(true));
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    // Both ends close as soon as one direction does.
    tokio::select! {
        () = forward(from_caller, to_server, link.clone(), LinkState::LosesCalls) => {}
        () = forward(from_server, to_caller, link.clone(), LinkState::LosesAnswers) => {}
        () = until_reset(link) => {}
    }
}

async fn until_reset(mut link: watch::Receiver<LinkState>) {
    // The proxy has ended when there is no sender any more.
    let _ = link.wait_for(|state| *state == LinkState::Reset).await;
}

/// Passes bytes on until the connection ends. Bytes that were lost break a connection for
/// good, so that it is closed once the link is whole again.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<LinkState>,
    dropping_state: LinkState,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut chunk).await {
        if count == 0 {
            return;
        }
        let now = *link.borrow_and_update();
        if let LinkState::Slow(ms) = now {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        if now == dropping_state || now == LinkState::Silent {
            let is_open_again = link.wait_for(|state| *state != now).await.is_ok();
            if now == dropping_state || !is_open_again {
                return;
            }
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
