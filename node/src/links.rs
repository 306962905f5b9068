//! Links between VMs that learn of each other at run time.
//!
//! A link is a TCP connection that carries length-prefixed frames in both directions. Either side
//! sends heartbeats and closes a link on which nothing arrives, so a dead connection is detected
//! while it is idle. One task visits all links for that, so an idle link needs no timer. The side
//! that dialled connects again. Of two entry VMs, the one with the lower address dials, and the
//! other one helps if no link opens.

mod address_source;
mod table;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::{Result, anyhow, bail};
use merlinrudder_core::link_policy::{
    DIAL_HELP_DELAY, IDLE_CHECK_INTERVAL, IdleLimits, LinkLoss, connect_retry_delay, dial_delay,
};
use merlinrudder_core::names::VmId;
use merlinrudder_wire::mesh::{
    MAX_FRAME_BYTES, MeshMessage, WireFeatures, compress_frame, decode_frame, decode_handshake,
    encode_frame, encode_handshake,
};
use merlinrudder_wire::peers::WirePeer;
use merlinrudder_wire::relay::WireRelay;
use slog::{Logger, debug, info, o, warn};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, SemaphorePermit, mpsc};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

pub use self::address_source::AddressSource;
use self::table::{LinkSignals, LinkTable, OpenLink};
use crate::metrics;
use crate::sockets;

/// Time in which the other VM of a new link must introduce itself.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a byte written, while some wait, after which a link is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to write a frame from which it is logged.
const SLOW_WRITE: Duration = Duration::from_millis(200);
/// Timeout for opening a TCP connection to another VM.
const LINK_CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before a closed link is opened again, and after a failed `accept`.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// Failed connection attempts in a row after which a non-seed address is given up.
const MAX_CONNECT_FAILURES: u32 = 120;
/// Messages that may wait for one link.
///
/// A message is dropped if no link to its VM has room.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// Links to other entry VMs that this VM opens at the same time.
const MAX_PAIR_DIALS: usize = 16;
/// Size of the read buffer of a link.
const READ_BUFFER_BYTES: usize = 4096;

/// Event on the links of this VM.
#[derive(Debug)]
pub enum LinkEvent {
    /// The first link to a VM was opened.
    Up(WirePeer),
    /// The last link to a VM was lost.
    Down(VmId, LinkLoss),
    /// A message arrived from a VM.
    Message(VmId, MeshMessage),
}

/// Callback for link events, called on the tokio runtime; must not block.
pub type LinkEventHandler = Arc<dyn Fn(LinkEvent) + Send + Sync>;

/// Handle for dialling other VMs and sending them messages.
#[derive(Clone)]
pub struct Links {
    shared: Arc<Shared>,
}

struct Shared {
    local_peer: WirePeer,
    features: WireFeatures,
    table: LinkTable,
    /// Permits to open a link to another entry VM.
    pair_dials: Semaphore,
    handler: LinkEventHandler,
    log: Logger,
}

impl std::fmt::Debug for Links {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Links")
            .field("own", &self.shared.local_peer)
            .finish()
    }
}

