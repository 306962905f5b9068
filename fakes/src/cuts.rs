//! Cuts between a server and callers at some addresses.

use std::collections::BTreeMap;
use std::net::{IpAddr, TcpStream};
use std::os::fd::AsFd;
use std::time::Duration;

use socket2::{SockFilter, SockRef};

/// What a cut does to connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutMode {
    /// Packets are lost, so open connections hang and new ones are not established.
    Drop,
    /// Open connections are reset, and new ones as soon as they are established.
    Reset,
    /// Open connections live on; new ones are reset as soon as they are established.
    Refuse,
}

/// Cuts by address of the caller.
pub(crate) type Cuts = BTreeMap<IpAddr, CutMode>;

/// Returns cuts of one mode.
pub(crate) fn cuts(addresses: &[IpAddr], mode: CutMode) -> Cuts {
    addresses.iter().map(|address| (*address, mode)).collect()
}

/// Resets a connection that was just accepted, if its caller is cut off; returns whether it was.
pub(crate) fn reset_if_cut(cuts: &Cuts, connection: &TcpStream) -> bool {
    let mode = cut_mode(cuts, connection);
    let is_cut = matches!(mode, Some(CutMode::Reset | CutMode::Refuse));
    if is_cut {
        // Closing without lingering resets the connection.
        drop(SockRef::from(connection).set_linger(Some(Duration::ZERO)));
    }
    is_cut
}

/// Returns how the caller of a connection is cut off, if it is.
pub(crate) fn cut_mode(cuts: &Cuts, connection: &TcpStream) -> Option<CutMode> {
    let peer = connection.peer_addr().ok()?;
    cuts.get(&peer.ip()).copied()
}

/// Lets a socket lose all packets from the addresses of cuts that drop them.
pub(crate) fn filter(socket: &impl AsFd, cuts: &Cuts) {
    let dropping = cuts.iter().filter(|(_, mode)| **mode == CutMode::Drop);
    let addresses: Vec<_> = dropping.map(|(address, _)| *address).collect();
    // A socket that cannot be filtered would let packets of a cut pass.
    SockRef::from(socket)
        .attach_filter(&program(&addresses))
        .expect("a packet filter is accepted");
}

/// Returns a packet filter that drops IPv4 packets from `addresses` and accepts all others.
fn program(addresses: &[IpAddr]) -> Vec<SockFilter> {
    /// Loads a word of the network header.
    const LOAD_WORD: u16 = 0x20;
    /// Compares with a constant.
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    /// Position of the source address, counted from the begin of the network header.
    const SOURCE_ADDRESS: u32 = 0xfff0_0000 + 12;
    let mut program = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_ADDRESS)];
    for address in addresses {
        if let IpAddr::V4(address) = address {
            program.push(SockFilter::new(JUMP_IF_EQUAL, 0, 1, u32::from(*address)));
            program.push(SockFilter::new(RETURN, 0, 0, 0));
        }
    }
    program.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    program
}
