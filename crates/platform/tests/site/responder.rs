//! A server that gives the same response to each request.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

pub struct Responder {
    pub address: SocketAddr,
    /// First lines of the requests.
    pub requests: UnboundedReceiver<String>,
}

impl Responder {
    pub async fn start(body: impl Into<Vec<u8>>) -> Responder {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (sender, requests) = unbounded_channel();
        let body = body.into();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(respond(socket, body.clone(), sender.clone()));
            }
        });
        Responder { address, requests }
    }
}

async fn respond(
    mut socket: TcpStream,
    body: Vec<u8>,
    requests: UnboundedSender<String>,
) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(socket.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head);
    let _ = requests.send(head.lines().next().unwrap_or_default().to_string());
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    socket.write_all(head.as_bytes()).await?;
    socket.write_all(&body).await
}
