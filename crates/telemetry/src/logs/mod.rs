//! Structured log lines by `log4rs`.

use std::str::FromStr;

use displaydoc::Display;
use log::LevelFilter;
pub use log4rs::append::console::Target;

use log4rs::append::console::ConsoleAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

/// How log lines look.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// One line of text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Tells why logging could not be set up.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// log format must be `text` or `json`
    Format,
    /// logging is set up already
    Repeated,
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

/// Writes log lines to standard error from now on.
///
/// # Errors
///
/// Fails when logging is set up already.
pub fn start(format: Format) -> Result<(), Error> {
    start_on(format, Target::Stderr)
}

/// Writes log lines to one of the standard streams from now on.
///
/// # Errors
///
/// Fails when logging is set up already.
pub fn start_on(format: Format, target: Target) -> Result<(), Error> {
    let builder = ConsoleAppender::builder().target(target);
    let appender = match format {
        Format::Json => builder.encoder(Box::new(JsonEncoder::new())).build(),
        Format::Text => {
            let pattern = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t} {m}{n}";
            builder.encoder(Box::new(PatternEncoder::new(pattern))).build()
        }
    };
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(appender)))
        .build(Root::builder().appender("console").build(LevelFilter::Info))
        .map_err(|_| Error::Repeated)?;
    log4rs::init_config(config).map(|_| ()).map_err(|_| Error::Repeated)
}
