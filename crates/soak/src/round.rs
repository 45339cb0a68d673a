//! Runs one round: starts the processes, submits the jobs, injects the faults and checks the
//! invariants.
//!
//! Every process has its own loopback address, which stands for a host, and its own proxy to
//! the store. Every worker, and every process, has a proxy in front of it that all processes share.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::path::Path;
use std::time::Duration;

use futures::future::{join_all, try_join_all};
use sycamore_standin::fenced::{Mode, Observation, ProcessSettings, Store};
use sycamore_standin::link::{LinkState, Proxy};
use sycamore_standin::ports::Port;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

use crate::caller::Caller;
use crate::checker::{STABILITY_MS, Violation, check};
use crate::config::ConfigWriter;
use crate::history::{Event, History};
use crate::process::Process;
use crate::scenario::{Fault, FaultKind, Group, Scenario, StoreLink, WORKER_COUNT};
use crate::workers::WorkerHost;

/// CPU capacity that the settings state for a host, in cores: enough to own at once.
const HOST_CORES: f64 = 1.0;

/// Time for which no fault has ended before the last version is written.
const STABILITY_TIME: Duration = Duration::from_millis(STABILITY_MS);

/// Time in which each process is asked for the last version at least once after that.
const PROBE_TIME: Duration = Duration::from_millis(1_500);

/// Longest wait for all jobs to end once all faults are over. It covers three takeovers in a
/// row, with leases of 6 s, and leaves the rest for a busy host.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(60);

/// Time that the processes have to start listening before the first job is submitted.
const STARTUP_DELAY: Duration = Duration::from_millis(1_000);

/// Time from SIGTERM to SIGKILL that the settings of a process state, in seconds.
const STOP_GRACE_S: u32 = 4;

/// Longest wait for the exit of a process that was sent SIGTERM; it is killed afterwards.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two checks whether a process that was sent SIGTERM has exited.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a worker that a task has crashed is down.
const WORKER_RESTART_DELAY: Duration = Duration::from_millis(1_500);

/// Interval of the checks for such workers.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay of each call to a slow store.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(240);

/// Result of a round.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Seed of the round.
    pub seed: u64,
    /// Violations in the order in which they were seen.
    pub violations: Vec<Violation>,
    /// Number of accepted jobs.
    pub jobs: u64,
    /// Number of runs that workers started.
    pub starts: u64,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
}

/// The processes of a round and everything that faults act on.
struct Cluster {
    store: Store,
    store_links: Vec<Proxy>,
    /// Links to the addresses on which processes are reached by the others.
    peer_links: Vec<Proxy>,
    worker_hosts: Vec<Mutex<WorkerHost>>,
    processes: Vec<Mutex<Process>>,
    history: History,
}

/// Runs a round with the `sycamore-node` at `program`, under additional environment variables.
/// Settings are written to `dir`, and so are logs if they are kept.
///
/// # Errors
///
/// Returns the I/O error if a process or a server can't be started, a process can't be
/// signalled, or a file can't be written.
pub async fn run_round(
    scenario: &Scenario,
    program: &Path,
    dir: &Path,
    keep_logs: bool,
    environment: &[(String, String)],
) -> std::io::Result<Outcome> {
    let history = History::default();
    let store = Store::start().await?;
    let config_writer = ConfigWriter::start(&store, history.clone(), scenario.slowest_link());
    let mut worker_hosts = Vec::new();
    for number in 0..WORKER_COUNT {
        worker_hosts.push(Mutex::new(WorkerHost::start(number, &store, history.clone()).await?));
    }
    // All processes use these ports, each on its own address.
    let (peer_port, caller_port) = (Port::reserve()?, Port::reserve()?);
    // Behind the proxies that listen on the first one.
    let inner_peer_port = Port::reserve()?;
    let (mut store_links, mut peer_links, mut processes, mut caller_addresses) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for number in 0..scenario.processes {
        let link = Proxy::start(store.server.address).await?;
        let usual_link = scenario.store_links[number];
        link.set_state(usual_link.state());
        let ip = host_address(number);
        let listen_address = caller_port.on(ip);
        let inner_peer_address = inner_peer_port.on(ip);
        peer_links.push(Proxy::start_on(peer_port.on(ip), inner_peer_address).await?);
        let others = (0..scenario.processes).filter(|other| *other != number);
        let process_settings = ProcessSettings {
            host: format!("host-{number}"),
            address: ip.to_string(),
            peer_port: peer_port.number(),
            seeds: others.map(|other| host_address(other).to_string()).collect(),
            caller_address: listen_address,
            store_address: link.address,
            advice_address: None,
            grace_s: STOP_GRACE_S,
            cores: HOST_CORES,
            link_mbps: usual_link.mbps(),
            evacuation_ms: None,
            memory_mb: None,
            max_fds: None,
        };
        let addresses = format!("--source-address {ip} --peer-listen {inner_peer_address}");
        let arguments = addresses.split(' ').map(str::to_string).collect();
        let environment = environment.to_vec();
        let mut process =
            Process::prepare(program, dir, &process_settings, arguments, keep_logs, environment)?;
        process.start()?;
        history.record(Event::Started(number));
        store_links.push(link);
        processes.push(Mutex::new(process));
        caller_addresses.push(listen_address);
    }
    let cluster = Cluster { store, store_links, peer_links, worker_hosts, processes, history };
    let history = &cluster.history;
    tokio::time::sleep(STARTUP_DELAY).await;
    for process in &cluster.processes {
        process.lock().await.check_started()?;
    }
    let probes = caller_addresses.iter().enumerate();
    let probes: Vec<_> = probes
        .map(|(number, address)| tokio::spawn(config_writer.clone().probe(number, *address)))
        .collect();
    let caller = Caller::new(caller_addresses, history.clone());
    let job_tasks =
        scenario.jobs.iter().map(|job| tokio::spawn(caller.clone().run_job(job.clone())));
    let job_tasks: Vec<_> = job_tasks.collect();
    let abort_handles: Vec<_> =
        job_tasks.iter().map(tokio::task::JoinHandle::abort_handle).collect();
    tokio::select! {
        played = cluster.play(scenario, &config_writer, job_tasks) => played?,
        error = cluster.restart_crashed_workers() => return Err(error),
    }
    abort_handles.iter().for_each(tokio::task::AbortHandle::abort);
    probes.iter().for_each(tokio::task::JoinHandle::abort);
    for (number, process) in cluster.processes.iter().enumerate() {
        let mut process = process.lock().await;
        // Every process that a fault killed or stopped has been restarted by now.
        if process.has_exited()? {
            history.record(Event::Exited(number));
        }
        process.kill().await?;
    }
    if keep_logs {
        let lines = history.entries().into_iter().map(|entry| format!("{entry:?}\n"));
        std::fs::write(dir.join("history.log"), lines.collect::<String>())?;
        std::fs::write(dir.join("scenario.log"), format!("{scenario:#?}\n"))?;
    }
    Ok(summarize(scenario, history))
}

