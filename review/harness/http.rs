//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and one call of a
//! client on a connection of its own.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the connection was accepted.
    pub opened: Instant,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.into_iter().find(|(key, _)| *key == name)?.1;
        let (bytes, mut out, mut at) = (value.as_bytes(), Vec::new(), 0);
        while at < bytes.len() {
            let hex = (bytes[at] == b'%').then(|| value.get(at + 1..at + 3)).flatten();
            match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
                Some(byte) => {
                    out.push(byte);
                    at += 3;
                }
                None => {
                    out.push(bytes[at]);
                    at += 1;
                }
            }
        }
        String::from_utf8(out).ok()
    }
}

/// Status and body. `None` closes the connection without a response.
pub type Response = Option<(u16, String)>;

/// Serves requests until the program ends.
pub fn serve<H>(address: SocketAddr, handler: H) -> std::io::Result<()>
where
    H: Fn(Request) -> Response + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(socket, &*handler);
            });
        }
    });
    Ok(())
}

fn serve_connection(socket: TcpStream, handler: &dyn Fn(Request) -> Response) -> Option<()> {
    let opened = Instant::now();
    socket.set_nodelay(true).ok()?;
    let mut writer = socket.try_clone().ok()?;
    let mut reader = BufReader::new(socket);
    loop {
        let (first, headers) = read_head(&mut reader)?;
        let mut words = first.split_whitespace();
        let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
        let length = content_length(&headers).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let (status, text) = handler(Request { method, target, headers, body, opened })?;
        let reply = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
            text.len()
        );
        writer.write_all(reply.as_bytes()).ok()?;
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        match line.trim_end().split_once(':') {
            Some((key, value)) => headers.push((key.to_string(), value.trim().to_string())),
            None => return Some((first.trim_end().to_string(), headers)),
        }
    }
}

fn content_length(headers: &[(String, String)]) -> Option<usize> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    found?.1.parse().ok()
}

/// Makes one call on a new connection. Returns `None` if no complete response came in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let end = Instant::now() + timeout;
    let mut socket = TcpStream::connect_timeout(&address, timeout).ok()?;
    socket.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (key, value) in headers {
        head.push_str(&format!("{key}: {value}\r\n"));
    }
    head.push_str(&format!("content-type: application/json\r\ncontent-length: {}\r\n\r\n", body.len()));
    socket.write_all(head.as_bytes()).ok()?;
    socket.write_all(body.as_bytes()).ok()?;
    socket.set_read_timeout(Some(end.checked_duration_since(Instant::now())?)).ok()?;
    let mut reader = BufReader::new(socket);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    let mut body = vec![0; content_length(&headers).unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
