//! Starts, stops and signals one `sycamore-node` process.
//!
//! The process keeps its settings and addresses when it is restarted, as it would on a real
//! host.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use sycamore_standin::fenced::{self, ProcessSettings};
use tokio::process::{Child, Command};

/// A process that can be stopped and restarted with the same settings.
#[derive(Debug)]
pub(crate) struct Process {
    program: PathBuf,
    settings: PathBuf,
    arguments: Vec<String>,
    log: Option<PathBuf>,
    environment: Vec<(String, String)>,
    child: Option<Child>,
}

impl Process {
    /// Writes the settings file of a process without starting it. `arguments` follow those that
    /// name the file.
    pub fn prepare(
        program: &Path,
        dir: &Path,
        process_settings: &ProcessSettings,
        arguments: Vec<String>,
        keep_log: bool,
        environment: Vec<(String, String)>,
    ) -> std::io::Result<Process> {
        let file = dir.join(&process_settings.host);
        let settings = file.with_extension("toml");
        std::fs::write(&settings, fenced::settings(process_settings))?;
        let log = keep_log.then(|| file.with_extension("log"));
        let program = program.to_path_buf();
        Ok(Process { program, settings, arguments, log, environment, child: None })
    }

    /// Starts the process unless it runs. Its standard output is appended to the log, if one
    /// is kept.
    pub fn start(&mut self) -> std::io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let output = match &self.log {
            Some(path) => File::options().create(true).append(true).open(path)?.into(),
            None => Stdio::null(),
        };
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .args(&self.arguments)
            .envs(self.environment.iter().cloned())
            .stdout(output)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Checks that the process has not exited since it was started.
    ///
    /// # Errors
    ///
    /// Returns the exit status of a process that has exited; its message is on standard
    /// error.
    pub fn check_started(&mut self) -> std::io::Result<()> {
        let Some(child) = &mut self.child else { return Ok(()) };
        match child.try_wait()? {
            None => Ok(()),
            Some(status) => Err(std::io::Error::other(format!(
                "{} exited at its start: {status}",
                self.program.display()
            ))),
        }
    }

    /// Kills the process if it runs, and waits until it has exited.
    pub async fn kill(&mut self) -> std::io::Result<()> {
        match self.child.take() {
            Some(mut child) => child.kill().await,
            None => Ok(()),
        }
    }

    /// Returns whether the process has exited or was never started.
    pub fn has_exited(&mut self) -> std::io::Result<bool> {
        if let Some(child) = &mut self.child
            && child.try_wait()?.is_none()
        {
            return Ok(false);
        }
        self.child = None;
        Ok(true)
    }

    /// Sends the signal of this name, such as `TERM`, if the process runs.
    pub async fn signal(&self, name: &str) -> std::io::Result<()> {
        let Some(id) = self.child.as_ref().and_then(Child::id) else { return Ok(()) };
        Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status().await?;
        Ok(())
    }
}
