//! A loopback proxy in front of one address, whose connections can be impaired.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Time between two looks at the impairment while nothing comes.
const LOOK: Duration = Duration::from_millis(20);
const BUFFER_BYTES: usize = 16 * 1024;

/// What happens to the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Impairment {
    /// Nothing.
    #[default]
    None,
    /// Every piece of data comes later.
    Delay(Duration),
    /// Data goes to the server, and nothing comes back.
    OneWay,
    /// Connections stay open, and no data goes through.
    Silent,
    /// Open connections are cut, and new ones too.
    Reset,
}

/// Handle of a running proxy.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    impairment: Arc<Mutex<Impairment>>,
}

impl Proxy {
    /// Listens on a free port of the loopback address, in front of `target`.
    ///
    /// # Errors
    /// Fails where no port can be bound.
    pub fn bind(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let proxy = Self {
            address: listener.local_addr()?,
            impairment: Arc::default(),
        };
        let serving = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                // A target that is down refuses, and so the caller's connection ends.
                let far = TcpStream::connect(target);
                if let Ok(far) = far {
                    drop(serving.join(near, far));
                }
            }
        });
        Ok(proxy)
    }

    /// Impairs all connections from now on.
    pub fn impair(&self, impairment: Impairment) {
        *self.lock() = impairment;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Impairment> {
        self.impairment
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn join(&self, near: TcpStream, far: TcpStream) -> std::io::Result<()> {
        for (from, to, back) in [
            (near.try_clone()?, far.try_clone()?, false),
            (far, near, true),
        ] {
            from.set_read_timeout(Some(LOOK))?;
            let proxy = self.clone();
            thread::spawn(move || proxy.copy(from, to, back));
        }
        Ok(())
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, back: bool) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let impairment = *self.lock();
            match impairment {
                Impairment::Reset => break,
                Impairment::Silent => {
                    thread::sleep(LOOK);
                    continue;
                }
                Impairment::OneWay if back => {
                    thread::sleep(LOOK);
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
        // The other end may be gone already.
        drop(from.shutdown(Shutdown::Both));
        drop(to.shutdown(Shutdown::Both));
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock)
}