impl Links {
    /// Accepts links on the address of `local_peer`, on the current tokio runtime.
    ///
    /// The other VMs are told the `features` of this one.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn bind(
        local_peer: WirePeer,
        features: WireFeatures,
        handler: LinkEventHandler,
        log: &Logger,
    ) -> Result<Self> {
        let listener = TcpListener::bind(local_peer.address).await?;
        let log = log.new(o!("part" => "links"));
        let shared = Arc::new(Shared {
            local_peer,
            features,
            table: LinkTable::default(),
            pair_dials: Semaphore::new(MAX_PAIR_DIALS),
            handler,
            log,
        });
        tokio::spawn(accept(Arc::clone(&shared), listener));
        tokio::spawn(check_idle(Arc::clone(&shared)));
        Ok(Self { shared })
    }

    /// Connects to a VM and reconnects whenever the link is lost.
    ///
    /// An address of the settings is never given up, another one is after `MAX_CONNECT_FAILURES`.
    /// Must be called on the runtime of `bind`.
    pub fn dial(&self, address: SocketAddr, source: AddressSource) {
        let is_local = address == self.shared.local_peer.address;
        if !is_local && self.shared.table.start_dialling(address).is_some() {
            info!(self.shared.log, "Dialling a control VM"; "address" => %address,
                "source" => source.name());
            let seed = source == AddressSource::Settings;
            tokio::spawn(dial(Arc::clone(&self.shared), address, seed));
        }
    }

    /// Keeps one link to a VM that knows this one as well, and dials it too.
    ///
    /// The VM with the lower address dials whenever there is no link, the other one only after
    /// `DIAL_HELP_DELAY` without one. At most `MAX_PAIR_DIALS` are opened at a time, in the order of
    /// the calls. An unreachable address is given up after
    /// `MAX_CONNECT_FAILURES`. Must be called on the runtime of `bind`.
    pub fn dial_pair(&self, address: SocketAddr) {
        self.keep_link(address, dial_delay(self.shared.local_peer.address, address));
    }

    /// Keeps one link to a VM that usually dials this one, as `dial_pair` does.
    ///
    /// This VM dials after `DIAL_HELP_DELAY` without a link, in case the other one does not know it.
    pub fn help_dial(&self, address: SocketAddr) {
        self.keep_link(address, DIAL_HELP_DELAY);
    }

    /// Dials an address whenever no link is open to its VM for `delay`.
    fn keep_link(&self, address: SocketAddr, delay: Duration) {
        if address == self.shared.local_peer.address {
            return;
        }
        if let Some(lost) = self.shared.table.start_dialling(address) {
            tokio::spawn(keep_link(Arc::clone(&self.shared), address, delay, lost));
        }
    }

    /// Queues a message for a VM.
    ///
    /// It is dropped and counted if no link to the VM has room in its queue.
    pub fn send(&self, to: &VmId, message: &MeshMessage) {
        self.send_all(std::slice::from_ref(to), message);
    }

    /// Queues a message for several VMs, as `send` does; encodes it once.
    pub fn send_all(&self, vms: &[VmId], message: &MeshMessage) {
        let frame = encode_frame(message);
        let compressed = compress_frame(&frame);
        for vm in vms {
            let compressed = compressed
                .as_ref()
                .filter(|_| self.supports(vm, |features| features.compressed_frames));
            let frame = compressed.unwrap_or(&frame);
            if self.shared.table.send(vm, frame.clone()) {
                metrics::count_mesh_sent(frame.len());
            } else {
                metrics::count_mesh_dropped();
            }
        }
    }

    /// Returns the linked VMs whose features match.
    #[must_use]
    pub fn vms_with(&self, matches: impl Fn(&WireFeatures) -> bool) -> Vec<VmId> {
        self.shared.table.vms_with(matches)
    }

    /// Returns where a VM accepts requests of others; `None` if it does not or is not linked.
    #[must_use]
    pub fn relay(&self, vm: &VmId) -> Option<WireRelay> {
        self.shared.table.features(vm)?.relay
    }

    /// Whether a VM is linked and its features match.
    #[must_use]
    pub fn supports(&self, vm: &VmId, matches: impl FnOnce(&WireFeatures) -> bool) -> bool {
        let features = self.shared.table.features(vm);
        features.is_some_and(|features| matches(&features))
    }

    /// Returns the number of open links; of two VMs that dialled each other both links count.
    #[must_use]
    pub fn count(&self) -> usize {
        self.shared.table.count()
    }

    /// Returns all VMs with an open link.
    #[must_use]
    pub fn peers(&self) -> Vec<WirePeer> {
        self.shared.table.peers()
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, remote)) => {
                let shared = Arc::clone(&shared);
                tokio::spawn(async move { serve(&shared, stream, remote, None).await });
            }
            Err(error) => {
                warn!(shared.log, "Failed to accept link"; "error" => %error);
                sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

async fn dial(shared: Arc<Shared>, address: SocketAddr, seed: bool) {
    let mut failures = 0;
    while seed || failures < MAX_CONNECT_FAILURES {
        failures = dial_once(&shared, address, failures, false).await;
    }
    give_up(&shared, address);
}

/// Dials whenever no link is open to a VM for `delay`.
async fn keep_link(shared: Arc<Shared>, address: SocketAddr, delay: Duration, lost: Arc<Notify>) {
    let mut failures = 0;
    while failures < MAX_CONNECT_FAILURES {
        wait_unlinked(&shared, address, delay, &lost).await;
        failures = dial_once(&shared, address, failures, true).await;
    }
    give_up(&shared, address);
}

/// Waits until a VM has had no link for `delay`; `lost` tells when it loses its last one.
async fn wait_unlinked(shared: &Shared, address: SocketAddr, delay: Duration, lost: &Notify) {
    loop {
        while shared.table.is_linked(address) {
            lost.notified().await;
        }
        // A link that was opened and lost meanwhile restarts the delay.
        let has_waited = timeout(delay, lost.notified()).await.is_err();
        if has_waited && !shared.table.is_linked(address) {
            return;
        }
    }
}

/// Connects, and runs the link until it is closed; returns the failed attempts in a row.
///
/// A link of a `pair` needs a permit to be opened. It is taken after the connection is made, so that
/// VMs that cannot be reached do not hold up the others.
async fn dial_once(shared: &Shared, address: SocketAddr, failures: u32, pair: bool) -> u32 {
    let connected = timeout(LINK_CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    if let Ok(Ok(stream)) = connected {
        let mut permit = None;
        if pair {
            // The semaphore is never closed, so this does not fail.
            permit = shared.pair_dials.acquire().await.ok();
        }
        // The other VM may have opened a link while this one waited for the permit.
        if !pair || !shared.table.is_linked(address) {
            serve(shared, stream, address, permit).await;
            sleep(RECONNECT_DELAY).await;
        }
        return 0;
    }
    let failures = failures + 1;
    sleep(connect_retry_delay(failures, fastrand::f64())).await;
    failures
}

fn give_up(shared: &Shared, address: SocketAddr) {
    shared.table.stop_dialling(address);
    info!(shared.log, "Gave up an unreachable address"; "address" => %address);
}

/// Runs a link until it is closed, and logs why.
async fn serve(
    shared: &Shared,
    stream: TcpStream,
    remote: SocketAddr,
    permit: Option<SemaphorePermit<'_>>,
) {
    if let Err(error) = run_link(shared, stream, permit).await {
        debug!(shared.log, "Link ended"; "remote" => %remote, "error" => %error);
    }
}

/// Exchanges `Handshake` messages, then messages in both directions until the link fails.
///
/// Returns the `permit` to open it after the handshakes.
async fn run_link(
    shared: &Shared,
    stream: TcpStream,
    permit: Option<SemaphorePermit<'_>>,
) -> Result<()> {
    sockets::set_tcp_options(&stream)?;
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, reader);
    let handshake = encode_handshake(&shared.local_peer, &shared.features);
    write_frame(&mut writer, &handshake).await?;
    let signals = Arc::new(LinkSignals::default());
    let reading = timeout(HANDSHAKE_TIMEOUT, read_frame(&mut reader, &signals));
    let frame = reading.await.map_err(|_elapsed| anyhow!("silent"))??;
    let frame = frame.ok_or_else(|| anyhow!("the first frame is empty"))?;
    let (peer, features) = decode_handshake(&frame)?;
    drop(permit);
    let vm = peer.vm_id();
    let (sender, frames) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let limits = if shared.local_peer.control || peer.control {
        IdleLimits::CONTROL
    } else {
        IdleLimits::ENTRY
    };
    let link = OpenLink::new(sender, Arc::clone(&signals), limits);
    let (id, is_first) = shared.table.open(&peer, features, link);
    metrics::set_open_links(shared.table.count());
    if is_first {
        info!(shared.log, "Link open"; "peer" => %vm, "address" => %peer.address);
        (shared.handler)(LinkEvent::Up(peer));
    }
    let (result, loss) = tokio::select! {
        result = read_messages(shared, &vm, &mut reader, &signals) => (result, LinkLoss::Closed),
        () = signals.silent.notified() => (Err(anyhow!("silent")), LinkLoss::Silent),
        result = write_frames(shared, &vm, &mut writer, frames) => {
            let loss = write_loss(&result);
            (result, loss)
        }
    };
    let was_last = shared.table.close(&vm, id);
    metrics::set_open_links(shared.table.count());
    if was_last {
        let reason = result.as_ref().err().map(ToString::to_string);
        info!(shared.log, "Link lost"; "peer" => %vm, "reason" => reason);
        (shared.handler)(LinkEvent::Down(vm, loss));
    }
    result
}

/// Returns how a link was lost on which a write failed.
///
/// A closed connection fails with an error of the system, a silent one with a timeout.
fn write_loss(result: &Result<()>) -> LinkLoss {
    let failed = result.as_ref().err();
    if failed.is_some_and(anyhow::Error::is::<std::io::Error>) {
        LinkLoss::Closed
    } else {
        LinkLoss::Silent
    }
}

async fn read_messages(
    shared: &Shared,
    vm: &VmId,
    reader: &mut BufReader<OwnedReadHalf>,
    signals: &LinkSignals,
) -> Result<()> {
    loop {
        if let Some(message) = read_message(reader, signals).await? {
            (shared.handler)(LinkEvent::Message(vm.clone(), message));
        }
    }
}

/// Reads and decodes one message; `None` is a heartbeat.
async fn read_message(
    reader: &mut BufReader<OwnedReadHalf>,
    signals: &LinkSignals,
) -> Result<Option<MeshMessage>> {
    let frame = read_frame(reader, signals).await?;
    Ok(frame.map(|frame| decode_frame(&frame)).transpose()?)
}

/// Reads one frame; `None` if it is empty, as a heartbeat is.
async fn read_frame(
    reader: &mut BufReader<OwnedReadHalf>,
    signals: &LinkSignals,
) -> Result<Option<Vec<u8>>> {
    let mut length = [0; 4];
    fill_buffer(reader, &mut length, signals).await?;
    let length = usize::try_from(u32::from_le_bytes(length))?;
    if length == 0 {
        return Ok(None);
    }
    if length > MAX_FRAME_BYTES {
        bail!("frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}");
    }
    let mut frame = vec![0; length];
    fill_buffer(reader, &mut frame, signals).await?;
    Ok(Some(frame))
}

/// Fills a buffer, and records that bytes arrive.
async fn fill_buffer(
    reader: &mut BufReader<OwnedReadHalf>,
    buffer: &mut [u8],
    signals: &LinkSignals,
) -> Result<()> {
    let mut filled = 0;
    while filled < buffer.len() {
        match reader.read(&mut buffer[filled..]).await? {
            0 => bail!("connection closed by the peer"),
            bytes => filled += bytes,
        }
        signals.received.store(true, Ordering::Relaxed);
    }
    Ok(())
}

/// Sends heartbeats on all idle links and closes silent ones, until the process exits.
async fn check_idle(shared: Arc<Shared>) {
    let mut ticks = interval(IDLE_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = Instant::now();
    loop {
        ticks.tick().await;
        let now = Instant::now();
        shared.table.check_idle(now.duration_since(last));
        last = now;
    }
}

/// Writes queued frames; an empty one is a heartbeat.
///
/// A frame that takes long is logged, as the frames behind it wait meanwhile.
async fn write_frames(
    shared: &Shared,
    vm: &VmId,
    writer: &mut OwnedWriteHalf,
    mut frames: mpsc::Receiver<Vec<u8>>,
) -> Result<()> {
    while let Some(frame) = frames.recv().await {
        let start = Instant::now();
        write_frame(writer, &frame).await?;
        let elapsed = start.elapsed();
        metrics::observe_frame_write(elapsed);
        if elapsed >= SLOW_WRITE {
            info!(shared.log, "Slow write to a link"; "peer" => %vm, "bytes" => frame.len(),
                "took_ms" => elapsed.as_millis(), "queued" => frames.len());
        }
    }
    bail!("frame queue closed")
}

/// Writes the frame's length as a little-endian `u32`, then the frame; empty for a heartbeat.
async fn write_frame(writer: &mut OwnedWriteHalf, frame: &[u8]) -> Result<()> {
    let mut bytes = Vec::with_capacity(frame.len() + 4);
    bytes.extend(u32::try_from(frame.len())?.to_le_bytes());
    bytes.extend(frame);
    let mut remaining = bytes.as_slice();
    while !remaining.is_empty() {
        let written = timeout(WRITE_TIMEOUT, writer.write(remaining)).await;
        let written = written.map_err(|_elapsed| anyhow!("write timed out"))??;
        remaining = &remaining[written..];
    }
    Ok(())
}
