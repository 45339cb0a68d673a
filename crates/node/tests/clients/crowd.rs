//! Clients that send what their kind says, never close by themselves and never read an answer
//! before they have sent all.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::KEY;

/// Largest body that the platform's documentation allows, in bytes.
pub const MAX_BODY_BYTES: usize = 262_144;

/// Time after which a client stops sending to a process that doesn't read.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// How a client sends the body of a request.
#[derive(Clone, Copy, Debug)]
pub enum Body {
    /// With its length in the head, in parts of this many bytes.
    Sized { part: usize },
    /// In chunks of this many bytes.
    Chunked { chunk: usize },
}

/// Connections of clients that have sent all they are going to send, or were closed.
#[derive(Debug, Default)]
pub struct Crowd(Vec<TcpStream>);

impl Crowd {
    /// Submits as many bodies as there are clients, at the same time. Each stops one byte short of
    /// its end and stays open.
    pub async fn of_bodies(clients: usize, address: SocketAddr, body: Body, bytes: usize) -> Crowd {
        let client = |number| async move {
            let mut socket = connect(address).await?;
            // A client whose connection is closed stops sending.
            let _ = send_all_but_the_end(&mut socket, number, body, bytes).await;
            Some(socket)
        };
        Crowd(join_all((0..clients).map(client)).await.into_iter().flatten().collect())
    }

    /// Opens connections on which this text is sent and nothing else.
    pub async fn of_connections(clients: usize, address: SocketAddr, text: &str) -> Crowd {
        let client = |_| async {
            let mut socket = connect(address).await?;
            // The process may stop reading before the text has ended.
            let sent = socket.write_all(text.as_bytes());
            let _ = tokio::time::timeout(SEND_TIMEOUT, sent).await;
            Some(socket)
        };
        Crowd(join_all((0..clients).map(client)).await.into_iter().flatten().collect())
    }

    /// Reads until the process has closed all connections. Returns the status of each answer.
    pub async fn into_answers(self) -> Vec<u16> {
        let answer = |mut socket: TcpStream| async move {
            let mut received = Vec::new();
            // A reset after the answer is an end as well.
            let _ = socket.read_to_end(&mut received).await;
            status(&received)
        };
        join_all(self.0.into_iter().map(answer)).await.into_iter().flatten().collect()
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    TcpStream::connect(address).await.ok()
}

fn status(response: &[u8]) -> Option<u16> {
    let line = String::from_utf8_lossy(response.get(..12)?).into_owned();
    line.strip_prefix("HTTP/1.1 ")?.parse().ok()
}

/// Sends a job that is padded to a length, up to its last byte.
async fn send_all_but_the_end(
    socket: &mut TcpStream,
    number: usize,
    body: Body,
    bytes: usize,
) -> std::io::Result<()> {
    let text = padded_job(bytes);
    let sent = &text[..bytes - 1];
    socket.write_all(head(number, body, bytes).as_bytes()).await?;
    match body {
        Body::Sized { part } => {
            for part in sent.chunks(part) {
                socket.write_all(part).await?;
            }
        }
        Body::Chunked { chunk } => socket.write_all(&chunks(sent, chunk)).await?,
    }
    Ok(())
}

/// Returns the text of an ordinary job, padded with spaces to a length in bytes.
pub fn padded_job(bytes: usize) -> Vec<u8> {
    let mut text = crate::ordinary_job().into_bytes();
    text.resize(bytes, b' ');
    text
}

/// Returns the head of a submission. Each number stands for another job.
pub fn head(number: usize, body: Body, bytes: usize) -> String {
    let length = match body {
        Body::Sized { .. } => format!("Content-Length: {bytes}"),
        Body::Chunked { .. } => "Transfer-Encoding: chunked".to_string(),
    };
    format!(
        "POST /checks/{number:016x} HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Api-Key: {KEY}\r\n{length}\r\n\r\n"
    )
}

/// Returns a body in chunks of a size, without the last one that ends it.
pub fn chunks(body: &[u8], size: usize) -> Vec<u8> {
    let mut encoded = Vec::new();
    for chunk in body.chunks(size) {
        encoded.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        encoded.extend_from_slice(chunk);
        encoded.extend_from_slice(b"\r\n");
    }
    encoded
}
