//! Entry point for a program's `main`: parses, resolves and reports errors.

use std::process::ExitCode;

use crate::{Errors, Parsed, Parser, Values};

/// Exit code for missing or invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Reads the settings of the running program and converts them with `resolve`.
///
/// # Errors
///
/// Returns the code to exit with. It is 2 after invalid settings, whose errors were printed to
/// standard error, and success after a request for help, the version or the settings, which were
/// printed to standard output.
pub fn load<T>(
    parser: &Parser,
    resolve: impl FnOnce(Values) -> Result<T, Errors>,
) -> Result<T, ExitCode> {
    let parsed = parser.parse(std::env::args().skip(1), |name| std::env::var(name).ok());
    let resolved = match parsed {
        Ok(Parsed::Print(text)) => {
            print!("{text}");
            return Err(ExitCode::SUCCESS);
        }
        Ok(Parsed::Run(values)) => resolve(values),
        Err(errors) => Err(errors),
    };
    resolved.map_err(|errors| {
        eprintln!("{errors}");
        ExitCode::from(EXIT_INVALID_SETTINGS)
    })
}
