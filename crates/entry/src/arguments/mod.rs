//! Settings of the entry process: their declaration and their typed values.
//!
//! All invalid settings are reported together, so that an operator sees them at once.

use std::net::SocketAddr;
use std::time::Duration;

use sycamore_platform::Address;
use sycamore_settings::{Errors, Parser, Setting, Values};
use sycamore_telemetry::logs;
use sycamore_types::Name;

/// Least memory of the process, in MiB. It needs most of it to start.
const MIN_MEMORY_MB: usize = 16;

/// Largest memory of the process, in MiB: one that fits into all address spaces.
const MAX_MEMORY_MB: usize = 1_048_576;

/// Least number of descriptors. The process itself needs some of them for the store, the host list,
/// schedulers and peers.
const MIN_DESCRIPTORS: usize = 64;

/// Settings of an entry process, after validation.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// Name of the process, unique in the deployment.
    pub name: Name,
    /// Failure domain of the host that the process runs on.
    pub failure_domain: Name,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators, metrics and health.
    pub operator_listen: SocketAddr,
    /// Address at which other processes of the deployment connect.
    pub peer_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: Address,
    /// Address of the platform's host list.
    pub hosts: Address,
    /// Time for which callers' keys are accepted while neither the store nor a peer confirms
    /// the configuration. A key may have been withdrawn in the meantime.
    pub key_patience: Duration,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Address of the OTLP collector for spans. `None` disables the export.
    pub otlp: Option<Address>,
    /// Format of log lines.
    pub log_format: logs::Format,
}

/// Returns the parser that declares the settings, with their defaults.
pub fn parser() -> Parser {
    Parser::new(
        "sycamore-entry",
        "Takes the calls of callers and operators and passes them to schedulers.",
        vec![
            Setting::new(
                "name",
                "SYCAMORE_NAME",
                "NAME",
                "name of the process, unique in the deployment",
                None,
            ),
            Setting::new(
                "failure-domain",
                "SYCAMORE_FAILURE_DOMAIN",
                "NAME",
                "failure domain of this host",
                None,
            ),
            Setting::new("listen", "SYCAMORE_LISTEN", "IP:PORT", "address for callers", None),
            Setting::new(
                "operator-listen",
                "SYCAMORE_OPERATOR_LISTEN",
                "IP:PORT",
                "address for operators, metrics and health",
                None,
            ),
            Setting::new(
                "peer-listen",
                "SYCAMORE_PEER_LISTEN",
                "IP:PORT",
                "address for other processes",
                None,
            ),
            Setting::new(
                "store",
                "SYCAMORE_STORE",
                "IP:PORT",
                "address of the platform's store",
                None,
            ),
            Setting::new(
                "hosts",
                "SYCAMORE_HOSTS",
                "IP:PORT",
                "address of the platform's host list",
                None,
            ),
            Setting::new(
                "key-patience",
                "SYCAMORE_KEY_PATIENCE",
                "MS",
                "time for which keys are taken while nobody confirms the configuration",
                Some("10000"),
            ),
            Setting::new(
                "memory-mb",
                "SYCAMORE_MEMORY_MB",
                "MIB",
                "memory that the process may use, 16 at least",
                Some("256"),
            ),
            Setting::new(
                "max-fds",
                "SYCAMORE_MAX_FDS",
                "COUNT",
                "descriptors that the process may have open, 64 at least",
                Some("4096"),
            ),
            Setting::new(
                "otlp",
                "SYCAMORE_OTLP",
                "IP:PORT",
                "collector that spans are exported to by OTLP",
                Some(""),
            ),
            Setting::new(
                "log-format",
                "SYCAMORE_LOG_FORMAT",
                "FORMAT",
                "text or json",
                Some("text"),
            ),
        ],
    )
}

impl Arguments {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns an error for every missing or invalid setting.
    pub fn resolve(mut values: Values) -> Result<Arguments, Errors> {
        let name = values.required_name("name");
        let failure_domain = values.required_name("failure-domain");
        let listen = values.required("listen");
        let operator_listen = values.required("operator-listen");
        let peer_listen = values.required("peer-listen");
        let store = values.required("store");
        let hosts = values.required("hosts");
        let key_patience = values.required::<u64>("key-patience");
        let memory_mb = values.required::<usize>("memory-mb");
        if memory_mb.is_some_and(|mb| !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&mb)) {
            values.invalid("memory-mb", "must be between 16 and 1048576");
        }
        let max_descriptors = values.required::<usize>("max-fds");
        if max_descriptors.is_some_and(|count| count < MIN_DESCRIPTORS) {
            values.invalid("max-fds", "must be at least 64");
        }
        let otlp = values.optional("otlp");
        let log_format = values.required("log-format");
        values.finish()?;
        // Never returned, because `finish` has failed if a required value is missing.
        let missing = || Errors(Vec::new());
        Ok(Arguments {
            name: name.ok_or_else(missing)?.into(),
            failure_domain: failure_domain.ok_or_else(missing)?.into(),
            listen: listen.ok_or_else(missing)?,
            operator_listen: operator_listen.ok_or_else(missing)?,
            peer_listen: peer_listen.ok_or_else(missing)?,
            store: store.ok_or_else(missing)?,
            hosts: hosts.ok_or_else(missing)?,
            key_patience: Duration::from_millis(key_patience.ok_or_else(missing)?),
            memory_bytes: memory_mb.ok_or_else(missing)? << 20,
            max_descriptors: max_descriptors.ok_or_else(missing)?,
            otlp,
            log_format: log_format.ok_or_else(missing)?,
        })
    }
}
