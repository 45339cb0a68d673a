use std::process::ExitCode;

use crate::{Errors, Parsed, Parser, Values};

/// Exit code for settings that can't be used.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Reads and resolves the settings of the running program.
///
/// # Errors
///
/// Returns the code to exit with when the settings can't be used, or when the
/// command line only asked for a text, which was printed then.
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
