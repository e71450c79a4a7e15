//! The kernel's buffers for bytes that clients have sent and the server has not read.

use std::io;

use socket2::SockRef;
use tokio::net::TcpStream;

/// The share of the bound up to which connections keep the kernel's own buffer size, as a divisor. It is
/// above the connections of a deployment's usual clients.
const LARGE_SHARE_DIVISOR: usize = 4;
/// The receive buffer of the other connections, in bytes. The kernel keeps up to 43 KB for such a connection,
/// since it has offered a larger window before. It carries 400 KB/s over a path of 20 ms. A connection with
/// the kernel's own size starts with 128 KB, which grows with the bytes that are read: after a body of 4 MB,
/// 4.7 MB of unread bytes were measured.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 8 << 10;

/// Returns whether a connection gets a small buffer since `open` of at most `max_connections`
/// connections are open.
pub fn is_limited(open: usize, max_connections: usize) -> bool {
    open > max_connections / LARGE_SHARE_DIVISOR
}

/// Limits the bytes that the kernel keeps for a connection until they are read.
pub fn limit(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES)
}
