//! Connections that show whether a backend server still runs; no request is sent on them.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::selection::SelectedServers;
use super::state::Gateway;
use super::upstream::connect_from;

/// Waits before the attempts to connect to a server that closed a connection.
///
/// A process that ends closes its connections and its listener in any order.
pub(super) const PROBE_DELAYS: [Duration; 2] =
    [Duration::from_millis(15), Duration::from_millis(120)];
/// Timeout for such an attempt; a server that cannot be reached gives no evidence.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which such a connection must stay open.
///
/// The listener of a process that ends still accepts connections for a moment.
const PROBE_HOLD_TIME: Duration = Duration::from_millis(20);

/// What an attempt to connect shows of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Probe {
    /// It accepts connections and keeps them.
    Accepted,
    /// No process listens at its address.
    Refused,
    /// Its host cannot be reached, or the connection was closed at once.
    Unknown,
}

/// Connects to a server, and waits whether the connection stays open.
pub(super) async fn probe(gateway: &Gateway, address: SocketAddr) -> Probe {
    let connecting = connect_from(gateway.pool.local_ip, address);
    match timeout(PROBE_TIMEOUT, connecting).await {
        Ok(Ok(connection)) => match timeout(PROBE_HOLD_TIME, connection.readable()).await {
            Err(_elapsed) => Probe::Accepted,
            // It was closed, as a server says nothing before a request.
            Ok(_) => Probe::Unknown,
        },
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Probe::Refused,
        _ => Probe::Unknown,
    }
}

/// Whether a server has ended that closed its connection at what may be the end of a response.
///
/// Without a length or chunks nothing else tells a complete response from one cut by a crash, or by the
/// exit of a server that leaves. One that runs costs the response the first delay and `PROBE_HOLD_TIME`.
pub(super) async fn has_ended(gateway: &Gateway, selected: &SelectedServers) -> bool {
    if selected.target.incarnation().is_none() {
        // The other VM, which made the attempt, has looked.
        return false;
    }
    for delay in PROBE_DELAYS {
        sleep(delay).await;
        match probe(gateway, selected.address).await {
            Probe::Accepted => return false,
            Probe::Refused => return true,
            Probe::Unknown => {}
        }
    }
    false
}
