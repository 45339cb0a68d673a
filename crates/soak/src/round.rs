//! One round: processes, faults, callers, and the verdict.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use serde_json::Value;
use sycamore_standin::fenced::{self, Mode, Observation, ProcessSettings, Queue, Store, Team};
use tokio::sync::Mutex;

use crate::caller::{Caller, HOST, PREFIX, key};
use crate::checker::{Breach, check};
use crate::history::{Event, History};
use crate::process::Process;
use crate::proxy::Proxy;
use crate::scenario::{Fault, Kind, Link, MAX_ATTEMPTS, Scenario, TEAM_LIMIT_CPU, TEAMS, WORKERS};
use crate::workers::{SERVICE, WorkerHost};

/// Longest wait for all jobs to end once all faults are over. Leases last 6 s and three
/// takeovers may follow each other; the rest is for busy machines.
const SETTLE: Duration = Duration::from_secs(60);

/// Time that the processes have to listen before the first job.
const START: Duration = Duration::from_millis(1_000);

/// Time from SIGTERM to SIGKILL that processes are told, in seconds.
const GRACE_S: u32 = 4;

/// Longest wait for a process that was told to stop.
const STOP_PATIENCE: Duration = Duration::from_secs(10);

/// Time between two looks at a process that was told to stop.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Answer time of a slow store.
const SLOW_STORE: Duration = Duration::from_millis(240);

/// What came of a round.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Seed of the round.
    pub seed: u64,
    /// Broken promises.
    pub breaches: Vec<Breach>,
    /// Jobs that were accepted.
    pub jobs: u64,
    /// Starts that workers saw.
    pub starts: u64,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
}

struct Site {
    store: Store,
    store_links: Vec<Proxy>,
    worker_hosts: Vec<Mutex<WorkerHost>>,
    processes: Vec<Mutex<Process>>,
}

/// Plays a round with a program. Settings, and logs if they are kept, go to a directory.
///
/// # Errors
///
/// Fails when processes or servers can't be started.
pub async fn run_round(
    scenario: &Scenario,
    program: &Path,
    dir: &Path,
    keeps_logs: bool,
    environment: &[(String, String)],
) -> std::io::Result<Outcome> {
    let history = History::default();
    let store = Store::start().await?;
    store.configure(&config());
    let mut worker_hosts = Vec::new();
    for number in 0..WORKERS {
        worker_hosts.push(Mutex::new(WorkerHost::start(number, &store, history.clone()).await?));
    }
    // Free on every address: each process listens on it at its own.
    let peer_port = free_port("0.0.0.0")?;
    let (mut store_links, mut processes, mut callers) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..scenario.processes {
        let link = Proxy::start(store.server.address).await?;
        let address = host_address(number);
        let listens_on = format!("{address}:{}", free_port(&address)?);
        let listens_on: SocketAddr = listens_on.parse().map_err(std::io::Error::other)?;
        let others = (0..scenario.processes).filter(|other| *other != number);
        let place = ProcessSettings {
            host: format!("host-{number}"),
            address,
            peer_port,
            seeds: others.map(host_address).collect(),
            caller_address: listens_on,
            store_address: link.address,
            grace_s: GRACE_S,
        };
        let environment = environment.to_vec();
        let mut process = Process::prepare(program, dir, &place, keeps_logs, environment)?;
        process.start()?;
        store_links.push(link);
        processes.push(Mutex::new(process));
        callers.push(listens_on);
    }
    let site = Arc::new(Site { store, store_links, worker_hosts, processes });
    tokio::time::sleep(START).await;
    let caller = Caller::new(callers, history.clone());
    let jobs = scenario.jobs.iter().map(|job| tokio::spawn(caller.clone().follow(job.clone())));
    let jobs: Vec<_> = jobs.collect();
    let faults = scenario.faults.iter().map(|fault| site.inject(*fault));
    for injected in join_all(faults).await {
        injected?;
    }
    let stops: Vec<_> = jobs.iter().map(tokio::task::JoinHandle::abort_handle).collect();
    // What has not ended by then counts as lost.
    let _ = tokio::time::timeout(SETTLE, join_all(jobs)).await;
    stops.iter().for_each(tokio::task::AbortHandle::abort);
    for (number, process) in site.processes.iter().enumerate() {
        let mut process = process.lock().await;
        // Whoever was killed or told to stop runs again by now.
        if process.has_ended()? {
            history.note(Event::Exited(number));
        }
        process.kill().await?;
    }
    if keeps_logs {
        let lines = history.entries().into_iter().map(|entry| format!("{entry:?}\n"));
        std::fs::write(dir.join("history.log"), lines.collect::<String>())?;
        std::fs::write(dir.join("scenario.log"), format!("{scenario:#?}\n"))?;
    }
    Ok(outcome(scenario, &history))
}

