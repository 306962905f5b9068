//! Listener of a fake backend server, which is closed while the server is down.

use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::FakeBackend;

/// Interval at which a listener checks for connections, a crash and the end of the downtime.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

impl FakeBackend {
    /// Accepts connections until the process exits; while the server is down, they are refused.
    pub(super) fn accept_connections(&self, mut listener: TcpListener) {
        loop {
            self.accept_until_crash(&listener);
            drop(listener);
            listener = self.start_again();
        }
    }

    fn accept_until_crash(&self, listener: &TcpListener) {
        // A listener that cannot be polled would block past a crash.
        listener
            .set_nonblocking(true)
            .expect("a listening socket can be polled");
        self.filter_listener(listener);
        while self.born().is_some() {
            match listener.accept() {
                Ok((stream, _)) => self.spawn_connection(stream),
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
        self.lock_state().listener = None;
    }

    fn spawn_connection(&self, stream: TcpStream) {
        if stream.set_nonblocking(false).is_err() || self.is_cut_at_once(&stream) {
            return;
        }
        let connection = Arc::new(stream);
        let mut state = self.lock_state();
        if state.down_until.is_some() {
            return;
        }
        state.connections.retain(|kept| kept.strong_count() > 0);
        state.connections.push(Arc::downgrade(&connection));
        let born = state.born;
        drop(state);
        let backend = self.clone();
        thread::spawn(move || {
            // I/O errors mean that the peer has disconnected.
            drop(backend.serve(&connection, born));
        });
    }

    /// Waits for the end of the downtime, then listens on the same address.
    fn start_again(&self) -> TcpListener {
        let down_until = self.lock_state().down_until;
        if let Some(down_until) = down_until {
            thread::sleep(down_until.saturating_duration_since(Instant::now()));
        }
        loop {
            if let Ok(listener) = TcpListener::bind(self.address) {
                self.lock_state().down_until = None;
                return listener;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}
