//! Parses the settings file that the platform gives to each process.
//!
//! The names and units of the file are converted here into those of the scheduler. A setting that
//! is missing or malformed is an error that names it; unknown settings are ignored.

use std::net::SocketAddr;

use displaydoc::Display;
use serde::Deserialize;
use sycamore_types::Name;

/// Settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host that the process runs on.
    pub host: Name,
    /// Failure domain of the host.
    pub failure_domain: Name,
    /// Address to listen on for callers.
    pub callers: SocketAddr,
    /// Address to listen on for readiness probes.
    pub readiness: Option<SocketAddr>,
    /// Address to listen on for the other processes of the system.
    pub peers: SocketAddr,
    /// Addresses of some other processes of the system, any of which may be unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Largest value that the store accepts, in bytes.
    pub max_value_bytes: usize,
    /// Address of the advice service, if there is one.
    pub advice: Option<SocketAddr>,
    /// CPU capacity of the host, in cores of unit speed.
    pub cores: f64,
    /// Bandwidth of the host's network link, in Mbit/s. Infinite if the file sets no limit.
    pub link_mbps: f64,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Longest lease that a worker grants, in milliseconds.
    pub lease_ms: u64,
    /// Time for which the state of a closed job can be queried, in milliseconds.
    pub status_ms: u64,
    /// Time for which a worker that has shrunk may still be used at its former capacity, counted
    /// from its next report, in milliseconds.
    pub stability_ms: u64,
    /// Interval at which a worker writes its entry, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time after the store has acknowledged the evacuation of a failure domain from which no task
    /// may start there, in milliseconds. `None` where evacuations are not in use.
    pub evacuation_ms: Option<u64>,
    /// Longest time that a worker takes to stop a run, in milliseconds, if the file names it.
    pub stop_ms: Option<u64>,
    /// Time between two checkpoints of a task, in milliseconds, if the file names it.
    pub checkpoint_ms: Option<u64>,
    /// Time that a task takes to resume from a checkpoint, in milliseconds, if the file names it.
    pub restore_ms: Option<u64>,
    /// Time from SIGTERM to SIGKILL, in milliseconds.
    pub grace_ms: u64,
}

/// The error of reading or parsing the settings file.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum SettingsError {
    /// can't read the settings file: {0}
    Read(std::io::Error),
    /// the settings file is malformed: {0}
    Syntax(String),
    /// setting `{0}` is missing or malformed
    Field(&'static str),
}

impl std::error::Error for SettingsError {}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct SettingsFile {
    node: Name,
    ip: String,
    zone: Name,
    /// Ports for the processes of the system, of which the first one is used.
    internal_ports: Vec<u16>,
    /// Other hosts, with the port of another interface. Only the IP addresses are used; the port
    /// is replaced by the peer port.
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    /// Address of the advice service; empty if there is none.
    #[serde(default)]
    hint: String,
    #[serde(default = "default_heartbeat_ms")]
    heartbeat_ms: u64,
    listen: ListenSection,
    #[serde(default)]
    limits: LimitsSection,
    bounds: BoundsSection,
    platform: PlatformSection,
}

