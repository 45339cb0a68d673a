//! Parsing and execution of the command line.
//!
//! Commands that change the configuration edit a copy of it and write the copy back by
//! compare-and-swap.

use std::fs;
use std::net::SocketAddr;

use getopts::Options;
use serde_json::{Value, json};
use sycamore_types::Name;
use sycamore_types::config::Document;

use crate::output::{Format, render};
use crate::usage::USAGE;
use crate::{Client, Error, edit};

/// The parsed command line.
struct Arguments {
    client: Client,
    format: Format,
    /// The command and its arguments.
    command: Vec<String>,
}

/// Runs a command line, without the program name, and returns the text to print.
///
/// # Errors
///
/// Returns why the command failed. [`Error::exit_code`] is the exit code for it.
pub async fn run(args: impl Iterator<Item = String>) -> Result<String, Error> {
    let mut options = Options::new();
    options.optopt(
        "",
        "entry",
        "operators' address of an entry process [SYCAMORE_ENTRY]",
        "IP:PORT",
    );
    options.optopt("", "format", "text or json (default: text)", "FORMAT");
    options.optflag("h", "help", "print this help and exit");
    let matches = options.parse(args).map_err(|error| Error::Usage(error.to_string()))?;
    if matches.opt_present("help") || matches.free.is_empty() {
        return Ok(options.usage(USAGE));
    }
    let address = matches
        .opt_str("entry")
        .or_else(|| std::env::var("SYCAMORE_ENTRY").ok())
        .ok_or_else(|| Error::Usage("--entry (or SYCAMORE_ENTRY) is required".to_string()))?;
    let address: SocketAddr = address
        .parse()
        .map_err(|_| Error::Usage(format!("--entry: `{address}` is not IP:PORT")))?;
    let format = matches.opt_str("format").unwrap_or_else(|| "text".to_string()).parse()?;
    let arguments = Arguments { client: Client::new(address), format, command: matches.free };
    execute(&arguments).await
}

async fn execute(arguments: &Arguments) -> Result<String, Error> {
    let command: Vec<&str> = arguments.command.iter().map(String::as_str).collect();
    match command.as_slice() {
        ["get"] => config_text(arguments).await,
        ["apply", path] => {
            let document = read_config(path)?;
            change_config(arguments, |current| {
                *current = document;
                Ok(Value::Null)
            })
            .await
        }
        ["diff", path] => diff_text(arguments, &read_config(path)?).await,
        ["team", name, ..] => {
            let fields = &arguments.command[2..];
            change_config(arguments, |document| no_output(edit::set_team(document, name, fields)))
                .await
        }
        ["queue", name, ..] => {
            let fields = &arguments.command[2..];
            change_config(arguments, |document| no_output(edit::set_queue(document, name, fields)))
                .await
        }
        ["label", host, _, ..] => {
            let changes = &arguments.command[2..];
            change_config(arguments, |document| {
                no_output(edit::set_labels(document, host, changes))
            })
            .await
        }
        ["drain", host] => {
            change_config(arguments, |document| {
                document.drained.insert(Name::from(*host));
                Ok(Value::Null)
            })
            .await
        }
        ["undrain", host] => {
            change_config(arguments, |document| {
                document.drained.remove(*host);
                Ok(Value::Null)
            })
            .await
        }
        ["key", "create", name, team] => {
            change_config(arguments, |document| {
                let secret = edit::create_key(document, name, team)?;
                Ok(json!({ "key": secret }))
            })
            .await
        }
        ["key", "withdraw", name] => {
            change_config(arguments, |document| no_output(edit::withdraw_key(document, name))).await
        }
        ["status"] => fetch_text(arguments, "/v1/status").await,
        ["explain", job] => fetch_text(arguments, &format!("/v1/jobs/{job}")).await,
        ["heads"] => {
            // `sycamore-audit` reads this output, so it is JSON in both formats.
            Ok(arguments.client.get("/v1/heads").await?.to_string())
        }
        _ => Err(Error::Usage(format!("unknown command `{}`\n\n{USAGE}", command.join(" ")))),
    }
}

/// Returns the result of an edit that adds no fields to the output.
fn no_output(result: Result<(), Error>) -> Result<Value, Error> {
    result.map(|()| Value::Null)
}

async fn config_text(arguments: &Arguments) -> Result<String, Error> {
    let config = arguments.client.config().await?;
    match arguments.format {
        Format::Text => {
            Ok(format!("# revision {}\n{}", config.revision, config.document.to_toml()))
        }
        Format::Json => {
            Ok(json!({ "revision": config.revision, "config": config.document }).to_string())
        }
    }
}

async fn diff_text(arguments: &Arguments, after: &Document) -> Result<String, Error> {
    let config = arguments.client.config().await?;
    let lines = edit::diff(&config.document, after);
    match arguments.format {
        Format::Text if lines.is_empty() => Ok("no difference".to_string()),
        Format::Text => Ok(lines.join("\n")),
        Format::Json => Ok(json!({ "revision": config.revision, "lines": lines }).to_string()),
    }
}

async fn fetch_text(arguments: &Arguments, path: &str) -> Result<String, Error> {
    let value = arguments.client.get(path).await?;
    Ok(render(&value, arguments.format))
}

/// Edits a copy of the configuration and writes it by compare-and-swap.
///
/// Returns the rendered report of the change, with the fields that `edit` returns added to it.
async fn change_config(
    arguments: &Arguments,
    edit: impl FnOnce(&mut Document) -> Result<Value, Error>,
) -> Result<String, Error> {
    let config = arguments.client.config().await?;
    let mut document = config.document.clone();
    let extra = edit(&mut document)?;
    document.check().map_err(|error| Error::Refused(error.to_string()))?;
    let mut report = arguments.client.put(config.revision, &document).await?;
    if let (Some(report), Value::Object(extra)) = (report.as_object_mut(), extra) {
        report.extend(extra);
    }
    Ok(render(&report, arguments.format))
}

fn read_config(path: &str) -> Result<Document, Error> {
    let file_error = |message: String| Error::File { path: path.to_string(), message };
    let text = fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
    Document::parse(&text).map_err(|error| file_error(error.to_string()))
}
