//! How long a process waits for the owner's replies before it doubts the owner.
//!
//! On a link that a large transfer fills, replies wait behind its data. A process that took
//! that for silence would replace an owner that all others hear.

use std::time::Duration;

use crate::timing::{
    BUSY_LINK_OWNER_TIMEOUT, BUSY_LINK_PEER_QUERY_TIMEOUT, BUSY_LINK_PING_TIMEOUT, OWNER_TIMEOUT,
    PEER_QUERY_TIMEOUT, PING_INTERVAL, PING_TIMEOUT,
};

/// Time limits for replies of the owner and of peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Patience {
    /// Longest wait for the reply to a ping.
    pub ping: Duration,
    /// Silence of the owner after which no request is sent to it.
    pub overdue: Duration,
    /// Silence of the owner after which a process tries to take over.
    pub silence: Duration,
    /// Longest wait for a peer that is asked whether it hears the owner.
    pub peer_query: Duration,
}

impl Patience {
    /// Returns the limits, depending on whether this process is receiving a large document.
    pub fn new(is_receiving: bool) -> Patience {
        if is_receiving {
            Patience {
                ping: BUSY_LINK_PING_TIMEOUT,
                overdue: BUSY_LINK_OWNER_TIMEOUT,
                silence: BUSY_LINK_OWNER_TIMEOUT,
                peer_query: BUSY_LINK_PEER_QUERY_TIMEOUT,
            }
        } else {
            Patience {
                ping: PING_TIMEOUT,
                overdue: 2 * PING_INTERVAL + PING_TIMEOUT / 2,
                silence: OWNER_TIMEOUT,
                peer_query: PEER_QUERY_TIMEOUT,
            }
        }
    }
}
