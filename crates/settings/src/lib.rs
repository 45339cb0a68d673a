//! Settings from command line flags and environment variables, checked at startup.
//!
//! A program declares its [`Setting`]s once. [`Parser::parse`] reads their text, where a flag
//! takes precedence over an environment variable. The program then converts the text into typed
//! arguments with [`Values`], which collects all errors, so that an operator sees them at once.

mod error;
mod load;
mod parser;
mod setting;
mod values;

pub use error::{Errors, Problem};
pub use load::load;
pub use parser::{Parsed, Parser};
pub use setting::Setting;
pub use values::Values;
