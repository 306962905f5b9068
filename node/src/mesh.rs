//! The mesh: messages between the VMs over QUIC, with certificates on both sides.

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

/// Messages that wait for one peer before further ones are dropped.
const QUEUE_MESSAGES: usize = 4096;
/// Time to reach a peer.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Time after a failed connection in which messages to the peer are dropped.
const RECONNECT_WAIT: Duration = Duration::from_millis(100);
/// Time in which a message must be taken by the peer's transport.
const WRITE_TIME: Duration = Duration::from_secs(2);
/// Frames from this size on go on a stream of their own, so that they hold nothing up.
const BULK_BYTES: usize = 64 * 1024;

/// Handle of the running mesh.
#[derive(Clone, Debug)]
pub struct Mesh {
    queues: Arc<HashMap<VmId, mpsc::Sender<PeerCommand>>>,
    local: SocketAddr,
}

#[derive(Debug)]
enum PeerCommand {
    Send(Box<MeshMessage>),
    Disconnect,
}

/// What the mesh hands on: a message and the VM whose certificate it came with.
pub type Deliver = Arc<dyn Fn(VmId, MeshMessage) + Send + Sync>;

impl Mesh {
    /// Binds the socket and starts the mesh thread.
    ///
    /// # Errors
    /// Fails where the address cannot be bound or the keys do not fit.
    pub fn bind(
        own: &VmId,
        address: SocketAddr,
        peers: &[PeerSettings],
        keys: &tls::MeshKeys,
        log: &Logger,
        deliver: Deliver,
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
        let local = endpoint.local_addr()?;
        let mut queues = HashMap::new();
        for peer in peers {
            let (sender, commands) = mpsc::channel(QUEUE_MESSAGES);
            let link = Link {
                endpoint: endpoint.clone(),
                own: own.clone(),
                peer: peer.listed.vm.clone(),
                address: peer.address,
                log: log.clone(),
            };
            runtime.spawn(link.run(commands));
            queues.insert(peer.listed.vm.clone(), sender);
        }
        drop(guard);
        thread::Builder::new()
            .name("mesh".to_owned())
            .spawn(move || runtime.block_on(accept(endpoint, log, deliver)))?;
        Ok(Self {
            queues: Arc::new(queues),
            local,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn local(&self) -> SocketAddr {
        self.local
    }

    /// Sends a message; it is dropped and counted where the peer does not keep up.
    pub fn send(&self, to: &VmId, message: MeshMessage) {
        self.command(to, PeerCommand::Send(Box::new(message)));
    }

    /// Drops the connection to a peer that is a new process or may be dead.
    pub fn disconnect(&self, peer: &VmId) {
        self.command(peer, PeerCommand::Disconnect);
    }

    fn command(&self, to: &VmId, command: PeerCommand) {
        let queue = self.queues.get(to);
        if queue.is_none_or(|queue| queue.try_send(command).is_err()) {
            count_mesh_dropped();
        }
    }
}

/// The sending side towards one peer.
struct Link {
    endpoint: Endpoint,
    own: VmId,
    peer: VmId,
    address: SocketAddr,
    log: Logger,
}

struct Open {
    connection: Connection,
    stream: SendStream,
}

impl Link {
    async fn run(self, mut commands: mpsc::Receiver<PeerCommand>) {
        let mut open: Option<Open> = None;
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
                debug!(self.log, "Sending failed"; "peer" => %self.peer, "error" => %error);
                count_mesh_dropped();
                close(open.take());
            }
        }
    }

    async fn reconnect(&self, commands: &mut mpsc::Receiver<PeerCommand>) -> Option<Open> {
        match tokio::time::timeout(CONNECT_TIME, self.connect()).await {
            Ok(Ok(open)) => Some(open),
            Ok(Err(error)) => {
                debug!(self.log, "No connection"; "peer" => %self.peer, "error" => %error);
                tokio::time::sleep(RECONNECT_WAIT).await;
                drop_waiting(commands);
                None
            }
            Err(_) => {
                drop_waiting(commands);
                None
            }
        }
    }

    async fn connect(&self) -> Result<Open> {
        let connection = self
            .endpoint
            .connect(self.address, self.peer.as_str())?
            .await?;
        let mut stream = connection.open_uni().await?;
        write_bytes(&mut stream, self.own.as_str().as_bytes()).await?;
        Ok(Open { connection, stream })
    }

    async fn write(&self, open: &mut Open, message: &MeshMessage) -> Result<()> {
        let frame = encode_frame(message);
        count_mesh_sent(frame.len());
        if frame.len() < BULK_BYTES {
            return tokio::time::timeout(WRITE_TIME, write_bytes(&mut open.stream, &frame)).await?;
        }
        let mut stream = open.connection.open_uni().await?;
        let own = self.own.clone();
        // A bulk transfer takes its own time; a failed one is asked for again by its receiver.
        tokio::spawn(async move {
            write_bytes(&mut stream, own.as_str().as_bytes()).await?;
            write_bytes(&mut stream, &frame).await?;
            stream.finish()?;
            anyhow::Ok(())
        });
        Ok(())
    }
}

fn close(open: Option<Open>) {
    if let Some(open) = open {
        open.connection.close(0u32.into(), b"disconnect");
    }
}

/// Messages that waited for a peer that cannot be reached are old by the time it can be.
fn drop_waiting(commands: &mut mpsc::Receiver<PeerCommand>) {
    while commands.try_recv().is_ok() {
        count_mesh_dropped();
    }
}

async fn write_bytes(stream: &mut SendStream, bytes: &[u8]) -> Result<()> {
    let length = u32::try_from(bytes.len())?;
    stream.write_all(&length.to_le_bytes()).await?;
    stream.write_all(bytes).await?;
    Ok(())
}

async fn read_bytes(stream: &mut RecvStream, most: usize) -> Result<Option<Vec<u8>>> {
    let mut length = [0; 4];
    match stream.read_exact(&mut length).await {
        Ok(()) => {}
        Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(None),
        Err(error) => return Err(error.into()),
    }
    let length = usize::try_from(u32::from_le_bytes(length))?;
    if length > most {
        bail!("a frame of {length} bytes is too large");
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    Ok(Some(bytes))
}

async fn accept(endpoint: Endpoint, log: Logger, deliver: Deliver) {
    while let Some(incoming) = endpoint.accept().await {
        let log = log.clone();
        let deliver = Arc::clone(&deliver);
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => serve(connection, log, deliver).await,
                Err(error) => warn!(log, "Refused a connection"; "error" => %error),
            }
        });
    }
}

async fn serve(connection: Connection, log: Logger, deliver: Deliver) {
    while let Ok(stream) = connection.accept_uni().await {
        let connection = connection.clone();
        let log = log.clone();
        let deliver = Arc::clone(&deliver);
        tokio::spawn(async move {
            if let Err(error) = read_stream(&connection, stream, &deliver).await {
                let remote = connection.remote_address();
                info!(log, "A stream ended"; "remote" => %remote, "error" => %error);
            }
        });
    }
}

/// Reads the sender's name, holds its certificate against it, and delivers its messages.
async fn read_stream(
    connection: &Connection,
    mut stream: RecvStream,
    deliver: &Deliver,
) -> Result<()> {
    let name = read_bytes(&mut stream, 64)
        .await?
        .ok_or_else(|| anyhow!("no name was sent"))?;
    let name = String::from_utf8(name)?;
    tls::check_name(connection, &name)?;
    let from = VmId::from(name);
    while let Some(frame) = read_bytes(&mut stream, MAX_FRAME_BYTES).await? {
        deliver(from.clone(), decode_frame(&frame)?);
    }
    Ok(())
}
