//! Cuts between a fake backend server and callers at some addresses.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{IpAddr, Shutdown, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::Weak;
use std::thread;
use std::time::Duration;

use socket2::{SockFilter, SockRef};

use super::FakeBackend;

/// Interval at which a held-back answer checks whether the cut has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

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
pub(super) type Cuts = BTreeMap<IpAddr, CutMode>;

impl FakeBackend {
    /// Replaces all cuts; callers at other addresses reach the server.
    pub fn set_cuts(&self, addresses: &[IpAddr], mode: CutMode) {
        let mut state = self.lock_state();
        state.cuts = addresses.iter().map(|address| (*address, mode)).collect();
        let (cuts, connections) = (state.cuts.clone(), state.connections.clone());
        if let Some(listener) = &state.listener {
            filter(listener, &cuts);
        }
        drop(state);
        for connection in connections.iter().filter_map(Weak::upgrade) {
            filter(&*connection, &cuts);
            if cut_mode(&cuts, &connection) == Some(CutMode::Reset) {
                // Fails where the peer has already disconnected.
                drop(connection.shutdown(Shutdown::Both));
            }
        }
    }

    /// Accepts a connection, unless its caller is cut off.
    pub(super) fn is_cut_at_once(&self, connection: &TcpStream) -> bool {
        let mode = cut_mode(&self.lock_state().cuts, connection);
        let is_cut = matches!(mode, Some(CutMode::Reset | CutMode::Refuse));
        if is_cut {
            // Closing without lingering resets the connection.
            drop(SockRef::from(connection).set_linger(Some(Duration::ZERO)));
        }
        is_cut
    }

    /// Waits while packets to the peer of a connection are lost.
    pub(super) fn wait_while_cut(&self, connection: &TcpStream) -> std::io::Result<()> {
        loop {
            let mode = cut_mode(&self.lock_state().cuts, connection);
            match mode {
                Some(CutMode::Drop) => thread::sleep(POLL_INTERVAL),
                Some(CutMode::Reset) => return Err(ErrorKind::ConnectionReset.into()),
                Some(CutMode::Refuse) | None => return Ok(()),
            }
        }
    }

    /// Applies the cuts to a new listener.
    pub(super) fn filter_listener(&self, listener: &TcpListener) {
        let mut state = self.lock_state();
        filter(listener, &state.cuts);
        state.listener = listener.try_clone().ok();
    }
}

fn cut_mode(cuts: &Cuts, connection: &TcpStream) -> Option<CutMode> {
    let peer = connection.peer_addr().ok()?;
    cuts.get(&peer.ip()).copied()
}

/// Lets a socket lose all packets from the addresses of cuts that drop them.
fn filter(socket: &impl AsFd, cuts: &Cuts) {
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
