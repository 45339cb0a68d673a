//! Conversion of the settings' text into typed values.
//!
//! Errors are collected instead of returned at once, so that [`Values::finish`] reports all of
//! them together.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

use crate::{Errors, Problem, Setting};

/// Text of all settings, and the errors found while converting it.
#[derive(Clone, Debug)]
pub struct Values {
    settings: Vec<Setting>,
    raw: BTreeMap<&'static str, Option<String>>,
    problems: Vec<Problem>,
}

impl Values {
    pub(crate) fn new(
        settings: Vec<Setting>,
        raw: BTreeMap<&'static str, Option<String>>,
    ) -> Values {
        Values { settings, raw, problems: Vec::new() }
    }

    /// Parses a setting that must have a value.
    ///
    /// Returns `None` if the value is missing or invalid; [`Values::finish`] then reports the
    /// error.
    pub fn required<T>(&mut self, flag: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.text(flag).filter(|text| !text.is_empty()) else {
            let setting = self.settings.iter().find(|setting| setting.flag == flag);
            let variable = setting.map_or("", |setting| setting.variable);
            self.problems.push(Problem::Missing { flag, variable });
            return None;
        };
        self.resolve(flag, &text)
    }

    /// Parses a required name of a process or failure domain.
    ///
    /// Only ASCII letters, digits and dashes are valid, because names become parts of keys in the
    /// store. Returns `None` on an error, as [`Values::required`] does.
    pub fn required_name(&mut self, flag: &'static str) -> Option<String> {
        let name = self.required::<String>(flag)?;
        let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-';
        if !name.chars().all(is_plain) {
            self.invalid(flag, "may contain only ASCII letters, digits and dashes");
            return None;
        }
        Some(name)
    }

    /// Parses a setting that may be left out.
    ///
    /// Returns `None` if the value is empty, or if it is invalid; only an invalid value is an
    /// error for [`Values::finish`].
    pub fn optional<T>(&mut self, flag: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text(flag).filter(|text| !text.is_empty())?;
        self.resolve(flag, &text)
    }

    fn resolve<T>(&mut self, flag: &'static str, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.invalid(flag, &format!("{error}"));
                None
            }
        }
    }

    /// Records that the value of a setting is invalid.
    pub fn invalid(&mut self, flag: &'static str, message: &str) {
        self.problems.push(Problem::Invalid { flag, message: message.to_string() });
    }

    fn text(&self, flag: &str) -> Option<String> {
        self.raw.get(flag).cloned().flatten()
    }

    /// Ends the conversion.
    ///
    /// # Errors
    ///
    /// Returns all errors that were found, if any.
    pub fn finish(self) -> Result<(), Errors> {
        if self.problems.is_empty() { Ok(()) } else { Err(Errors(self.problems)) }
    }
}
