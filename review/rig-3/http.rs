//! HTTP/1.1 over TCP for the stand-ins: a server with a thread a connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub query: String,
    pub expected_instance: Option<String>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> String {
        let found = self.query.split('&').filter_map(|part| part.split_once('='));
        let value = found.filter(|(key, _)| *key == name).map(|(_, value)| value).next();
        let mut out = Vec::new();
        let bytes = value.unwrap_or_default().as_bytes();
        let mut at = 0;
        while at < bytes.len() {
            let digits = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
            match digits.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
                Some(byte) if bytes[at] == b'%' => {
                    out.push(byte);
                    at += 3;
                }
                _ => {
                    out.push(bytes[at]);
                    at += 1;
                }
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

/// Status and body. `None` closes the connection without a response.
pub type Reply = Option<(u16, String)>;

/// Serves requests on a listener until the process ends.
pub fn serve(listener: TcpListener, handle: Arc<dyn Fn(Request) -> Reply + Send + Sync>) {
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handle = handle.clone();
            let builder = std::thread::Builder::new().stack_size(256 * 1024);
            let _ = builder.spawn(move || serve_connection(socket, &*handle));
        }
    });
}

fn serve_connection(socket: TcpStream, handle: &(dyn Fn(Request) -> Reply + Send + Sync)) {
    let _ = socket.set_nodelay(true);
    let Ok(mut writer) = socket.try_clone() else { return };
    let mut reader = BufReader::new(socket);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handle(request) else { return };
        let head = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body.as_bytes());
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let target = line.split_whitespace().nth(1)?.to_string();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut request = Request {
        path: path.to_string(),
        query: query.to_string(),
        expected_instance: None,
        body: Vec::new(),
    };
    let mut length = 0;
    let mut is_chunked = false;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "transfer-encoding" => is_chunked = value.contains("chunked"),
            "sycamorechute-expect-instance" => {
                request.expected_instance = Some(value.trim().to_string());
            }
            _ => {}
        }
    }
    if is_chunked {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut part = vec![0; size + 2];
            reader.read_exact(&mut part).ok()?;
            if size == 0 {
                break;
            }
            request.body.extend_from_slice(&part[..size]);
        }
    } else {
        request.body = vec![0; length];
        reader.read_exact(&mut request.body).ok()?;
    }
    Some(request)
}

/// Makes one call on a connection of its own. `None`: no complete answer within the time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    time: Duration,
) -> Option<(u16, String)> {
    let mut socket = TcpStream::connect_timeout(&address, time).ok()?;
    let _ = socket.set_nodelay(true);
    socket.set_read_timeout(Some(time)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\n{headers}content-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    socket.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(socket);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        if line.trim_end().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
    }
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).ok()?;
    Some((status, String::from_utf8_lossy(&bytes).into_owned()))
}
