//! The settings of the scheduler process: their declaration and the checked result.
//!
//! All invalid settings are reported together, so that an operator sees them at once.

mod record_destination;

use std::net::SocketAddr;

use sycamore_platform::Address;
use sycamore_settings::{Errors, Parser, Setting, Values};
use sycamore_telemetry::logs;
use sycamore_types::Name;

pub use record_destination::RecordDestination;

/// The checked settings of a scheduler.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// Name of the process, unique in the deployment.
    pub name: Name,
    /// Failure domain of the host that the process runs on.
    pub failure_domain: Name,
    /// Address on which the process serves peers and entry processes.
    pub listen: SocketAddr,
    /// Address on which the process serves metrics and health checks.
    pub admin_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: Address,
    /// Address of the platform's host list.
    pub hosts: Address,
    /// Destination of the decision records.
    pub records: RecordDestination,
    /// OTLP collector of spans. `None` exports none.
    pub otlp: Option<Address>,
    /// Format of log lines.
    pub log_format: logs::Format,
}

/// Returns a parser that knows all settings of the scheduler.
pub fn parser() -> Parser {
    Parser::new(
        "sycamore-scheduler",
        "Owns shards of workers, decides what runs where, and starts it.",
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
            Setting::new(
                "listen",
                "SYCAMORE_LISTEN",
                "IP:PORT",
                "address for peers and entry processes",
                None,
            ),
            Setting::new(
                "admin-listen",
                "SYCAMORE_ADMIN_LISTEN",
                "IP:PORT",
                "address for metrics and health",
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
                "records",
                "SYCAMORE_RECORDS",
                "WHERE",
                "where decision records go: none, file:PATH or tcp:IP:PORT",
                Some("none"),
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
    /// Converts the raw values of the settings.
    ///
    /// # Errors
    ///
    /// Returns one message for each setting that is missing or invalid.
    pub fn resolve(mut values: Values) -> Result<Arguments, Errors> {
        let name = values.required_name("name");
        let failure_domain = values.required_name("failure-domain");
        let listen = values.required("listen");
        let admin_listen = values.required("admin-listen");
        let store = values.required("store");
        let hosts = values.required("hosts");
        let records = values.required("records");
        let otlp = values.optional("otlp");
        let log_format = values.required("log-format");
        values.finish()?;
        // Never returned, because `finish` has failed if a required value is missing.
        let missing = || Errors(Vec::new());
        Ok(Arguments {
            name: name.ok_or_else(missing)?.into(),
            failure_domain: failure_domain.ok_or_else(missing)?.into(),
            listen: listen.ok_or_else(missing)?,
            admin_listen: admin_listen.ok_or_else(missing)?,
            store: store.ok_or_else(missing)?,
            hosts: hosts.ok_or_else(missing)?,
            records: records.ok_or_else(missing)?,
            otlp,
            log_format: log_format.ok_or_else(missing)?,
        })
    }
}
