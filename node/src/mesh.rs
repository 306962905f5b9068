//! Mesh: messages between the configured VMs over QUIC with mutual TLS.
//!
//! Each VM opens its own connection to every other VM and sends on it only. A stream carries
//! frames, each with its length in front: the sender's id, then one frame for each message.

pub mod tls;

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::{Context, Result, anyhow, bail};
use merlinrudder_core::names::VmId;
use merlinrudder_wire::mesh::{MAX_FRAME_BYTES, MeshMessage, decode_frame, encode_frame};
use quinn::{Connection, Endpoint, RecvStream, SendStream, TokioRuntime};
use slog::{Logger, debug, info, o, warn};
use tokio::runtime::Builder;
use tokio::sync::mpsc;

use crate::metrics::{count_mesh_dropped, count_mesh_sent};
use crate::options::settings::PeerSettings;

/// Messages that may wait for one peer; further ones are dropped.
const MAX_QUEUED_MESSAGES: usize = 4096;
/// Timeout for connecting to a peer.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed connection attempt; messages queued meanwhile are dropped.
const CONNECT_FAILURE_DELAY: Duration = Duration::from_millis(100);
/// Timeout for writing a frame below `MIN_BULK_BYTES` to its stream.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Size from which a frame gets its own stream.
///
/// On the shared stream it would delay other messages.
const MIN_BULK_BYTES: usize = 64 * 1024;

/// Handle for sending messages to the other VMs.
#[derive(Clone, Debug)]
pub struct Mesh {
    queues: Arc<HashMap<VmId, mpsc::Sender<PeerCommand>>>,
    local_addr: SocketAddr,
}

#[derive(Debug)]
enum PeerCommand {
    Send(Box<MeshMessage>),
    Disconnect,
}

/// Callback for a received message and its sender's id, which the certificate proves.
pub type MessageHandler = Arc<dyn Fn(VmId, MeshMessage) + Send + Sync>;

impl Mesh {
    /// Binds the UDP socket and starts the mesh thread.
    ///
    /// # Errors
    /// Fails if the address cannot be bound or the certificate and keys are unusable.
    pub fn bind(
        local_vm: &VmId,
        address: SocketAddr,
        peers: &[PeerSettings],
        keys: &tls::MeshKeys,
        log: &Logger,
        handler: MessageHandler,
    ) -> Result<Self> {
        let log = log.new(o!("part" => "mesh"));
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let guard = runtime.enter();
        let socket = UdpSocket::bind(address)
            .with_context(|| format!("cannot listen on {address} for other VMs"))?;
        let mut endpoint = Endpoint::new(
            keys.endpoint_config(),
            Some(keys.server_config()?),
            socket,
            Arc::new(TokioRuntime),
        )?;
        endpoint.set_default_client_config(keys.client_config()?);
        let local_addr = endpoint.local_addr()?;
        let mut queues = HashMap::new();
        for peer in peers {
            let (sender, commands) = mpsc::channel(MAX_QUEUED_MESSAGES);
            let peer_sender = PeerSender {
                endpoint: endpoint.clone(),
                local_vm: local_vm.clone(),
                peer: peer.config.vm.clone(),
                address: peer.address,
                log: log.clone(),
            };
            runtime.spawn(peer_sender.run(commands));
            queues.insert(peer.config.vm.clone(), sender);
        }
        drop(guard);
        thread::Builder::new()
            .name("mesh".to_owned())
            .spawn(move || runtime.block_on(accept(endpoint, log, handler)))?;
        Ok(Self {
            queues: Arc::new(queues),
            local_addr,
        })
    }

    /// Returns the bound UDP address.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Queues a message for a VM.
    ///
    /// It is dropped and counted if the VM is no peer or its queue is full.
    pub fn send(&self, to: &VmId, message: MeshMessage) {
        self.enqueue(to, PeerCommand::Send(Box::new(message)));
    }

    /// Closes the connection to a peer that restarted or may be dead.
    pub fn disconnect(&self, peer: &VmId) {
        self.enqueue(peer, PeerCommand::Disconnect);
    }

    fn enqueue(&self, to: &VmId, command: PeerCommand) {
        let queue = self.queues.get(to);
        if queue.is_none_or(|queue| queue.try_send(command).is_err()) {
            count_mesh_dropped();
        }
    }
}

/// Task that sends messages to one peer.
struct PeerSender {
    endpoint: Endpoint,
    local_vm: VmId,
    peer: VmId,
    address: SocketAddr,
    log: Logger,
}

struct OpenConnection {
    connection: Connection,
    /// Stream for all frames below `MIN_BULK_BYTES`.
    stream: SendStream,
}

