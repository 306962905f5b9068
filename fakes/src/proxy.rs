//! A TCP proxy on loopback that can delay, block or cut its connections.

use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::cuts::{CutMode, Cuts, cut_mode, cuts, filter, reset_if_cut};

/// Interval at which a connection checks the impairment while no data arrives.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of bytes that are copied at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// What a proxy does to the connections through it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Impairment {
    /// Data passes unchanged.
    #[default]
    None,
    /// Each read of data is forwarded after this delay.
    Delay(Duration),
    /// Data to the server passes; data from the server is held back.
    BlockResponses,
    /// Connections stay open; data in both directions is held back.
    BlockAll,
    /// Open connections are closed, and new ones are closed once accepted.
    Disconnect,
}

/// Handle of a running proxy; clones share its impairment.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Address at which it accepts connections, on a free port.
    pub address: SocketAddr,
    impairment: Arc<Mutex<Impairment>>,
    /// Callers that are cut off.
    cuts: Arc<Mutex<Cuts>>,
    listener: Arc<TcpListener>,
}

impl Proxy {
    /// Listens on a free loopback port and forwards each connection to `target`.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn bind(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let proxy = Self {
            address: listener.local_addr()?,
            impairment: Arc::default(),
            cuts: Arc::default(),
            listener: Arc::new(listener),
        };
        let serving = proxy.clone();
        thread::spawn(move || {
            for client in serving.listener.incoming().flatten() {
                if reset_if_cut(&serving.lock_cuts(), &client) {
                    continue;
                }
                // If the target refuses the connection, `client` is dropped and thereby closed.
                let upstream = TcpStream::connect(target);
                if let Ok(upstream) = upstream {
                    drop(serving.forward(client, upstream));
                }
            }
        });
        Ok(proxy)
    }

    /// Sets the impairment of all connections, open and new, until the next call.
    pub fn impair(&self, impairment: Impairment) {
        *self.lock() = impairment;
    }

    /// Replaces all cuts; callers at other addresses reach the server.
    pub fn set_cuts(&self, addresses: &[IpAddr], mode: CutMode) {
        let mut current = self.lock_cuts();
        *current = cuts(addresses, mode);
        filter(&*self.listener, &current);
    }

    fn lock_cuts(&self) -> std::sync::MutexGuard<'_, Cuts> {
        self.cuts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Impairment> {
        self.impairment
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Copies data in both directions, each on its own thread.
    fn forward(&self, client: TcpStream, upstream: TcpStream) -> std::io::Result<()> {
        for (from, to, to_client) in [
            (client.try_clone()?, upstream.try_clone()?, false),
            (upstream, client, true),
        ] {
            from.set_read_timeout(Some(POLL_INTERVAL))?;
            let proxy = self.clone();
            thread::spawn(move || proxy.copy(from, to, to_client));
        }
        Ok(())
    }

    /// Copies data in one direction until the connection ends, then closes both sockets.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, to_client: bool) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let mode = cut_mode(&self.lock_cuts(), if to_client { &to } else { &from });
            match mode {
                Some(CutMode::Reset) => break,
                Some(CutMode::Drop) => {
                    thread::sleep(POLL_INTERVAL);
                    continue;
                }
                Some(CutMode::Refuse) | None => {}
            }
            let impairment = *self.lock();
            match impairment {
                Impairment::Disconnect => break,
                Impairment::BlockAll => {
                    thread::sleep(POLL_INTERVAL);
                    continue;
                }
                Impairment::BlockResponses if to_client => {
                    thread::sleep(POLL_INTERVAL);
                    continue;
                }
                _ => {}
            }
            let read = match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(read) => read,
                Err(error) if is_timeout(&error) => continue,
                Err(_) => break,
            };
            if let Impairment::Delay(delay) = impairment {
                thread::sleep(delay);
            }
            if to.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
        // Shutting down fails where the peer has disconnected already.
        drop(from.shutdown(Shutdown::Both));
        drop(to.shutdown(Shutdown::Both));
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock)
}
