//! Proxies that treat the connections from one address apart from the others.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use sycamore_standin::link::{LinkState, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const CUT_OFF: [u8; 4] = [127, 0, 0, 8];
const OTHER: [u8; 4] = [127, 0, 0, 9];

/// Time after which an echo counts as held back.
const SILENCE: Duration = Duration::from_millis(200);

/// Starts a server that sends back what it receives, behind a proxy.
async fn echo_server() -> Proxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = socket.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    Proxy::start(address).await.expect("a free port")
}

async fn connect_from(source: [u8; 4], link: &Proxy) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from((source, 0))).expect("an address of loopback");
    socket.connect(link.address).await.expect("the proxy accepts")
}

async fn send(connection: &mut TcpStream) {
    connection.write_all(b"x").await.expect("the connection is open");
}

/// Returns whether a byte comes back before the time of silence is over.
async fn receives(connection: &mut TcpStream) -> bool {
    let received = tokio::time::timeout(SILENCE, connection.read_u8()).await;
    received.is_ok_and(|byte| byte.is_ok())
}

/// Failure: a silent source silenced all others, or went on over open or new connections.
#[tokio::test]
async fn a_silent_source_is_cut_off_while_others_are_not() {
    let link = echo_server().await;
    let mut open = connect_from(CUT_OFF, &link).await;
    let mut other = connect_from(OTHER, &link).await;

    link.set_state_from(IpAddr::from(CUT_OFF), LinkState::Silent);
    let mut new = connect_from(CUT_OFF, &link).await;
    for connection in [&mut open, &mut new, &mut other] {
        send(connection).await;
    }

    assert!(!receives(&mut open).await, "on the open connection");
    assert!(!receives(&mut new).await, "on the new connection");
    assert!(receives(&mut other).await, "from the other source");
    link.set_state_from(IpAddr::from(CUT_OFF), LinkState::Open);
    assert!(receives(&mut open).await, "late on the open connection");
    assert!(receives(&mut new).await, "late on the new connection");
}

/// Failure: a change of the link's state healed a source that was cut off by its own state.
#[tokio::test]
async fn the_state_of_a_source_goes_before_that_of_the_link() {
    let link = echo_server().await;
    let mut connection = connect_from(CUT_OFF, &link).await;

    link.set_state_from(IpAddr::from(CUT_OFF), LinkState::Silent);
    link.set_state(LinkState::Slow(1));
    send(&mut connection).await;

    assert!(!receives(&mut connection).await);
    link.set_state_from(IpAddr::from(CUT_OFF), LinkState::Open);
    assert!(receives(&mut connection).await);
}
