//! Distribution of manifests and quarantined contents from the control log to every VM.

use std::collections::HashSet;
use std::sync::Arc;

use merlinrudder_core::control::{PublishedManifest, is_newer_quarantine, quarantine_version};
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;
use merlinrudder_wire::manifest::parse_manifest;
use merlinrudder_wire::mesh::MeshMessage;
use slog::{error, info, warn};

use super::{ControlThread, to_shared_bytes};
use crate::constants::{CUT_OFF_TIMEOUT, MAX_BROADCAST_VMS, PULL_PERIOD};

/// Manifest and quarantine state that this VM has received.
#[derive(Debug, Default)]
pub(super) struct Manifests {
    /// Manifest in force on this VM; its number never decreases while the process runs.
    pub(super) in_force: Option<PublishedManifest>,
    /// When a leader last confirmed that no newer manifest was accepted.
    confirmed_at: Option<Moment>,
    /// Version of the list of quarantined contents known to this VM.
    quarantine_version: u64,
    next_pull: Moment,
    /// Whether this VM has announced to the others that it leaves.
    pub(super) leave_announced: bool,
}

impl Manifests {
    /// Returns the number of the manifest in force, or zero if there is none.
    pub(super) fn number(&self) -> ManifestNumber {
        self.in_force
            .as_ref()
            .map(|manifest| manifest.number)
            .unwrap_or_default()
    }

    /// Returns the last confirmation by a leader, if it was at least `CUT_OFF_TIMEOUT` ago.
    ///
    /// Without any confirmation, the time counts from `start`.
    pub(super) fn cut_off_since(&self, now: Moment, start: Moment) -> Option<Moment> {
        let last = self.confirmed_at.unwrap_or(start);
        (now.since(last) >= CUT_OFF_TIMEOUT).then_some(last)
    }
}

impl ControlThread {
    /// Pulls newer manifests and quarantined contents from the leader, if a pull is due.
    ///
    /// Without a known leader, the other VMs with a disk are asked in turn.
    ///
    /// A VM that holds the leader lease confirms its own state instead.
    pub(super) fn tick_manifests(&mut self, now: Moment) {
        if now < self.manifests.next_pull {
            return;
        }
        self.manifests.next_pull = now + PULL_PERIOD;
        if self.has_leader_lease(now) {
            self.mark_confirmed(now);
            return;
        }
        let unconfirmed = self
            .manifests
            .confirmed_at
            .is_none_or(|at| now.since(at) > PULL_PERIOD * 2);
        if unconfirmed {
            self.proposals.clear_leader_hint();
        }
        let target = self.leader_vm().or_else(|| self.proposals.next_target());
        let Some(target) = target.filter(|vm| *vm != self.local.vm) else {
            return;
        };
        let have = self.manifests.number().0;
        self.mesh.send(&target, MeshMessage::PullManifest { have });
        let have = self.manifests.quarantine_version;
        self.mesh
            .send(&target, MeshMessage::PullQuarantineList { have });
    }

    fn has_leader_lease(&self, now: Moment) -> bool {
        self.replica
            .as_ref()
            .is_some_and(|replica| replica.consensus.has_lease(now))
    }

    /// Records a confirmation by the leader.
    ///
    /// The VM becomes ready if it has a manifest and is not about to stop.
    fn mark_confirmed(&mut self, now: Moment) {
        self.manifests.confirmed_at = Some(now);
        let ready = self.manifests.in_force.is_some() && !self.unready;
        if ready && !self.published.load().ready {
            info!(self.log, "Ready"; "manifest" => self.manifests.number().0);
            self.published.update(|published| published.ready = true);
        }
    }

    /// Pulls the manifest of a VM that announced a newer number.
    pub(super) fn pull_if_newer(&mut self, vm: &VmId, number: ManifestNumber) {
        let have = self.manifests.number();
        if number > have {
            self.mesh
                .send(vm, MeshMessage::PullManifest { have: have.0 });
        }
    }

    /// Sends a manifest newer than `have`, or confirms as leader that there is none.
    pub(super) fn handle_manifest_pull(&mut self, now: Moment, from: &VmId, have: u64) {
        let current = self.has_leader_lease(now);
        let in_force = &self.manifests.in_force;
        let newer = in_force
            .as_ref()
            .filter(|manifest| manifest.number.0 > have);
        if newer.is_none() && !current {
            return;
        }
        let number = newer.map_or(self.manifests.number().0, |manifest| manifest.number.0);
        let bytes = newer.map_or_else(
            || to_shared_bytes(&[]),
            |manifest| Arc::clone(&manifest.bytes),
        );
        self.mesh.send(
            from,
            MeshMessage::Manifest {
                number,
                bytes,
                current,
            },
        );
    }

