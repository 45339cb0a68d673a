//! Formats of the printed results.
//!
//! The text format flattens nested fields into one line each, so that it can be read and searched
//! by line. The JSON format is the response of the entry process.

use std::str::FromStr;

use serde_json::Value;

use crate::Error;

/// The format in which results are printed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Format {
    #[default]
    Text,
    Json,
}

impl FromStr for Format {
    type Err = Error;

    fn from_str(text: &str) -> Result<Format, Error> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(Error::Usage("--format must be text or json".to_string())),
        }
    }
}

/// Formats a value as JSON, or as text with one field per line, named by its dotted path.
pub(crate) fn render(value: &Value, format: Format) -> String {
    match format {
        Format::Json => value.to_string(),
        Format::Text => {
            let mut lines = Vec::new();
            flatten("", value, &mut lines);
            lines.join("\n")
        }
    }
}

fn flatten(path: &str, value: &Value, lines: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                flatten(&path, field, lines);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            lines.push(format!("{path}: {}", items.join(", ")));
        }
        other => lines.push(format!("{path}: {}", plain(other))),
    }
}

/// Formats a value without the quotes around a string.
fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