#[derive(Deserialize)]
struct ListenSection {
    front: String,
    #[serde(default)]
    ready: Option<String>,
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct LimitsSection {
    /// Share of one core that the host may use.
    cpu_share: Option<f64>,
    /// Speed of that core, in cores of unit speed.
    cores: Option<f64>,
    link_mbps: Option<f64>,
    memory_mb: Option<f64>,
    max_fds: Option<usize>,
}

#[derive(Deserialize)]
struct BoundsSection {
    // The platform spells some of these names with dashes and some with underscores.
    #[serde(rename = "hold-max-ms", default = "default_lease_ms")]
    hold_max_ms: u64,
    #[serde(rename = "stability-ms", default = "default_stability_ms")]
    stability_ms: u64,
    #[serde(rename = "evac-ms")]
    evac_ms: Option<u64>,
    #[serde(rename = "stop-ms")]
    stop_ms: Option<u64>,
    #[serde(rename = "checkpoint-s")]
    checkpoint_s: Option<f64>,
    #[serde(rename = "restore-ms")]
    restore_ms: Option<u64>,
    #[serde(rename = "grace-s", default = "default_grace_s")]
    grace_s: f64,
    #[serde(default = "default_status_s")]
    status_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct PlatformSection {
    addr: String,
    #[serde(default = "default_value_bytes")]
    value_bytes: usize,
}

// Defaults for settings that a file leaves out, from the examples in the platform's documentation.
fn default_lease_ms() -> u64 {
    6_000
}
fn default_stability_ms() -> u64 {
    3_000
}
fn default_heartbeat_ms() -> u64 {
    1_500
}
fn default_grace_s() -> f64 {
    6.0
}
fn default_status_s() -> f64 {
    120.0
}
fn default_value_bytes() -> usize {
    1 << 20
}

/// Memory of the process if the file names none, in MiB.
const DEFAULT_MEMORY_MB: f64 = 256.0;

/// Least memory that the file may name, in MiB. The process needs most of it to start.
const MIN_MEMORY_MB: f64 = 16.0;

/// Largest memory that the file may name, in MiB: one that fits into all address spaces.
const MAX_MEMORY_MB: f64 = 1_048_576.0;

/// Least number of descriptors that the file may name. The process itself needs some of them for
/// the store, its peers and its workers.
const MIN_FDS: usize = 64;

/// Descriptors of the process if the file names none: the usual soft limit.
const DEFAULT_MAX_FDS: usize = 1_024;

impl Settings {
    /// Reads the settings file at a path.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or is malformed, or names the first setting that
    /// is missing or malformed.
    pub fn read(path: &str) -> Result<Settings, SettingsError> {
        Settings::parse(&std::fs::read_to_string(path).map_err(SettingsError::Read)?)
    }

    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is malformed, or names the first setting that is missing or
    /// malformed.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let file: SettingsFile =
            toml::from_str(text).map_err(|error| SettingsError::Syntax(error.to_string()))?;
        let address = |text: &str, field| text.parse().map_err(|_| SettingsError::Field(field));
        let port = file.internal_ports.first().ok_or(SettingsError::Field("internal-ports"))?;
        let readiness = file.listen.ready.as_deref();
        let memory_mb = file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        if !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&memory_mb) {
            return Err(SettingsError::Field("limits.memory-mb"));
        }
        let max_fds = file.limits.max_fds.unwrap_or(DEFAULT_MAX_FDS);
        if max_fds < MIN_FDS {
            return Err(SettingsError::Field("limits.max-fds"));
        }
        Ok(Settings {
            callers: address(&file.listen.front, "listen.front")?,
            readiness: readiness.map(|text| address(text, "listen.ready")).transpose()?,
            peers: address(&format!("{}:{port}", file.ip), "ip")?,
            seeds: file.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), *port)).collect(),
            store: address(&file.platform.addr, "platform.addr")?,
            max_value_bytes: file.platform.value_bytes,
            advice: match file.hint.as_str() {
                "" => None,
                text => Some(address(text, "hint")?),
            },
            host: file.node,
            failure_domain: file.zone,
            cores: file.limits.cpu_share.unwrap_or(1.0) * file.limits.cores.unwrap_or(1.0),
            link_mbps: file.limits.link_mbps.unwrap_or(f64::INFINITY),
            memory_bytes: (memory_mb * f64::from(1 << 20)) as usize,
            max_descriptors: max_fds,
            lease_ms: file.bounds.hold_max_ms,
            status_ms: (file.bounds.status_s * 1_000.0) as u64,
            stability_ms: file.bounds.stability_ms,
            heartbeat_ms: file.heartbeat_ms,
            evacuation_ms: file.bounds.evac_ms,
            stop_ms: file.bounds.stop_ms,
            checkpoint_ms: file.bounds.checkpoint_s.map(|s| (s * 1_000.0) as u64),
            restore_ms: file.bounds.restore_ms,
            grace_ms: (file.bounds.grace_s * 1_000.0) as u64,
        })
    }
}
