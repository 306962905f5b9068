//! How a manifest and the verdicts get from the control log to every VM.

use std::collections::HashSet;
use std::sync::Arc;

use merlinrudder_core::control::PublishedManifest;
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;
use merlinrudder_wire::manifest::parse_manifest;
use merlinrudder_wire::mesh::MeshMessage;
use slog::{error, info, warn};

use super::{ControlThread, shared};
use crate::constants::{CUT_OFF_AFTER, PULL_PERIOD, TELL_ALL_VMS};

/// What this VM knows of manifests and verdicts.
#[derive(Debug, Default)]
pub(super) struct Manifests {
    /// Document in force here; its number never falls while the process runs.
    pub(super) in_force: Option<PublishedManifest>,
    /// When a leader last confirmed that nothing newer was accepted.
    confirmed: Option<Moment>,
    /// How many verdicts are known here.
    verdicts: usize,
    due: Moment,
    /// Whether this VM told the others that it leaves.
    pub(super) left: bool,
}

impl Manifests {
    pub(super) fn number(&self) -> ManifestNumber {
        self.in_force
            .as_ref()
            .map(|manifest| manifest.number)
            .unwrap_or_default()
    }

    /// Returns since when no leader confirmed anything, where that is long.
    pub(super) fn cut_off_since(&self, now: Moment, start: Moment) -> Option<Moment> {
        let last = self.confirmed.unwrap_or(start);
        (now.since(last) >= CUT_OFF_AFTER).then_some(last)
    }
}

impl ControlThread {
    /// Asks the leader for what is newer, and refreshes what depends on its answer.
    pub(super) fn tick_manifests(&mut self, now: Moment) {
        if now < self.manifests.due {
            return;
        }
        self.manifests.due = now + PULL_PERIOD;
        if self.leads_settled(now) {
            self.confirm(now);
            return;
        }
        let silent = self
            .manifests
            .confirmed
            .is_none_or(|at| now.since(at) > PULL_PERIOD * 2);
        if silent {
            self.proposals.forget_leader();
        }
        let target = self.leader_vm().or_else(|| self.proposals.target());
        let Some(target) = target.filter(|vm| *vm != self.own.vm) else {
            return;
        };
        let have = self.manifests.number().0;
        self.mesh.send(&target, MeshMessage::PullManifest { have });
        let have = self.manifests.verdicts as u64;
        self.mesh
            .send(&target, MeshMessage::PullQuarantineList { have });
    }

    fn leads_settled(&self, now: Moment) -> bool {
        self.replica
            .as_ref()
            .is_some_and(|replica| replica.consensus.has_lease(now))
    }

    fn confirm(&mut self, now: Moment) {
        self.manifests.confirmed = Some(now);
        let ready = self.manifests.in_force.is_some() && !self.unready;
        if ready && !self.published.load().ready {
            info!(self.log, "Ready"; "manifest" => self.manifests.number().0);
            self.published.update(|published| published.ready = true);
        }
    }

    /// A VM that has a newer manifest in force is asked for it.
    pub(super) fn pull_newer(&mut self, vm: &VmId, number: ManifestNumber) {
        let have = self.manifests.number();
        if number > have {
            self.mesh
                .send(vm, MeshMessage::PullManifest { have: have.0 });
        }
    }

    pub(super) fn answer_pull(&mut self, now: Moment, from: &VmId, have: u64) {
        let current = self.leads_settled(now);
        let in_force = &self.manifests.in_force;
        let newer = in_force
            .as_ref()
            .filter(|manifest| manifest.number.0 > have);
        if newer.is_none() && !current {
            return;
        }
        let number = newer.map_or(self.manifests.number().0, |manifest| manifest.number.0);
        let bytes = newer.map_or_else(|| shared(&[]), |manifest| Arc::clone(&manifest.bytes));
        self.mesh.send(
            from,
            MeshMessage::Manifest {
                number,
                bytes,
                current,
            },
        );
    }

    pub(super) fn take_manifest(
        &mut self,
        now: Moment,
        number: ManifestNumber,
        bytes: &Arc<[u8]>,
        current: bool,
    ) {
        if !bytes.is_empty() {
            self.put_in_force(
                now,
                PublishedManifest {
                    number,
                    bytes: Arc::clone(bytes),
                },
            );
        }
        if current && self.manifests.number() >= number {
            self.confirm(now);
        }
    }

    /// Puts what this VM's own replica applied in force.
    pub(super) fn adopt_own_state(&mut self, now: Moment) {
        let Some(replica) = &self.replica else {
            return;
        };
        if let Some(manifest) = replica.state.manifest.clone() {
            self.put_in_force(now, manifest);
        }
        let Some(replica) = &self.replica else {
            return;
        };
        if replica.state.quarantined.len() != self.manifests.verdicts {
            let verdicts = replica.state.quarantined.clone();
            self.put_verdicts(now, &verdicts);
        }
    }

    /// Puts a manifest in force on this VM in one step; an older or equal one changes nothing.
    fn put_in_force(&mut self, now: Moment, published: PublishedManifest) {
        let number = published.number;
        if number <= self.manifests.number() {
            return;
        }
        let manifest = match parse_manifest(&published.bytes) {
            Ok(manifest) => Arc::new(manifest),
            Err(fault) => {
                error!(self.log, "An accepted manifest cannot be read"; "number" => number.0,
                    "error" => %fault);
                return;
            }
        };
        info!(self.log, "A manifest is in force"; "number" => number.0);
        self.manifests.in_force = Some(published);
        self.dispatcher.set_manifest(Arc::clone(&manifest));
        self.published
            .update(|published| published.manifest = Some(manifest));
        self.membership.set_manifest(number);
        self.tell_in_force();
        self.manifests.due = now;
    }

    /// Lets others see the new number at once; where there are many, they learn it by rumour.
    fn tell_in_force(&mut self) {
        let few = self.membership.members().count() <= TELL_ALL_VMS;
        let told: Vec<_> = self
            .membership
            .members()
            .filter(|(_, member)| few || member.disk)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in told {
            self.membership.ping(&vm);
        }
    }

    pub(super) fn answer_verdicts(&mut self, from: &VmId, have: u64) {
        let Some(replica) = &self.replica else {
            return;
        };
        let verdicts = &replica.state.quarantined;
        if verdicts.len() as u64 > have {
            let verdicts = verdicts.iter().map(|digest| digest.0).collect();
            self.mesh.send(from, MeshMessage::QuarantineList(verdicts));
        }
    }

    pub(super) fn take_verdicts(&mut self, now: Moment, verdicts: Vec<[u8; 32]>) {
        let verdicts: Vec<_> = verdicts.into_iter().map(ContentDigest).collect();
        if verdicts.len() > self.manifests.verdicts {
            self.put_verdicts(now, &verdicts);
        }
    }

    fn put_verdicts(&mut self, now: Moment, verdicts: &[ContentDigest]) {
        self.manifests.verdicts = verdicts.len();
        let set: HashSet<_> = verdicts.iter().copied().collect();
        warn!(self.log, "Contents are refused"; "verdicts" => set.len());
        for content in verdicts {
            self.dispatcher.quarantine(now, *content);
        }
        self.published
            .update(|published| published.verdicts = Arc::new(set));
    }
}
