//! Errors in the settings, in the form in which an operator reads them.

use std::fmt;

use displaydoc::Display;

/// One error in the settings.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Problem {
    /// {0}
    Usage(String),
    /// --{flag} (or {variable}) is required
    Missing {
        /// Flag of the setting, without dashes.
        flag: &'static str,
        /// Environment variable of the setting.
        variable: &'static str,
    },
    /// --{flag}: {message}
    Invalid {
        /// Flag of the setting, without dashes.
        flag: &'static str,
        /// What is wrong with the value.
        message: String,
    },
}

/// All errors in the settings, displayed one a line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Errors(pub Vec<Problem>);

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Errors {}
