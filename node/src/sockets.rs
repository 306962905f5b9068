//! Options of TCP sockets: silent peers must be noticed while nothing is sent.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time without traffic after which the peer is asked for a sign of life.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Questions without an answer after which the connection is closed.
const KEEPALIVE_COUNT: u32 = 2;
/// Time in which sent bytes must be acknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2500);

/// Sets the options of a connection.
///
/// # Errors
/// Fails where the operating system refuses one.
pub fn set_tcp_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_COUNT);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
