//! Links between VMs whose addresses become known while they run.
//!
//! A link is a TCP connection with framed messages in both directions. Either side closes one on which
//! nothing arrives for a while, so a connection that went silent is noticed, and the dialling side opens
//! the next one.

mod table;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Result, anyhow, bail};
use merlinrudder_core::names::VmId;
use merlinrudder_wire::mesh::{MAX_FRAME_BYTES, MeshMessage, decode_frame, encode_frame};
use merlinrudder_wire::peers::WirePeer;
use slog::{Logger, debug, info, o, warn};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use self::table::{Queue, Table};
use crate::metrics;
use crate::sockets;

/// Time between two signs of life on a link.
const BEAT_PERIOD: Duration = Duration::from_millis(250);
/// Time without any byte after which a link is closed; four signs of life.
const SILENCE: Duration = Duration::from_secs(1);
/// Time to open a link.
const OPEN_TIME: Duration = Duration::from_millis(600);
/// Time before a closed link is opened again.
const REOPEN_WAIT: Duration = Duration::from_millis(150);
/// Time before an address that does not answer is tried again.
const FAILED_WAIT: Duration = Duration::from_millis(500);
/// Failed tries in a row after which an address that is no seed is forgotten.
const MAX_FAILURES: u32 = 120;
/// Messages that wait for one link before further ones are dropped.
const QUEUE_MESSAGES: usize = 1024;
/// Bytes read ahead on a link.
const READ_BUFFER_BYTES: usize = 4096;

/// What happens on links.
#[derive(Debug)]
pub enum LinkEvent {
    /// The first link to a VM is open.
    Up(WirePeer),
    /// The last link to a VM is closed.
    Down(VmId),
    /// A message came.
    Message(VmId, MeshMessage),
}

/// Takes what happens on links; must not block.
pub type Deliver = Arc<dyn Fn(LinkEvent) + Send + Sync>;

/// Handle of the running links.
#[derive(Clone)]
pub struct Links {
    shared: Arc<Shared>,
}

struct Shared {
    own: WirePeer,
    table: Table,
    deliver: Deliver,
    log: Logger,
}

impl std::fmt::Debug for Links {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Links")
            .field("own", &self.shared.own)
            .finish()
    }
}

impl Links {
    /// Accepts links on the own address; runs on the current tokio runtime.
    ///
    /// # Errors
    /// Fails where the address cannot be bound.
    pub async fn bind(own: WirePeer, deliver: Deliver, log: &Logger) -> Result<Self> {
        let listener = TcpListener::bind(own.address).await?;
        let log = log.new(o!("part" => "links"));
        let shared = Arc::new(Shared {
            own,
            table: Table::default(),
            deliver,
            log,
        });
        tokio::spawn(accept(Arc::clone(&shared), listener));
        Ok(Self { shared })
    }

    /// Keeps a link open to the VM at an address; must run on the runtime of `bind`.
    pub fn dial(&self, address: SocketAddr, seed: bool) {
        let own = address == self.shared.own.address;
        if !own && self.shared.table.start_dialling(address) {
            tokio::spawn(dial(Arc::clone(&self.shared), address, seed));
        }
    }

    /// Sends a message; it is dropped and counted where there is no link or it does not keep up.
    pub fn send(&self, to: &VmId, message: &MeshMessage) {
        let frame = encode_frame(message);
        let bytes = frame.len();
        if self.shared.table.send(to, frame) {
            metrics::count_mesh_sent(bytes);
        } else {
            metrics::count_mesh_dropped();
        }
    }

    /// Returns every VM with an open link.
    #[must_use]
    pub fn peers(&self) -> Vec<WirePeer> {
        self.shared.table.peers()
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, remote)) => {
                tokio::spawn(serve(Arc::clone(&shared), stream, remote));
            }
            Err(error) => {
                warn!(shared.log, "Accepting a link failed"; "error" => %error);
                sleep(REOPEN_WAIT).await;
            }
        }
    }
}

