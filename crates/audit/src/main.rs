//! `sycamore-audit`: verifies and explains collected decision records.

mod command;

use std::process::ExitCode;

fn main() -> ExitCode {
    match command::run(std::env::args().skip(1)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("sycamore-audit: {error}");
            ExitCode::from(2)
        }
    }
}