impl PeerSender {
    async fn run(self, mut commands: mpsc::Receiver<PeerCommand>) {
        let mut open: Option<OpenConnection> = None;
        while let Some(command) = commands.recv().await {
            let message = match command {
                PeerCommand::Send(message) => message,
                PeerCommand::Disconnect => {
                    close(open.take());
                    continue;
                }
            };
            if open
                .as_ref()
                .is_some_and(|open| open.connection.close_reason().is_some())
            {
                open = None;
            }
            if open.is_none() {
                open = self.reconnect(&mut commands).await;
            }
            let Some(current) = open.as_mut() else {
                count_mesh_dropped();
                continue;
            };
            if let Err(error) = self.write(current, &message).await {
                debug!(self.log, "Failed to send message"; "peer" => %self.peer, "error" => %error);
                count_mesh_dropped();
                close(open.take());
            }
        }
    }

    async fn reconnect(
        &self,
        commands: &mut mpsc::Receiver<PeerCommand>,
    ) -> Option<OpenConnection> {
        match tokio::time::timeout(PEER_CONNECT_TIMEOUT, self.connect()).await {
            Ok(Ok(open)) => Some(open),
            Ok(Err(error)) => {
                debug!(self.log, "Failed to connect to peer"; "peer" => %self.peer,
                    "error" => %error);
                tokio::time::sleep(CONNECT_FAILURE_DELAY).await;
                drop_queued(commands);
                None
            }
            Err(_) => {
                drop_queued(commands);
                None
            }
        }
    }

    async fn connect(&self) -> Result<OpenConnection> {
        let connection = self
            .endpoint
            .connect(self.address, self.peer.as_str())?
            .await?;
        let mut stream = connection.open_uni().await?;
        write_frame(&mut stream, self.local_vm.as_str().as_bytes()).await?;
        Ok(OpenConnection { connection, stream })
    }

    async fn write(&self, open: &mut OpenConnection, message: &MeshMessage) -> Result<()> {
        let frame = encode_frame(message);
        count_mesh_sent(frame.len());
        if frame.len() < MIN_BULK_BYTES {
            return tokio::time::timeout(WRITE_TIMEOUT, write_frame(&mut open.stream, &frame))
                .await?;
        }
        let mut stream = open.connection.open_uni().await?;
        let local_vm = self.local_vm.clone();
        // A bulk transfer has no timeout. If it fails, the receiver requests it again.
        tokio::spawn(async move {
            write_frame(&mut stream, local_vm.as_str().as_bytes()).await?;
            write_frame(&mut stream, &frame).await?;
            stream.finish()?;
            anyhow::Ok(())
        });
        Ok(())
    }
}

fn close(open: Option<OpenConnection>) {
    if let Some(open) = open {
        open.connection.close(0u32.into(), b"disconnect");
    }
}

/// Drops queued messages, which would be outdated once the peer can be reached again.
fn drop_queued(commands: &mut mpsc::Receiver<PeerCommand>) {
    while commands.try_recv().is_ok() {
        count_mesh_dropped();
    }
}

/// Writes the frame's length as a little-endian `u32`, then the frame.
async fn write_frame(stream: &mut SendStream, frame: &[u8]) -> Result<()> {
    let length = u32::try_from(frame.len())?;
    stream.write_all(&length.to_le_bytes()).await?;
    stream.write_all(frame).await?;
    Ok(())
}

/// Reads one frame of at most `max_bytes`; `None` at the end of the stream.
async fn read_frame(stream: &mut RecvStream, max_bytes: usize) -> Result<Option<Vec<u8>>> {
    let mut length = [0; 4];
    match stream.read_exact(&mut length).await {
        Ok(()) => {}
        Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(None),
        Err(error) => return Err(error.into()),
    }
    let length = usize::try_from(u32::from_le_bytes(length))?;
    if length > max_bytes {
        bail!("frame of {length} bytes exceeds the limit of {max_bytes}");
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    Ok(Some(frame))
}

async fn accept(endpoint: Endpoint, log: Logger, handler: MessageHandler) {
    while let Some(incoming) = endpoint.accept().await {
        let log = log.clone();
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => serve(connection, log, handler).await,
                Err(error) => warn!(log, "Incoming connection failed"; "error" => %error),
            }
        });
    }
}

async fn serve(connection: Connection, log: Logger, handler: MessageHandler) {
    while let Ok(stream) = connection.accept_uni().await {
        let connection = connection.clone();
        let log = log.clone();
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            if let Err(error) = read_stream(&connection, stream, &handler).await {
                let remote = connection.remote_address();
                info!(log, "Incoming stream failed"; "remote" => %remote, "error" => %error);
            }
        });
    }
}

/// Reads the sender's id, verifies that its certificate is for this id, and delivers messages.
async fn read_stream(
    connection: &Connection,
    mut stream: RecvStream,
    handler: &MessageHandler,
) -> Result<()> {
    // A VM id has at most 63 bytes.
    let sender = read_frame(&mut stream, 64)
        .await?
        .ok_or_else(|| anyhow!("stream ended before the sender's id"))?;
    let sender = String::from_utf8(sender)?;
    tls::verify_peer_id(connection, &sender)?;
    let from = VmId::from(sender);
    while let Some(frame) = read_frame(&mut stream, MAX_FRAME_BYTES).await? {
        handler(from.clone(), decode_frame(&frame)?);
    }
    Ok(())
}
