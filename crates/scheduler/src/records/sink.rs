//! Writes decision records to a file or to a collector.
//!
//! A record that can't be written is not retried: scheduling does not depend on it, and
//! verification of the stream finds the gap.

use sycamore_audit::Record;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::arguments::RecordDestination;

/// Writes records to their destination.
#[derive(Debug)]
pub(super) struct Sink {
    destination: RecordDestination,
    /// Connection to the collector, if one is open.
    stream: Option<TcpStream>,
    /// Whether the latest write failed.
    is_failing: bool,
}

impl Sink {
    pub(super) fn new(destination: RecordDestination) -> Sink {
        Sink { destination, stream: None, is_failing: false }
    }

    /// Writes records as JSON, one per line.
    ///
    /// Records that can't be written are lost. The start and the end of such a gap are logged.
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

    /// Logs the first failure, and the first success after it.
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

/// Appends lines to a file, on a thread where blocking is allowed.
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
