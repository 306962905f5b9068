//! Cuts between a fake backend server and some of its callers.

use std::io::ErrorKind;
use std::net::{IpAddr, Shutdown, TcpListener, TcpStream};
use std::sync::Weak;
use std::thread;
use std::time::Duration;

use super::FakeBackend;
use crate::cuts::{CutMode, cut_mode, cuts, filter, reset_if_cut};

/// Interval at which a held-back answer checks whether the cut has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl FakeBackend {
    /// Replaces all cuts; callers at other addresses reach the server.
    pub fn set_cuts(&self, addresses: &[IpAddr], mode: CutMode) {
        let mut state = self.lock_state();
        state.cuts = cuts(addresses, mode);
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

    /// Resets a connection that was just accepted, if its caller is cut off.
    pub(super) fn is_cut_at_once(&self, connection: &TcpStream) -> bool {
        reset_if_cut(&self.lock_state().cuts, connection)
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
