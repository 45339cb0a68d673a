//! Log output through `log4rs`, set up once at the start of a process.
//!
//! [`start`] writes every line in the calling thread. [`start_rate_limited`] never blocks the
//! caller, but drops lines when there are too many.

mod json;
mod rate_limited;

pub use rate_limited::LineSender;

use std::str::FromStr;

use displaydoc::Display;
use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// One line of text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Why logging could not be set up.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// log format must be `text` or `json`
    Format,
    /// logging is already initialized
    AlreadyInitialized,
    /// failed to start the log writer thread
    WriterThread,
}

impl std::error::Error for Error {}

impl FromStr for Format {
    type Err = Error;

    fn from_str(text: &str) -> Result<Format, Error> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(Error::Format),
        }
    }
}

/// Sends all log lines to standard error.
///
/// # Errors
///
/// Returns an error if logging is already initialized.
pub fn start(format: Format) -> Result<(), Error> {
    let builder = ConsoleAppender::builder().target(Target::Stderr);
    let appender = match format {
        Format::Json => builder.encoder(Box::new(JsonEncoder::new())).build(),
        Format::Text => {
            let pattern = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t} {m}{n}";
            builder.encoder(Box::new(PatternEncoder::new(pattern))).build()
        }
    };
    install(Box::new(appender))
}

/// Sends all log lines to standard output, as one JSON object per line.
///
/// Logging never blocks the caller, and the rate is limited for each log
/// target. The returned sender adds lines of other formats to the same stream,
/// in order with the log lines.
///
/// # Errors
///
/// Returns an error if logging is already initialized or the writer thread
/// can't be started.
pub fn start_rate_limited() -> Result<LineSender, Error> {
    let appender = rate_limited::RateLimited::start().map_err(|_| Error::WriterThread)?;
    let sender = appender.sender();
    install(Box::new(appender))?;
    Ok(sender)
}

fn install(appender: Box<dyn Append>) -> Result<(), Error> {
    let config = Config::builder()
        .appender(Appender::builder().build("console", appender))
        .build(Root::builder().appender("console").build(LevelFilter::Info))
        .map_err(|_| Error::AlreadyInitialized)?;
    log4rs::init_config(config).map(|_| ()).map_err(|_| Error::AlreadyInitialized)
}
