//! What reaches the control thread of a control VM.

use std::sync::Arc;

use crossbeam::channel::Sender;
use merlinrudder_core::control::PublishedManifest;
use merlinrudder_core::directory::ServerRecord;
use merlinrudder_core::names::ServerId;
use tokio::sync::oneshot;

use crate::links::LinkEvent;
use crate::replica::disk::SyncReport;

/// An input of the control thread.
#[derive(Debug)]
pub(super) enum Input {
    /// Something happened on a link.
    Link(LinkEvent),
    /// The disk thread has synced something.
    Disk(SyncReport),
    /// An operator publishes a manifest that was checked whole.
    Publish(PublishedManifest, Reply<()>),
    /// An operator reads the newest manifest.
    Read(Reply<Arc<[u8]>>),
    /// A backend server tells that it is alive.
    Heartbeat(ServerRecord, Reply<()>),
    /// A backend server leaves; with the start of its incarnation where it tells that.
    Leave(ServerId, Option<u64>, Reply<()>),
    /// The process is about to stop.
    Stop,
}

/// Where an answer goes; dropped where there is none in time.
pub(super) type Reply<T> = oneshot::Sender<T>;

/// Handle by which others reach the control thread.
#[derive(Clone, Debug)]
pub(super) struct Inputs(Sender<Input>);

impl Inputs {
    pub(super) fn new(sender: Sender<Input>) -> Self {
        Self(sender)
    }

    /// Hands an input over; it is dropped only once the process ends.
    pub(super) fn send(&self, input: Input) {
        drop(self.0.send(input));
    }
}
