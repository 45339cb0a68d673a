use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;

use tokio::process::{Child, Command};

/// A process of the product that this benchmark has started.
#[derive(Debug)]
pub(super) struct Process {
    child: Child,
}

impl Process {
    /// Starts a program that stands beside the benchmark's own.
    pub(super) fn start(program: &str, args: &[String]) -> std::io::Result<Process> {
        let path = sibling_program(program)?;
        let child = Command::new(path)
            .args(args)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()?;
        Ok(Process { child })
    }

    /// Ends the process at once.
    pub(super) async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Sends a signal by name.
    pub(super) async fn signal(&self, name: &str) {
        if let Some(id) = self.child.id() {
            let id = id.to_string();
            let _ = Command::new("kill").args([format!("-{name}"), id]).status().await;
        }
    }

    /// Asks the process to stop and waits for its end.
    pub(super) async fn stop(&mut self) {
        self.signal("TERM").await;
        let _ = self.child.wait().await;
    }
}

fn sibling_program(program: &str) -> std::io::Result<PathBuf> {
    let mut path = std::env::current_exe()?;
    path.set_file_name(program);
    Ok(path)
}

/// Returns a port of loopback that is free now.
pub(super) fn free_address() -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}