fn outcome(scenario: &Scenario, history: &History) -> Outcome {
    let entries = history.entries();
    let is_accepted = |event: &Event| matches!(event, Event::Answered(_, Some(200..300)));
    let is_start = |event: &Event| matches!(event, Event::Worker(_, Observation::Started { .. }));
    let mut faults = BTreeMap::new();
    for fault in &scenario.faults {
        *faults.entry(fault.kind.name()).or_default() += 1;
    }
    Outcome {
        seed: scenario.seed,
        breaches: check(&scenario.jobs, &entries),
        jobs: entries.iter().filter(|entry| is_accepted(&entry.event)).count() as u64,
        starts: entries.iter().filter(|entry| is_start(&entry.event)).count() as u64,
        faults,
    }
}

impl Site {
    async fn inject(&self, fault: Fault) -> std::io::Result<()> {
        tokio::time::sleep(Duration::from_millis(fault.at_ms)).await;
        self.begin(fault.kind).await?;
        tokio::time::sleep(Duration::from_millis(fault.for_ms)).await;
        self.end(fault.kind).await
    }

    async fn begin(&self, kind: Kind) -> std::io::Result<()> {
        match kind {
            Kind::Kill(at) => self.processes[at].lock().await.kill().await?,
            Kind::Pause(at) => self.processes[at].lock().await.signal("STOP").await?,
            Kind::Terminate(at) => self.processes[at].lock().await.signal("TERM").await?,
            Kind::Reload(at) => self.processes[at].lock().await.signal("HUP").await?,
            Kind::StoreLink(at, link) => self.store_links[at].set(link),
            Kind::WorkerLink(at, link) => self.worker_hosts[at].lock().await.link.set(link),
            Kind::StoreAway => self.store.set_mode(Mode::Unavailable),
            Kind::StoreLosesAnswers => self.store.set_mode(Mode::LosesResponses),
            Kind::StoreSlow => self.store.set_mode(Mode::Slow(SLOW_STORE)),
            Kind::WorkerCrash(at) => self.worker_hosts[at].lock().await.crash(),
        }
        Ok(())
    }

    async fn end(&self, kind: Kind) -> std::io::Result<()> {
        match kind {
            Kind::Kill(at) => self.processes[at].lock().await.start()?,
            Kind::Pause(at) => self.processes[at].lock().await.signal("CONT").await?,
            Kind::Terminate(at) => self.restart(at).await?,
            Kind::Reload(_) => {}
            Kind::StoreLink(at, _) => self.store_links[at].set(Link::Open),
            Kind::WorkerLink(at, _) => self.worker_hosts[at].lock().await.link.set(Link::Open),
            Kind::StoreAway | Kind::StoreLosesAnswers | Kind::StoreSlow => {
                self.store.set_mode(Mode::Normal);
            }
            Kind::WorkerCrash(at) => {
                self.worker_hosts[at].lock().await.restart(&self.store).await?
            }
        }
        Ok(())
    }

    /// Starts a process that was told to stop again, once it has ended.
    async fn restart(&self, at: usize) -> std::io::Result<()> {
        let end = tokio::time::Instant::now() + STOP_PATIENCE;
        while tokio::time::Instant::now() < end {
            // The lock is free between two looks: a pause of the process may have to end.
            let mut process = self.processes[at].lock().await;
            if process.has_ended()? {
                return process.start();
            }
            drop(process);
            tokio::time::sleep(STOP_POLL).await;
        }
        let mut process = self.processes[at].lock().await;
        process.kill().await?;
        process.start()
    }
}

fn free_port(address: &str) -> std::io::Result<u16> {
    Ok(TcpListener::bind((address, 0))?.local_addr()?.port())
}

/// Hosts differ by their loopback address.
fn host_address(number: usize) -> String {
    format!("127.0.0.{}", 10 + number)
}

fn config() -> Value {
    let team = |(at, name): (usize, &&str)| Team {
        name: name.to_string(),
        key: key(at),
        limit_cpu_millis: if at == 0 { 0 } else { TEAM_LIMIT_CPU },
    };
    let teams: Vec<Team> = TEAMS.iter().enumerate().map(team).collect();
    let queue = Queue { host: HOST, prefix: PREFIX, service: SERVICE, max_attempts: MAX_ATTEMPTS };
    fenced::config(&queue, &teams)
}