fn summarize(scenario: &Scenario, history: &History) -> Outcome {
    let entries = history.entries();
    let is_accepted = |event: &Event| matches!(event, Event::Answered(_, Some(200..300)));
    let is_start = |event: &Event| matches!(event, Event::Worker(_, Observation::Started { .. }));
    let mut faults = BTreeMap::new();
    for fault in &scenario.faults {
        *faults.entry(fault.kind.name()).or_default() += 1;
    }
    Outcome {
        seed: scenario.seed,
        violations: check(&scenario.jobs, &entries),
        jobs: entries.iter().filter(|entry| is_accepted(&entry.event)).count() as u64,
        starts: entries.iter().filter(|entry| is_start(&entry.event)).count() as u64,
        faults,
    }
}

impl Cluster {
    /// Injects the faults and changes of the round, and waits until all jobs have ended.
    async fn play(
        &self,
        scenario: &Scenario,
        config_writer: &ConfigWriter,
        job_tasks: Vec<JoinHandle<()>>,
    ) -> std::io::Result<()> {
        let faults =
            join_all(scenario.faults.iter().map(|fault| self.inject(fault, &scenario.store_links)));
        let (last_change, changes) = scenario
            .config_changes
            .split_last()
            .ok_or_else(|| std::io::Error::other("no change"))?;
        let changes = config_writer.write_all(&self.store, changes);
        let (injected, ()) = tokio::join!(faults, changes);
        injected.into_iter().collect::<std::io::Result<()>>()?;
        // Without faults, the last version has to reach every process in time.
        tokio::time::sleep(STABILITY_TIME).await;
        let apply_time = config_writer.write(&self.store, last_change.extra_queues);
        tokio::time::sleep(apply_time + PROBE_TIME).await;
        // The checker reports accepted jobs that have not ended by then.
        let _ = tokio::time::timeout(COMPLETION_TIMEOUT, join_all(job_tasks)).await;
        Ok(())
    }

    /// Restarts the workers that a task has crashed. Returns only if one can't be started.
    async fn restart_crashed_workers(&self) -> std::io::Error {
        let restarts = self.worker_hosts.iter().map(|host| async {
            loop {
                if host.lock().await.is_crashed_by_task() {
                    tokio::time::sleep(WORKER_RESTART_DELAY).await;
                    let mut host = host.lock().await;
                    // A fault may have taken the worker over meanwhile.
                    if host.is_crashed_by_task()
                        && let Err(error) = host.restart(&self.store).await
                    {
                        return Err(error);
                    }
                }
                tokio::time::sleep(CRASH_CHECK_INTERVAL).await;
            }
        });
        let restarts: Result<Vec<()>, _> = try_join_all(restarts).await;
        restarts.err().unwrap_or_else(|| std::io::Error::other("no worker"))
    }

