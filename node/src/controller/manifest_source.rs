//! Answers entry VMs that ask for a newer manifest, with differences where they know the one before.

use std::sync::Arc;

use merlinrudder_core::control::PublishedManifest;
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::manifest_history::{ManifestHistory, ManifestStep};
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;
use merlinrudder_wire::compression::compress;
use merlinrudder_wire::manifest_update::WireManifestUpdate;
use merlinrudder_wire::mesh::MeshMessage;
use slog::info;

use super::state::Controller;
use crate::digest::sha256;
use crate::metrics;

/// The newest manifest in the forms in which it is sent.
#[derive(Debug, Default)]
pub(super) struct ManifestSource {
    newest: Option<Newest>,
    history: ManifestHistory,
}

#[derive(Debug)]
struct Newest {
    manifest: PublishedManifest,
    digest: ContentDigest,
    /// The whole document, compressed once a VM needs it.
    whole: Option<ManifestStep>,
}

impl ManifestSource {
    /// Returns the number of the newest recorded manifest; 0 if there is none.
    pub(super) fn number(&self) -> ManifestNumber {
        let newest = self.newest.as_ref();
        newest.map_or(ManifestNumber(0), |newest| newest.manifest.number)
    }

    /// Records that this VM has applied a manifest; returns the size of its step, if it has one.
    pub(super) fn record(&mut self, manifest: &PublishedManifest) -> Option<usize> {
        let earlier = self.newest.replace(Newest {
            manifest: manifest.clone(),
            digest: sha256(&manifest.bytes),
            whole: None,
        });
        let step = new_step(&earlier?.manifest, manifest);
        let bytes = step.data.len();
        self.history.record(step);
        Some(bytes)
    }

    /// Returns how the newest manifest differs from `have`; the whole one if that is not known.
    ///
    /// Returns `None` if `have` is not older.
    fn update_since(&mut self, have: ManifestNumber) -> Option<WireManifestUpdate> {
        let newest = self.newest.as_mut().filter(|n| n.manifest.number > have)?;
        let limit = newest.manifest.bytes.len();
        let steps = self.history.steps_since(have, limit);
        let steps = steps.unwrap_or_else(|| vec![newest.whole_step()]);
        Some(WireManifestUpdate::new(newest.digest, steps))
    }
}

impl Newest {
    fn whole_step(&mut self) -> ManifestStep {
        let whole = self.whole.get_or_insert_with(|| {
            let nothing = PublishedManifest {
                number: ManifestNumber(0),
                bytes: Arc::from([]),
            };
            new_step(&nothing, &self.manifest)
        });
        whole.clone()
    }
}

fn new_step(base: &PublishedManifest, manifest: &PublishedManifest) -> ManifestStep {
    ManifestStep {
        base: base.number,
        number: manifest.number,
        length: manifest.bytes.len(),
        data: Arc::from(compress(&manifest.bytes, &base.bytes)),
    }
}

impl Controller {
    /// Sends the newest manifest, if it is newer than `have`.
    pub(super) fn send_manifest(&mut self, now: Moment, to: &VmId, have: u64) {
        if !self
            .links
            .supports(to, |features| features.manifest_updates)
        {
            self.send_whole_manifest(now, to, have);
            return;
        }
        if let Some(update) = self.manifests.update_since(ManifestNumber(have)) {
            metrics::count_manifest_sent(update.base() == ManifestNumber(0), update.bytes());
            info!(self.log, "Manifest sent"; "number" => update.number, "to" => %to, "have" => have,
                "base" => update.base().0, "steps" => update.step_count(), "bytes" => update.bytes());
            self.send(to, &MeshMessage::ManifestUpdate(update));
        }
    }

    /// Sends the newest manifest to a VM of an earlier version.
    fn send_whole_manifest(&self, now: Moment, to: &VmId, have: u64) {
        let newest = self.replica.state.manifest.as_ref();
        let Some(manifest) = newest.filter(|manifest| manifest.number.0 > have) else {
            return;
        };
        metrics::count_manifest_sent(true, manifest.bytes.len());
        let message = MeshMessage::Manifest {
            number: manifest.number.0,
            bytes: Arc::clone(&manifest.bytes),
            current: self.has_leader_contact(now),
        };
        self.send(to, &message);
    }
}
