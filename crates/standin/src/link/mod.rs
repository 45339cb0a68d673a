//! TCP proxy on loopback that can slow down, lose or reset what it forwards.
//!
//! Faults act on the state of the link, which all connections of a proxy share, or on the state of
//! the connections from one address. The proxy forwards bytes and knows nothing of HTTP.

mod proxy;

pub use proxy::Proxy;

/// State of a proxied link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// All bytes are forwarded.
    Open,
    /// All bytes are forwarded, each chunk late by this many milliseconds.
    Slow(u64),
    /// All bytes are forwarded, at most this many a second in each direction, over all
    /// connections.
    Narrow(u64),
    /// Open and new connections are closed.
    Reset,
    /// Bytes sent to the server are dropped.
    LosesCalls,
    /// Bytes sent by the server are dropped.
    LosesAnswers,
    /// Nothing is forwarded until the state changes, while connections stay open.
    Silent,
}
