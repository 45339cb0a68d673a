//! Listens for connections whose unread data is bounded.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Receive buffer of a connection, in bytes. What a caller has sent and the process has not read
/// counts as memory of the process, so that the kernel must not enlarge the buffer.
pub const RECEIVE_BUFFER_BYTES: usize = 32 * 1_024;

/// Connections that the kernel holds until they are accepted.
const BACKLOG: u32 = 1_024;

/// Listens for callers.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
