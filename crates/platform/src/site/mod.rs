//! Clients and formats of the platform that `sycamore-node` runs on.
//!
//! Wire names are decoded here once, into the scheduler's own types; no scheduling decision is
//! made here. The formats are those of the platform's protocol documentation, which requires that
//! unknown fields are ignored.

mod advice;
mod config;
mod entry;
mod job;
mod row;
mod settings;
mod store;
mod task;
mod worker;
mod worker_wire;

pub use advice::{AdviceClient, AdviceError};
pub use config::{Config, ConfigError, Limits, Route};
pub use entry::{EntryError, WorkerEntry, parse_worker_entry};
pub use job::{JobError, parse_job, render_count, render_state};
pub use row::MalformedRow;
pub use settings::{Settings, SettingsError};
pub use store::{Item, Page, Store, StoreError, Transaction, WatchResponse};
pub use worker::{CallOutcome, WorkerClient, WorkerConnections};
pub use worker_wire::{MAX_FINISHED_PER_POLL, parse_report};

/// HTTP headers of the platform.
pub mod header {
    /// API key of the caller, which the configuration maps to a team.
    pub const KEY: &str = "x-api-key";
    /// Time for which the caller waits for a response, in milliseconds.
    pub const DEADLINE_MS: &str = "sycamorechute-deadline-ms";
    /// Id of the worker incarnation that a call is meant for. Any other incarnation refuses the
    /// call with status 421.
    pub(crate) const EXPECT_INSTANCE: &str = "sycamorechute-expect-instance";
}

/// Keys of the store that are written outside this system, which only reads them.
pub mod key {
    /// Key of the newest configuration.
    pub const CONFIG: &str = "op/config";
    /// Prefix of all keys that operators write.
    pub const OPERATOR_PREFIX: &str = "op/";
    /// Prefix of the evacuated failure domains; the rest of the key is the domain. The key is
    /// removed when the evacuation ends.
    pub const EVACUATION_PREFIX: &str = "op/evacuate/";
    /// Prefix of the workers' entries; the rest of the key is the worker's id.
    pub const WORKER_PREFIX: &str = "servers/";
}

/// Path of the HTTP readiness probe.
pub const READY_PATH: &str = "/sycamorechute/readyz";

/// Environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "SYCAMORECHUTE_SETTINGS";

/// Path of the settings file if the environment variable is not set.
pub const SETTINGS_PATH: &str = "/etc/sycamorechute/boot.toml";
