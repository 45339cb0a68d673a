//! HTTP/1.1 with blocking sockets: a server with a thread for each connection, and one-shot calls.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// A request with its path, query, headers in lower case, and body.
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// A server on one address. [`Server::kill`] ends it as the end of its process would.
pub struct Server {
    pub address: SocketAddr,
    down: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<JoinHandle<()>>,
}

impl Server {
    /// Serves requests by `answer`, which returns a status and a body, or `None` to close the
    /// connection without an answer.
    pub fn start(
        address: SocketAddr,
        answer: impl Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static,
    ) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let down = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let answer = Arc::new(answer);
        let (is_down, open) = (down.clone(), streams.clone());
        let accepting = std::thread::spawn(move || {
            while !is_down.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (answer, is_down) = (answer.clone(), is_down.clone());
                std::thread::spawn(move || {
                    let _ = serve(stream, &*answer, &is_down);
                });
            }
        });
        Ok(Server { address, down, streams, accepting: Some(accepting) })
    }

    /// Closes the listener and all connections.
    pub fn kill(&mut self) {
        self.down.store(true, Ordering::Relaxed);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

fn serve(
    stream: TcpStream,
    answer: &(dyn Fn(Request) -> Option<(u16, String)> + Send + Sync),
    is_down: &AtomicBool,
) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let target = line.split(' ').nth(1).unwrap_or("").to_string();
        let (headers, length) = read_headers(&mut reader)?;
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body)?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            path: path.to_string(),
            query: pairs.map(|(key, value)| (key.to_string(), decoded(value))).collect(),
            headers,
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let answered = answer(request);
        if is_down.load(Ordering::Relaxed) {
            return writer.shutdown(std::net::Shutdown::Both);
        }
        let Some((status, body)) = answered else {
            return writer.shutdown(std::net::Shutdown::Both);
        };
        let length = body.len();
        let text = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        writer.write_all(text.as_bytes())?;
    }
}

type Headers = (Vec<(String, String)>, Option<usize>);

fn read_headers(reader: &mut BufReader<TcpStream>) -> std::io::Result<Headers> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::Error::other("broken off"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            let find = |(key, value): &(String, String)| {
                (key == "content-length").then(|| value.parse().ok())?
            };
            let length = headers.iter().find_map(find);
            return Ok((headers, length));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            byte => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Makes one call on a connection of its own. Returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(std::io::Error::other("closed without an answer"));
    }
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| std::io::Error::other("no status"))?;
    let (_, length) = read_headers(&mut reader)?;
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
