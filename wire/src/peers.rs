//! Descriptions of VMs, backend servers and placements that VMs exchange.
//!
//! Points in time are sent as ages and converted to the receiver's clock.

mod placements;
mod servers;

use std::net::SocketAddr;

use merlinrudder_core::names::VmId;
use serde::{Deserialize, Serialize};

pub use self::placements::{
    WirePlacement, WirePlacementChange, WirePlacements, WireReceivedPrompt,
};
pub use self::servers::{WireColdServer, WireServer};

/// Description of a VM, as the VM sends it when a link opens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WirePeer {
    /// Name of the VM.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address on which the VM accepts links from other VMs.
    pub address: SocketAddr,
    /// Whether it is a control VM, which runs a replica of the control log.
    pub control: bool,
}

impl WirePeer {
    /// Returns the name of the VM as an id.
    #[must_use]
    pub fn vm_id(&self) -> VmId {
        VmId::from(self.vm.as_str())
    }
}
