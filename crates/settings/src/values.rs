use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

use crate::{Errors, Problem, Setting};

/// Low-level values, on their way to checked arguments.
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

    /// Resolves a setting that must have a value.
    ///
    /// On a problem the type's default stands in until [`Values::finish`]
    /// reports it.
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

    /// Resolves the name of a process or place.
    ///
    /// Names become keys in the store, so they are kept plain.
    pub fn required_name(&mut self, flag: &'static str) -> Option<String> {
        let name = self.required::<String>(flag)?;
        let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-';
        if !name.chars().all(is_plain) {
            self.invalid(flag, "may hold letters, digits and dashes only");
            return None;
        }
        Some(name)
    }

    /// Resolves a setting that may be left out.
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

    /// Notes a value that can't be used.
    pub fn invalid(&mut self, flag: &'static str, message: &str) {
        self.problems.push(Problem::Invalid { flag, message: message.to_string() });
    }

    fn text(&self, flag: &str) -> Option<String> {
        self.raw.get(flag).cloned().flatten()
    }

    /// Returns every problem that was found.
    ///
    /// # Errors
    ///
    /// Fails when there was any.
    pub fn finish(self) -> Result<(), Errors> {
        if self.problems.is_empty() { Ok(()) } else { Err(Errors(self.problems)) }
    }
}