    /// Handles a manifest; `current` marks it as confirmed by the leader.
    ///
    /// Empty bytes mean that the sender has no newer manifest.
    pub(super) fn handle_manifest(
        &mut self,
        now: Moment,
        number: ManifestNumber,
        bytes: &Arc<[u8]>,
        current: bool,
    ) {
        if !bytes.is_empty() {
            self.activate_manifest(
                now,
                PublishedManifest {
                    number,
                    bytes: Arc::clone(bytes),
                },
            );
        }
        if current && self.manifests.number() >= number {
            self.mark_confirmed(now);
        }
    }

    /// Puts the manifest and quarantined contents of this VM's replica in force.
    pub(super) fn adopt_replica_state(&mut self, now: Moment) {
        let Some(replica) = &self.replica else {
            return;
        };
        if let Some(manifest) = replica.state.manifest.clone() {
            self.activate_manifest(now, manifest);
        }
        let Some(replica) = &self.replica else {
            return;
        };
        if quarantine_version(&replica.state.quarantined) != self.manifests.quarantine_version {
            let quarantined = replica.state.quarantined.clone();
            self.apply_quarantined(now, &quarantined);
        }
    }

    /// Puts a manifest in force on this VM; ignores one that is not newer.
    fn activate_manifest(&mut self, now: Moment, published: PublishedManifest) {
        let number = published.number;
        if number <= self.manifests.number() {
            return;
        }
        let manifest = match parse_manifest(&published.bytes) {
            Ok(manifest) => Arc::new(manifest),
            Err(error) => {
                error!(self.log, "Cannot parse a committed manifest"; "number" => number.0,
                    "error" => %error);
                return;
            }
        };
        info!(self.log, "Manifest in force"; "number" => number.0);
        self.manifests.in_force = Some(published);
        self.dispatcher.set_manifest(Arc::clone(&manifest));
        self.published
            .update(|published| published.manifest = Some(manifest));
        self.membership.set_manifest(number);
        self.advertise_manifest();
        self.manifests.next_pull = now;
    }

    /// Pings other VMs, so that they learn the new number at once.
    ///
    /// If there are more than `MAX_BROADCAST_VMS`, only those with a disk are pinged, and the
    /// others learn the number by gossip.
    fn advertise_manifest(&mut self) {
        let notify_all = self.membership.members().count() <= MAX_BROADCAST_VMS;
        let targets: Vec<_> = self
            .membership
            .members()
            .filter(|(_, member)| notify_all || member.disk)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in targets {
            self.membership.ping(&vm);
        }
    }

    /// Sends all quarantined contents if their list replaces that of version `have`.
    pub(super) fn handle_quarantine_pull(&mut self, from: &VmId, have: u64) {
        let Some(replica) = &self.replica else {
            return;
        };
        let quarantined = &replica.state.quarantined;
        if is_newer_quarantine(quarantine_version(quarantined), have) {
            let quarantined = quarantined.iter().map(|digest| digest.0).collect();
            self.mesh
                .send(from, MeshMessage::QuarantineList(quarantined));
        }
    }

    /// Handles the full list of quarantined contents; ignores one that is not newer.
    pub(super) fn handle_quarantined(&mut self, now: Moment, quarantined: Vec<[u8; 32]>) {
        let quarantined: Vec<_> = quarantined.into_iter().map(ContentDigest).collect();
        let offered = quarantine_version(&quarantined);
        if is_newer_quarantine(offered, self.manifests.quarantine_version) {
            self.apply_quarantined(now, &quarantined);
        }
    }

    fn apply_quarantined(&mut self, now: Moment, quarantined: &[ContentDigest]) {
        self.manifests.quarantine_version = quarantine_version(quarantined);
        let digests: HashSet<_> = quarantined.iter().copied().collect();
        warn!(self.log, "Quarantined contents changed"; "verdicts" => digests.len());
        for content in quarantined {
            self.dispatcher.quarantine(now, *content);
        }
        self.published
            .update(|published| published.quarantined = Arc::new(digests));
    }
}
