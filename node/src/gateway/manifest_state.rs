//! State of an entry VM that brings newer manifests into force.

use std::cell::{Cell, RefCell};
use std::sync::{Arc, Mutex};

use merlinrudder_core::control::PublishedManifest;
use merlinrudder_core::control_contact::ControlContact;
use merlinrudder_core::manifest_pull::ManifestPull;
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_platform::config::ConfigReader;
use tokio::sync::Notify;

use super::manifest_watch::ManifestWatch;

/// What an entry VM knows of manifests besides the deployment that is in force.
#[derive(Debug)]
pub(super) struct ManifestState {
    /// Document of the manifest in force, on which differences build.
    ///
    /// `None` as well after one that could not be decoded, so that a whole one is requested.
    pub(super) document: RefCell<Option<PublishedManifest>>,
    /// Decodes documents; used on other threads, by one at a time.
    pub(super) reader: Arc<Mutex<ConfigReader>>,
    /// Chooses the VM to request a newer manifest from.
    pub(super) pull: RefCell<ManifestPull>,
    /// Wakes the task that requests manifests, once what it knows has changed.
    pub(super) wake: Notify,
    /// Wakes requests that wait for a newer manifest or its confirmation.
    pub(super) changed: Notify,
    /// Times of what was heard and asked of newer manifests, for logs and metrics.
    pub(super) watch: RefCell<ManifestWatch>,
    /// Whether the manifest in force was confirmed as the newest.
    ///
    /// Set by a control VM in contact with the leader, and never reset.
    pub(super) confirmed: Cell<bool>,
    /// What control VMs in contact with the leader tell of the newest manifest.
    pub(super) contact: RefCell<ControlContact>,
}

impl ManifestState {
    /// Creates the state of a VM without a manifest.
    pub(super) fn new(vm: VmId, now: Moment) -> Self {
        Self {
            document: RefCell::default(),
            reader: Arc::default(),
            pull: RefCell::new(ManifestPull::new(vm)),
            wake: Notify::new(),
            changed: Notify::new(),
            watch: RefCell::default(),
            confirmed: Cell::new(false),
            contact: RefCell::new(ControlContact::new(now)),
        }
    }
}
