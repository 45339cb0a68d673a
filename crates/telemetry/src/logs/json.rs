//! Encodes a log record as one JSON object without nesting: `at_ms` (Unix time),
//! `level`, `kind` (the log target), `message`, then the key-value pairs of the record.

use std::time::{SystemTime, UNIX_EPOCH};

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use log4rs::encode::{Encode, Write as EncodeWrite};
use serde_json::{Map, Value as Json};

/// Encodes each log record as one line of JSON.
#[derive(Debug)]
pub(super) struct JsonLines;

/// Adds the key-value pairs of a record to a JSON object.
struct FieldVisitor<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = if let Some(number) = value.to_u64() {
            Json::from(number)
        } else if let Some(number) = value.to_i64() {
            Json::from(number)
        } else if let Some(flag) = value.to_bool() {
            Json::from(flag)
        } else {
            Json::from(value.to_string())
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

impl Encode for JsonLines {
    fn encode(&self, writer: &mut dyn EncodeWrite, record: &Record<'_>) -> anyhow::Result<()> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut line = Map::new();
        line.insert("at_ms".to_string(), Json::from(now.as_millis() as u64));
        line.insert("level".to_string(), Json::from(record.level().as_str()));
        line.insert("kind".to_string(), Json::from(record.target()));
        line.insert("message".to_string(), Json::from(record.args().to_string()));
        record.key_values().visit(&mut FieldVisitor(&mut line))?;
        serde_json::to_writer(&mut *writer, &line)?;
        writer.write_all(b"\n")?;
        Ok(())
    }
}
