use sycamore_audit::Record;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::arguments::RecordDestination;

/// Where records go, with the connection that is open.
#[derive(Debug)]
pub(super) struct Sink {
    destination: RecordDestination,
    stream: Option<TcpStream>,
    is_failing: bool,
}

impl Sink {
    pub(super) fn new(destination: RecordDestination) -> Sink {
        Sink { destination, stream: None, is_failing: false }
    }

    /// Writes records, one line each.
    ///
    /// What can't be written is lost to the collector; the gap shows when the
    /// stream is verified, and a log line tells when it begins and ends.
    pub(super) async fn write(&mut self, records: &[Record]) {
        let mut lines = Vec::new();
        for record in records {
            if serde_json::to_writer(&mut lines, record).is_ok() {
                lines.push(b'\n');
            }
        }
        let result = match self.destination.clone() {
            RecordDestination::Nowhere => Ok(()),
            RecordDestination::File(path) => append(&path, &lines).await,
            RecordDestination::Tcp(address) => self.send(address, &lines).await,
        };
        self.log_transition(result);
    }

    async fn send(&mut self, address: std::net::SocketAddr, lines: &[u8]) -> std::io::Result<()> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect(address).await?,
        };
        stream.write_all(lines).await?;
        self.stream = Some(stream);
        Ok(())
    }

    fn log_transition(&mut self, result: std::io::Result<()>) {
        match result {
            Err(error) if !self.is_failing => {
                self.is_failing = true;
                log::error!("decision records can't be written: {error}");
            }
            Ok(()) if self.is_failing => {
                self.is_failing = false;
                log::info!("decision records are written again");
            }
            _ => {}
        }
    }
}

async fn append(path: &std::path::Path, lines: &[u8]) -> std::io::Result<()> {
    let path = path.to_path_buf();
    let lines = lines.to_vec();
    let write = move || {
        use std::io::Write;
        let mut file = std::fs::OpenOptions::new().append(true).create(true).open(path)?;
        file.write_all(&lines)
    };
    tokio::task::spawn_blocking(write).await.map_err(std::io::Error::other)?
}
