//! TCP socket options that detect dead peers, also while no data is sent.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time after which the first keepalive probe is sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_COUNT: u32 = 2;
/// Time in which sent data must be acknowledged (`TCP_USER_TIMEOUT`).
const ACK_TIMEOUT: Duration = Duration::from_millis(2500);

/// Sets `TCP_NODELAY`, keepalive and the acknowledgement timeout of a connection.
///
/// # Errors
/// Fails if the operating system rejects an option.
pub fn set_tcp_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_COUNT);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}
