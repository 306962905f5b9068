//! Holds back the links of a starting entry VM to other entry VMs, so that callers come first.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after the start from which other entry VMs are dialled in any case.
pub const MAX_HOLD_TIME: Duration = Duration::from_secs(1);

/// Addresses of other entry VMs that a starting one learns.
#[derive(Debug, Default)]
pub struct PairStart {
    /// Whether other entry VMs are dialled.
    released: bool,
    /// What was learnt before that.
    held: BTreeSet<SocketAddr>,
}

impl PairStart {
    /// Returns which of the learnt addresses to dial now.
    pub fn learnt(&mut self, addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
        if self.released {
            return addresses;
        }
        self.held.extend(addresses);
        Vec::new()
    }

    /// Ends the hold, as the manifest is confirmed or `MAX_HOLD_TIME` is over.
    ///
    /// Returns the addresses to dial now; none if it had ended before.
    pub fn release(&mut self) -> Vec<SocketAddr> {
        self.released = true;
        std::mem::take(&mut self.held).into_iter().collect()
    }
}
