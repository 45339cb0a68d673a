//! Forwards TCP connections to one server, as the state of the link allows.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::LinkState;

/// Most bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Bytes that may wait in the proxy's sockets. A real link holds little more than it carries
/// within a round trip.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// Most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Forwards connections to one server. The proxy stops when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    /// Address that the proxy listens on.
    pub address: SocketAddr,
    states: watch::Sender<States>,
    target: watch::Sender<SocketAddr>,
    /// Number of times that the open connections went silent.
    silenced: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy for the server at an address, with an open link.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can't be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Proxy> {
        Proxy::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), target).await
    }

    /// Starts a proxy that listens on an address, with an open link.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can't be bound.
    pub async fn start_on(address: SocketAddr, target: SocketAddr) -> std::io::Result<Proxy> {
        let socket = small_socket()?;
        // As tokio's listeners do, so that connections of an earlier one do not keep the port.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let (states, state) = watch::channel(States::default());
        let (target, server) = watch::channel(target);
        let (silenced, silence) = watch::channel(0);
        let link_view = Link { state, silence, lanes: Lanes::default() };
        let task = tokio::spawn(accept(listener, server, link_view));
        Ok(Proxy { address, states, target, silenced, task })
    }

    /// Sets the state of the link, for open connections too.
    pub fn set_state(&self, state: LinkState) {
        self.states.send_modify(|states| states.link = state);
    }

    /// Sets the state of the connections from one address, open and new ones. It goes before the
    /// state of the link until it is [`LinkState::Open`], which leaves them to the link again.
    pub fn set_state_from(&self, source: IpAddr, state: LinkState) {
        self.states.send_modify(|states| match state {
            LinkState::Open => {
                states.by_source.remove(&source);
            }
            state => {
                states.by_source.insert(source, state);
            }
        });
    }

    /// Forwards nothing more on the connections that are open now, and does not close them.
    pub fn silence_open_connections(&self) {
        self.silenced.send_modify(|count| *count += 1);
    }

    /// Forwards new connections to another server.
    pub fn retarget(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }
}

/// Returns a socket that holds back what the link has not carried yet.
fn small_socket() -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    Ok(socket)
}

/// States of the link and of the sources that have one of their own.
#[derive(Debug)]
struct States {
    link: LinkState,
    by_source: HashMap<IpAddr, LinkState>,
}

impl Default for States {
    fn default() -> States {
        States { link: LinkState::Open, by_source: HashMap::new() }
    }
}

impl States {
    fn of(&self, source: IpAddr) -> LinkState {
        self.by_source.get(&source).copied().unwrap_or(self.link)
    }
}

/// The states of a link as the connections from one address see them.
#[derive(Clone, Debug)]
struct SourceState {
    states: watch::Receiver<States>,
    source: IpAddr,
}

impl SourceState {
    fn current(&self) -> LinkState {
        self.states.borrow().of(self.source)
    }

    /// Waits for a state.
    ///
    /// # Errors
    ///
    /// Returns an error when the proxy was dropped.
    async fn wait_for(
        &mut self,
        is_expected: impl Fn(LinkState) -> bool,
    ) -> Result<(), watch::error::RecvError> {
        let source = self.source;
        self.states.wait_for(|states| is_expected(states.of(source))).await.map(|_| ())
    }
}

/// When one direction of a narrow link has carried all bytes accepted so far.
#[derive(Clone, Debug, Default)]
struct Lane(Arc<Mutex<Option<Instant>>>);

/// The two directions of a link, shared by its connections.
#[derive(Clone, Debug, Default)]
struct Lanes {
    to_server: Lane,
    to_caller: Lane,
}

/// What a connection sees of its link.
#[derive(Clone, Debug)]
struct Link {
    state: watch::Receiver<States>,
    /// Changes when the connections that are open go silent.
    silence: watch::Receiver<u64>,
    lanes: Lanes,
}

impl Lane {
    /// Waits until the link has carried this many bytes at a rate, after those before them.
    async fn carry(&self, bytes: usize, bytes_per_s: u64) {
        let duration = Duration::from_secs_f64(bytes as f64 / bytes_per_s as f64);
        let end = {
            let mut free_at = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            let now = Instant::now();
            let end = free_at.map_or(now, |at| at.max(now)) + duration;
            *free_at = Some(end);
            end
        };
        tokio::time::sleep_until(end.into()).await;
    }
}

async fn accept(listener: TcpListener, server: watch::Receiver<SocketAddr>, link: Link) {
    while let Ok((caller, from)) = listener.accept().await {
        let state = SourceState { states: link.state.clone(), source: from.ip() };
        // While the link is reset, an accepted connection is dropped, which closes it.
        if state.current() != LinkState::Reset {
            let target = *server.borrow();
            tokio::spawn(forward_connection(caller, target, state, link.clone()));
        }
    }
}

async fn forward_connection(
    caller: TcpStream,
    target: SocketAddr,
    state: SourceState,
    mut link: Link,
) {
    link.silence.borrow_and_update();
    let Ok(socket) = small_socket() else { return };
    let Ok(server) = socket.connect(target).await else { return };
    let _ = (caller.set_nodelay(true), server.set_nodelay(true));
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let Link { state: mut states, mut silence, lanes } = link;
    let (to_server_lane, to_caller_lane) = (lanes.to_server, lanes.to_caller);
    let (loses_calls, loses_answers) = (LinkState::LosesCalls, LinkState::LosesAnswers);
    let calls = forward(from_caller, to_server, state.clone(), to_server_lane, loses_calls);
    let answers = forward(from_server, to_caller, state.clone(), to_caller_lane, loses_answers);
    let (mut calls, mut answers) = (pin!(calls), pin!(answers));
    // Both connections close as soon as one direction ends.
    tokio::select! {
        () = &mut calls => return,
        () = &mut answers => return,
        () = until_reset(state) => return,
        // Fails when the proxy was dropped.
        changed = silence.changed() => if changed.is_err() { return },
    }
    // The halves stay open in `calls` and `answers`.
    while states.changed().await.is_ok() {}
}

async fn until_reset(mut link: SourceState) {
    // `wait_for` fails when the proxy was dropped, which closes the connection too.
    let _ = link.wait_for(|state| state == LinkState::Reset).await;
}

/// Forwards bytes until the connection ends or loses some. A connection that lost bytes can't
/// be used any more, so it is closed once the link changes its state.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: SourceState,
    lane: Lane,
    dropping_state: LinkState,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut chunk).await {
        if count == 0 {
            return;
        }
        let now = link.current();
        match now {
            LinkState::Slow(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            LinkState::Narrow(bytes_per_s) => lane.carry(count, bytes_per_s).await,
            _ => {}
        }
        if now == dropping_state || now == LinkState::Silent {
            let is_open_again = link.wait_for(|state| state != now).await.is_ok();
            if now == dropping_state || !is_open_again {
                return;
            }
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
