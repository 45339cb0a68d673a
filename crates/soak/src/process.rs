//! One `sycamore-node` process and the signals it gets.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use tokio::process::{Child, Command};

/// A process that can be stopped and started again at the same addresses.
#[derive(Debug)]
pub(crate) struct Process {
    program: PathBuf,
    settings: PathBuf,
    log: Option<PathBuf>,
    environment: Vec<(String, String)>,
    child: Option<Child>,
}

/// What a process needs to know.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    /// Place among the processes.
    pub number: usize,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Port for other processes, the same on each host.
    pub peer_port: u16,
    /// The store, or what stands before it.
    pub store: SocketAddr,
}

impl Place {
    /// Hosts differ by their loopback address.
    pub fn host_address(number: usize) -> String {
        format!("127.0.0.{}", 10 + number)
    }

    fn settings(&self, processes: usize) -> String {
        let seeds = (0..processes).filter(|other| *other != self.number);
        let seeds: Vec<String> =
            seeds.map(|other| format!("\"{}:1\"", Place::host_address(other))).collect();
        format!(
            "node = \"host-{}\"\nip = \"{}\"\nzone = \"a\"\ninternal-ports = [{}, 1]\n\
             seeds = [{}]\n[listen]\nfront = \"{}\"\n[bounds]\nhold-max-ms = 6000\n\
             grace-s = 4\n[platform]\naddr = \"{}\"\n",
            self.number,
            Place::host_address(self.number),
            self.peer_port,
            seeds.join(", "),
            self.callers,
            self.store
        )
    }
}

impl Process {
    /// Writes the settings of a process. It does not run yet.
    pub fn prepare(
        program: &Path,
        dir: &Path,
        place: Place,
        processes: usize,
        keeps_log: bool,
        environment: Vec<(String, String)>,
    ) -> std::io::Result<Process> {
        let settings = dir.join(format!("host-{}.toml", place.number));
        std::fs::write(&settings, place.settings(processes))?;
        let log = keeps_log.then(|| dir.join(format!("host-{}.log", place.number)));
        Ok(Process { program: program.to_path_buf(), settings, log, environment, child: None })
    }

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
            .envs(self.environment.iter().cloned())
            .stdout(output)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub async fn kill(&mut self) -> std::io::Result<()> {
        match self.child.take() {
            Some(mut child) => child.kill().await,
            None => Ok(()),
        }
    }

    /// Tells whether the process has ended.
    pub fn has_ended(&mut self) -> std::io::Result<bool> {
        if let Some(child) = &mut self.child
            && child.try_wait()?.is_none()
        {
            return Ok(false);
        }
        self.child = None;
        Ok(true)
    }

    /// Sends a signal if the process runs.
    pub async fn signal(&self, name: &str) -> std::io::Result<()> {
        let Some(id) = self.child.as_ref().and_then(Child::id) else { return Ok(()) };
        Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status().await?;
        Ok(())
    }
}
