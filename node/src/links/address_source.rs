//! Where a VM has the addresses of others from.

/// How this VM learnt the address of another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AddressSource {
    /// The settings name it as a seed; it is never given up.
    Settings,
    /// A control VM listed it.
    PeerList,
    /// An entry VM listed it.
    EntryVm,
    /// The VM introduced itself on a link.
    Handshake,
    /// It was kept in the data folder from before the start.
    Kept,
}

impl AddressSource {
    /// Name in log lines.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Settings => "settings",
            Self::PeerList => "peer_list",
            Self::EntryVm => "entry_vm",
            Self::Handshake => "handshake",
            Self::Kept => "kept",
        }
    }
}
