//! HTTP server for one call, which reads the request or writes the response at a fixed pace.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Receive buffer of the server's sockets, in bytes. Small, so that the client notices how
/// slowly its request is read.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// How a body is carried: so many bytes in chunks with a pause after each.
#[derive(Clone, Copy)]
pub struct Pace {
    pub bytes: usize,
    pub chunk: usize,
    pub pause: Duration,
}

pub struct SlowServer {
    pub address: SocketAddr,
}

impl SlowServer {
    /// Responds to a request without a body at this pace.
    pub async fn responding(pace: Pace) -> SlowServer {
        let (listener, address) = listen();
        tokio::spawn(async move {
            let (mut socket, _) = listener.accept().await?;
            read_head(&mut socket).await?;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", pace.bytes);
            socket.write_all(head.as_bytes()).await?;
            for _ in 0..pace.bytes / pace.chunk {
                socket.write_all(&vec![b'x'; pace.chunk]).await?;
                tokio::time::sleep(pace.pause).await;
            }
            std::io::Result::Ok(())
        });
        SlowServer { address }
    }

    /// Reads a request's body at this pace, then responds at once.
    pub async fn reading(pace: Pace) -> SlowServer {
        let (listener, address) = listen();
        tokio::spawn(async move {
            let (mut socket, _) = listener.accept().await?;
            read_head(&mut socket).await?;
            let mut chunk = vec![0; pace.chunk];
            for _ in 0..pace.bytes / pace.chunk {
                socket.read_exact(&mut chunk).await?;
                tokio::time::sleep(pace.pause).await;
            }
            socket.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await
        });
        SlowServer { address }
    }
}

fn listen() -> (TcpListener, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a small buffer");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Reads up to the end of the request's head.
async fn read_head(socket: &mut TcpStream) -> std::io::Result<()> {
    let mut last = [0; 4];
    while last != *b"\r\n\r\n" {
        last.rotate_left(1);
        last[3] = socket.read_u8().await?;
    }
    Ok(())
}
