//! A TCP proxy on loopback that can delay, block or cut its connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

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
        };
        let serving = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
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
