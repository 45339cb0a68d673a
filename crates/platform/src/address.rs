//! Addresses of external systems, as given in the settings of a process.
//!
//! Only a literal IP address with a port is accepted; host names are not resolved.

use std::net::SocketAddr;
use std::str::FromStr;

use displaydoc::Display;

/// IP address and port of an external system.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Address(pub SocketAddr);

/// The error of parsing an [`Address`].
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum AddressError {
    /// `{0}` is not an IP address with a port
    Malformed(String),
}

impl std::error::Error for AddressError {}

impl FromStr for Address {
    type Err = AddressError;

    fn from_str(text: &str) -> Result<Address, AddressError> {
        text.parse().map(Address).map_err(|_| AddressError::Malformed(text.to_string()))
    }
}
