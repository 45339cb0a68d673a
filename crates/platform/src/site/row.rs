//! Reads the rows of a list one by one, so that one that can't be read costs none of the others.

use std::fmt;
use std::marker::PhantomData;

use serde::de::value::MapAccessDeserializer;
use serde::de::{Error, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// Longest key of the store and longest id of a worker, in bytes.
pub(super) const MAX_KEY_BYTES: usize = 200;

/// Largest whole number that every JSON parser reads exactly. A larger one is a writer's mistake.
pub(super) const MAX_NUMBER: u64 = (1 << 53) - 1;

/// A row of a response that can't be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MalformedRow {
    /// The row's key, if that can be read.
    pub key: Option<String>,
    /// Why the row can't be read.
    pub reason: String,
}

/// A value that is read from a JSON object only. Derived types also accept an array of their
/// fields, which the platform never sends.
#[derive(Clone, Copy, Debug)]
pub(super) struct Object<T>(pub T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Object<T>, D::Error> {
        deserializer.deserialize_map(ObjectVisitor(PhantomData))
    }
}

struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = Object<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Object<T>, A::Error> {
        T::deserialize(MapAccessDeserializer::new(map)).map(Object)
    }
}

/// Reads a whole number that is not too large for calculations with times.
pub(super) fn whole_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let number = u64::deserialize(deserializer)?;
    let is_exact = number <= MAX_NUMBER;
    is_exact.then_some(number).ok_or_else(|| D::Error::custom("the number is too large"))
}

/// The key of a row whose other fields can't be read.
#[derive(Deserialize)]
struct Keyed {
    key: String,
}

/// Returns whether the store accepts a key. A page can't begin after a longer one.
pub(super) fn is_key(key: &str) -> bool {
    key.len() <= MAX_KEY_BYTES
}

/// Reads rows of the store. Returns those that can be read, the others, and the last key.
pub(super) fn read_rows<'a, T: Deserialize<'a>>(
    rows: &[&'a RawValue],
    key_of: impl Fn(&T) -> &str,
) -> (Vec<T>, Vec<MalformedRow>, Option<String>) {
    let (mut valid, mut malformed, mut last_key) = (Vec::new(), Vec::new(), None);
    for row in rows {
        let key = match serde_json::from_str::<Object<T>>(row.get()) {
            Ok(Object(row)) => {
                let key = key_of(&row).to_string();
                valid.push(row);
                Some(key)
            }
            Err(error) => {
                let keyed = serde_json::from_str::<Object<Keyed>>(row.get());
                let key = keyed.ok().map(|Object(row)| row.key);
                malformed.push(MalformedRow { key: key.clone(), reason: error.to_string() });
                key
            }
        };
        last_key = key.filter(|key| is_key(key)).or(last_key);
    }
    (valid, malformed, last_key)
}