    /// Waits for the start of a fault, starts it, and ends it after its duration.
    async fn inject(&self, fault: &Fault, store_links: &[StoreLink]) -> std::io::Result<()> {
        tokio::time::sleep(Duration::from_millis(fault.at_ms)).await;
        self.history.record(Event::FaultBegan);
        self.start_fault(&fault.kind).await?;
        tokio::time::sleep(Duration::from_millis(fault.for_ms)).await;
        self.end_fault(&fault.kind, store_links).await?;
        self.history.record(Event::FaultEnded);
        Ok(())
    }

    fn start_process(&self, index: usize, process: &mut Process) -> std::io::Result<()> {
        process.start()?;
        self.history.record(Event::Started(index));
        Ok(())
    }

    async fn start_fault(&self, kind: &FaultKind) -> std::io::Result<()> {
        match *kind {
            FaultKind::Kill(index) => self.processes[index].lock().await.kill().await?,
            FaultKind::Pause(index) => self.processes[index].lock().await.signal("STOP").await?,
            FaultKind::Terminate(index) => {
                self.processes[index].lock().await.signal("TERM").await?
            }
            FaultKind::Reload(index) => self.processes[index].lock().await.signal("HUP").await?,
            FaultKind::StoreLink(index, link) => self.store_links[index].set_state(link),
            FaultKind::WorkerLink(index, link) => {
                self.worker_hosts[index].lock().await.link.set_state(link)
            }
            FaultKind::StoreAway => self.store.set_mode(Mode::Unavailable),
            FaultKind::StoreLosesAnswers => self.store.set_mode(Mode::LosesResponses),
            FaultKind::StoreSlow => self.store.set_mode(Mode::Slow(SLOW_STORE_DELAY)),
            FaultKind::WorkerCrash(index) => self.worker_hosts[index].lock().await.crash(),
            FaultKind::Partition(ref group) => self.separate(group, true).await,
        }
        Ok(())
    }

    async fn end_fault(&self, kind: &FaultKind, store_links: &[StoreLink]) -> std::io::Result<()> {
        match *kind {
            FaultKind::Kill(index) => {
                self.start_process(index, &mut *self.processes[index].lock().await)?;
            }
            FaultKind::Pause(index) => self.processes[index].lock().await.signal("CONT").await?,
            FaultKind::Terminate(index) => self.restart(index).await?,
            FaultKind::Reload(_) => {}
            FaultKind::StoreLink(index, _) => {
                self.store_links[index].set_state(store_links[index].state());
            }
            FaultKind::WorkerLink(index, _) => {
                self.worker_hosts[index].lock().await.link.set_state(LinkState::Open)
            }
            FaultKind::StoreAway | FaultKind::StoreLosesAnswers | FaultKind::StoreSlow => {
                self.store.set_mode(Mode::Normal);
            }
            FaultKind::WorkerCrash(index) => {
                self.worker_hosts[index].lock().await.restart(&self.store).await?
            }
            FaultKind::Partition(ref group) => self.separate(group, false).await,
        }
        Ok(())
    }

    /// Silences all links between a group and the others, or opens them again.
    async fn separate(&self, group: &Group, is_separate: bool) {
        let state = if is_separate { LinkState::Silent } else { LinkState::Open };
        for process in 0..self.processes.len() {
            let source = host_address(process);
            let is_inside = group.processes.contains(&process);
            if is_inside && !group.has_store {
                self.store_links[process].set_state_from(source, state);
            }
            for (peer, link) in self.peer_links.iter().enumerate() {
                if group.processes.contains(&peer) != is_inside {
                    link.set_state_from(source, state);
                }
            }
            for (worker, host) in self.worker_hosts.iter().enumerate() {
                if group.workers.contains(&worker) != is_inside {
                    host.lock().await.link.set_state_from(source, state);
                }
            }
        }
        if !group.has_store {
            for worker in &group.workers {
                self.worker_hosts[*worker].lock().await.set_cut_off(is_separate, &self.store);
            }
        }
    }

    /// Restarts a process that was sent SIGTERM once it has exited, or kills it first if it
    /// doesn't exit in time.
    async fn restart(&self, index: usize) -> std::io::Result<()> {
        let deadline = tokio::time::Instant::now() + STOP_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            // The lock is released between two checks, so that an overlapping pause of the process
            // can end; until then the process can't handle SIGTERM.
            let mut process = self.processes[index].lock().await;
            if process.has_exited()? {
                return self.start_process(index, &mut process);
            }
            drop(process);
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
        let mut process = self.processes[index].lock().await;
        process.kill().await?;
        self.start_process(index, &mut process)
    }
}

/// Returns the loopback address that stands for a host.
fn host_address(number: usize) -> IpAddr {
    // At most 200 processes.
    IpAddr::from(Ipv4Addr::new(127, 0, 0, 10 + number as u8))
}