async fn dial(shared: Arc<Shared>, address: SocketAddr, seed: bool) {
    let mut failures = 0;
    while seed || failures < MAX_FAILURES {
        let opened = timeout(OPEN_TIME, TcpStream::connect(address)).await;
        if let Ok(Ok(stream)) = opened {
            failures = 0;
            serve(Arc::clone(&shared), stream, address).await;
            sleep(REOPEN_WAIT).await;
        } else {
            failures += 1;
            sleep(FAILED_WAIT).await;
        }
    }
    shared.table.stop_dialling(address);
    info!(shared.log, "Forgot an address that does not answer"; "address" => %address);
}

/// Carries a link until it ends.
async fn serve(shared: Arc<Shared>, stream: TcpStream, remote: SocketAddr) {
    if let Err(error) = carry(&shared, stream).await {
        debug!(shared.log, "A link ended"; "remote" => %remote, "error" => %error);
    }
}

async fn carry(shared: &Shared, stream: TcpStream) -> Result<()> {
    sockets::tune(&stream)?;
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, reader);
    let join = MeshMessage::Handshake(shared.own.clone());
    write_frame(&mut writer, &encode_frame(&join)).await?;
    let Some(MeshMessage::Handshake(peer)) = read_message(&mut reader).await? else {
        bail!("the first message is no introduction");
    };
    let vm = peer.vm_id();
    let (queue, frames) = mpsc::channel(QUEUE_MESSAGES);
    let (id, first) = shared.table.open(&peer, Queue::new(queue));
    if first {
        info!(shared.log, "Link open"; "peer" => %vm, "address" => %peer.address);
        (shared.deliver)(LinkEvent::Up(peer));
    }
    let ended = tokio::select! {
        ended = read_all(shared, &vm, &mut reader) => ended,
        ended = write_all(&mut writer, frames) => ended,
    };
    if shared.table.close(&vm, id) {
        let reason = ended.as_ref().err().map(ToString::to_string);
        info!(shared.log, "Link lost"; "peer" => %vm, "reason" => reason);
        (shared.deliver)(LinkEvent::Down(vm));
    }
    ended
}

async fn read_all(shared: &Shared, vm: &VmId, reader: &mut BufReader<OwnedReadHalf>) -> Result<()> {
    loop {
        if let Some(message) = read_message(reader).await? {
            (shared.deliver)(LinkEvent::Message(vm.clone(), message));
        }
    }
}

/// Reads one frame; `None` is a sign of life.
async fn read_message(reader: &mut BufReader<OwnedReadHalf>) -> Result<Option<MeshMessage>> {
    let mut length = [0; 4];
    read_in_time(reader, &mut length).await?;
    let length = usize::try_from(u32::from_le_bytes(length))?;
    if length == 0 {
        return Ok(None);
    }
    if length > MAX_FRAME_BYTES {
        bail!("a frame of {length} bytes is too large");
    }
    let mut frame = vec![0; length];
    read_in_time(reader, &mut frame).await?;
    Ok(Some(decode_frame(&frame)?))
}

/// Fills a buffer; the link counts as silent where no byte arrives in time.
async fn read_in_time(reader: &mut BufReader<OwnedReadHalf>, buffer: &mut [u8]) -> Result<()> {
    let mut filled = 0;
    while filled < buffer.len() {
        let read = timeout(SILENCE, reader.read(&mut buffer[filled..])).await;
        match read.map_err(|_elapsed| anyhow!("silent"))?? {
            0 => bail!("closed by the peer"),
            bytes => filled += bytes,
        }
    }
    Ok(())
}

async fn write_all(writer: &mut OwnedWriteHalf, mut frames: mpsc::Receiver<Vec<u8>>) -> Result<()> {
    loop {
        match timeout(BEAT_PERIOD, frames.recv()).await {
            Ok(Some(frame)) => write_frame(writer, &frame).await?,
            Ok(None) => bail!("closed here"),
            Err(_) => write_frame(writer, &[]).await?,
        }
    }
}

async fn write_frame(writer: &mut OwnedWriteHalf, frame: &[u8]) -> Result<()> {
    let mut bytes = Vec::with_capacity(frame.len() + 4);
    bytes.extend(u32::try_from(frame.len())?.to_le_bytes());
    bytes.extend(frame);
    let mut rest = bytes.as_slice();
    while !rest.is_empty() {
        let written = timeout(SILENCE, writer.write(rest)).await;
        let written = written.map_err(|_elapsed| anyhow!("the peer takes nothing"))??;
        rest = &rest[written..];
    }
    Ok(())
}
