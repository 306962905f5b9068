//! A link whose frames a test reads and writes itself.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_wire::mesh::{
    MeshMessage, WireFeatures, decode_frame, encode_frame, encode_handshake,
};
use merlinrudder_wire::peers::WirePeer;

/// Interval at which a link that is kept alive sends heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Returns free addresses of loopback in ascending order.
pub fn addresses(count: usize) -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listeners: Vec<_> = (0..count).map(bind).collect();
    let address = |listener: &TcpListener| listener.local_addr().expect("a local address");
    let mut addresses: Vec<_> = listeners.iter().map(address).collect();
    addresses.sort();
    addresses
}

/// Link to a VM under test, from a VM that the test plays.
pub struct HandLink {
    stream: TcpStream,
    /// The same connection; locked while a frame is written.
    writer: Arc<Mutex<TcpStream>>,
}

impl HandLink {
    /// Opens a link as the VM `name`, which accepts no links itself.
    pub fn open(address: SocketAddr, name: &str, control: bool) -> Self {
        Self::open_with(address, name, control, &WireFeatures::default())
    }

    /// Opens a link as a VM with these features.
    pub fn open_with(
        address: SocketAddr,
        name: &str,
        control: bool,
        features: &WireFeatures,
    ) -> Self {
        let stream = TcpStream::connect(address).expect("the VM accepts links");
        let writer = stream.try_clone().expect("a second handle");
        let writer = Arc::new(Mutex::new(writer));
        let mut link = Self { stream, writer };
        let peer = WirePeer {
            vm: name.to_owned(),
            zone: "z".to_owned(),
            address: addresses(1)[0],
            control,
        };
        link.send_frame(&encode_handshake(&peer, features));
        let handshake = link.read_frame().expect("a handshake");
        assert!(!handshake.is_empty());
        link
    }

    /// Opens a link that sends heartbeats until it is dropped.
    pub fn open_kept(address: SocketAddr, name: &str, control: bool) -> Self {
        Self::open(address, name, control).keep()
    }

    /// Sends heartbeats until the link is dropped.
    pub fn keep(self) -> Self {
        let writer = Arc::downgrade(&self.writer);
        thread::spawn(move || {
            while let Some(writer) = writer.upgrade() {
                if write_frame(&writer, &[]).is_err() {
                    break;
                }
                drop(writer);
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        self
    }

    /// Sends a frame; an empty one is a heartbeat.
    pub fn send_frame(&self, frame: &[u8]) {
        write_frame(&self.writer, frame).expect("the link is open");
    }

    pub fn send(&self, message: &MeshMessage) {
        self.send_frame(&encode_frame(message));
    }

    /// Reads a frame; empty if it is a heartbeat, an error once the link is closed.
    pub fn read_frame(&mut self) -> io::Result<Vec<u8>> {
        let mut length = [0; 4];
        self.stream.read_exact(&mut length)?;
        let length = usize::try_from(u32::from_le_bytes(length)).expect("a small frame");
        let mut frame = vec![0; length];
        self.stream.read_exact(&mut frame)?;
        Ok(frame)
    }

    /// Returns the messages that arrive within a time, and a little longer until a heartbeat.
    pub fn read_for(&mut self, time: Duration) -> Vec<MeshMessage> {
        let start = Instant::now();
        let mut messages = Vec::new();
        while start.elapsed() < time {
            let frame = self.read_frame().expect("an open link");
            if !frame.is_empty() {
                messages.push(decode_frame(&frame).expect("a message"));
            }
        }
        messages
    }
}

fn write_frame(writer: &Mutex<TcpStream>, frame: &[u8]) -> io::Result<()> {
    let length = u32::try_from(frame.len()).expect("a small frame");
    let bytes = [&length.to_le_bytes(), frame].concat();
    writer.lock().expect("no panic").write_all(&bytes)
}
