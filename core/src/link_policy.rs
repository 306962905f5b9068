//! Decides which of two entry VMs opens the link between them.

use std::net::SocketAddr;
use std::time::Duration;

/// Time without a link after which the VM that does not usually dial does so.
///
/// The usual one may not know the other VM, or may not reach it.
pub const DIAL_HELP_DELAY: Duration = Duration::from_secs(2);

/// Returns how long a VM at `local` waits without a link before it dials the VM at `remote`.
///
/// The VM with the lower address dials at once, so that each pair has one link.
#[must_use]
pub fn dial_delay(local: SocketAddr, remote: SocketAddr) -> Duration {
    if local < remote {
        Duration::ZERO
    } else {
        DIAL_HELP_DELAY
    }
}
