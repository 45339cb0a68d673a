//! Settings by flags and environment variables, checked at start.
//!
//! A program declares its [`Setting`]s once. [`Parser::parse`] then reads the
//! low-level values, the flag first and the variable second, and the program
//! resolves them into checked high-level arguments with [`Values`], which
//! collects every error so that an operator sees all of them at once.

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
