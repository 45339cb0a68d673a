//! Child processes of the fault test. A child is killed when its handle is
//! dropped, so that a failed test leaves no process behind.

use std::path::{Path, PathBuf};
use std::process::Stdio;

use sycamore_standin::ports::Port;
use tokio::process::{Child, Command};

/// A scheduler or entry process that the test has started.
#[derive(Debug)]
pub(super) struct Process {
    child: Child,
    _ports: Vec<Port>,
}

impl Process {
    /// Starts a program from the directory of the benchmark's own executable. It listens on
    /// `ports`, which stay reserved for it.
    ///
    /// # Errors
    ///
    /// Returns an error that names the program's path and how to build it.
    pub(super) fn start(
        program: &str,
        args: &[String],
        ports: Vec<Port>,
    ) -> std::io::Result<Process> {
        let path = sibling_program(program)?;
        let child = Command::new(&path)
            .args(args)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| start_error(&path, &error))?;
        Ok(Process { child, _ports: ports })
    }

    /// Kills the process and waits for its end.
    pub(super) async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Sends a signal, named without its `SIG` prefix.
    pub(super) async fn signal(&self, name: &str) {
        if let Some(id) = self.child.id() {
            let id = id.to_string();
            let _ = Command::new("kill").args([format!("-{name}"), id]).status().await;
        }
    }

    /// Sends `SIGTERM` and waits until the process ends.
    pub(super) async fn stop(&mut self) {
        self.signal("TERM").await;
        let _ = self.child.wait().await;
    }
}

/// Returns the path of a program in the directory of the benchmark's executable.
fn sibling_program(program: &str) -> std::io::Result<PathBuf> {
    let mut path = std::env::current_exe()?;
    path.set_file_name(program);
    Ok(path)
}

/// Adds the path of the program and the command that builds it to an error.
fn start_error(path: &Path, error: &std::io::Error) -> std::io::Error {
    let path = path.display();
    let message = format!(
        "{path}: {error}; build the programs with `cargo build --release --locked --workspace --bins`"
    );
    std::io::Error::new(error.kind(), message)
}
