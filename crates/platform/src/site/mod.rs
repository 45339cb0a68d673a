//! The users' platform: its names, formats and calls.
//!
//! Wire names are decoded here once, into types of the product whose fields say
//! what they hold. Nothing here decides. The formats are those of the platform's
//! protocol documentation; unknown fields are ignored throughout, as it asks.

mod advice;
mod config;
mod entry;
mod job;
mod settings;
mod store;
mod task;
mod worker;
mod worker_wire;

pub use advice::AdviceClient;
pub use config::{Config, ConfigError, Limits, Route};
pub use entry::parse_worker_entry;
pub use job::{JobError, parse_job, render_count, render_state};
pub use settings::{Settings, SettingsError};
pub use store::{Item, Page, Store, StoreError, Transaction, WatchResponse};
pub use worker::{CallOutcome, WorkerClient};

/// Headers of the platform.
pub mod header {
    /// Key of the caller's team.
    pub const KEY: &str = "x-api-key";
    /// How long the caller waits for an answer, in milliseconds.
    pub const DEADLINE_MS: &str = "sycamorechute-deadline-ms";
    /// Incarnation of a worker that an order is meant for.
    pub(crate) const EXPECT_INSTANCE: &str = "sycamorechute-expect-instance";
}

/// Keys of the store that the operator writes.
pub mod key {
    /// The newest configuration.
    pub const CONFIG: &str = "op/config";
    /// The workers' entries, one for each.
    pub const WORKER_PREFIX: &str = "servers/";
}

/// Path of the readiness probe.
pub const READY_PATH: &str = "/sycamorechute/readyz";

/// Variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "SYCAMORECHUTE_SETTINGS";

/// Path of the settings file where the variable is not set.
pub const SETTINGS_PATH: &str = "/etc/sycamorechute/boot.toml";
