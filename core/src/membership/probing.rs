//! Direct and indirect probes of the failure detector.

use std::time::Duration;

use super::message::{Health, MembershipBody};
use super::{Membership, Probe, RelayedPing};
use crate::names::VmId;
use crate::time::Moment;

/// Time to wait for an ack before indirect probes are requested.
const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time to wait for a direct or relayed ack before the target becomes suspect.
const PROBE_TIMEOUT: Duration = Duration::from_millis(450);
/// Number of VMs that are asked to ping an unresponsive target.
const INDIRECT_PROBERS: usize = 2;
/// Dead VMs are probed in one of this many turns, to detect healed partitions.
const DEAD_PROBE_ONE_IN: u32 = 4;

impl Membership {
    /// Pings `target` for `requester`, whose probe has the number `sequence`.
    pub(super) fn relay_ping(
        &mut self,
        now: Moment,
        requester: &VmId,
        target: &VmId,
        sequence: u64,
    ) {
        self.sequence += 1;
        let relayed = RelayedPing {
            requester: requester.clone(),
            sequence,
            sent_at: now,
        };
        self.relayed_pings.insert(self.sequence, relayed);
        self.send(
            target,
            MembershipBody::Ping {
                sequence: self.sequence,
            },
        );
    }

    /// Probes one VM of this VM's zone and the next one of all VMs.
    pub(super) fn send_probes(&mut self, now: Moment) {
        let mut targets = Vec::new();
        targets.extend(self.random_zone_peer());
        targets.extend(self.next_probe_target());
        targets.dedup();
        for target in targets {
            self.sequence += 1;
            let probe = Probe {
                target: target.clone(),
                sent_at: now,
                indirect_sent: false,
            };
            self.probes.insert(self.sequence, probe);
            self.send(
                &target,
                MembershipBody::Ping {
                    sequence: self.sequence,
                },
            );
        }
    }

    /// Picks a random VM of this VM's zone that is not dead.
    ///
    /// The loss of the zone's dispatcher must be detected fastest.
    fn random_zone_peer(&mut self) -> Option<VmId> {
        let zone_peers: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.zone == self.own_zone && member.health != Health::Dead)
            .map(|(vm, _)| vm.clone())
            .collect();
        self.rng.choice(zone_peers)
    }

    /// Takes the next VM off the probe queue, skipping most turns of dead VMs.
    ///
    /// A VM that was never in contact is not skipped.
    fn next_probe_target(&mut self) -> Option<VmId> {
        for _ in 0..=self.members.len() {
            if self.probe_queue.is_empty() {
                self.probe_queue = self.members.keys().cloned().collect();
                self.rng.shuffle(&mut self.probe_queue);
            }
            let vm = self.probe_queue.pop()?;
            let member = self.members.get(&vm)?;
            let never_contacted = member.last_contact.is_none();
            if member.health != Health::Dead
                || never_contacted
                || self.rng.u32(..DEAD_PROBE_ONE_IN) == 0
            {
                return Some(vm);
            }
        }
        None
    }

    /// Marks targets of expired probes suspect and starts indirect probes where due.
    pub(super) fn expire_probes(&mut self, now: Moment) {
        self.relayed_pings
            .retain(|_, relayed| now.since(relayed.sent_at) < PROBE_TIMEOUT);
        let expired: Vec<_> = self
            .probes
            .iter()
            .filter(|(_, probe)| now.since(probe.sent_at) >= PROBE_TIMEOUT)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in expired {
            if let Some(probe) = self.probes.remove(&sequence) {
                self.mark_suspect(now, &probe.target);
            }
        }
        self.send_ping_requests(now);
    }

    fn send_ping_requests(&mut self, now: Moment) {
        let mut indirect = Vec::new();
        for (sequence, probe) in &mut self.probes {
            if !probe.indirect_sent && now.since(probe.sent_at) >= DIRECT_PROBE_TIMEOUT {
                probe.indirect_sent = true;
                indirect.push((*sequence, probe.target.clone()));
            }
        }
        for (sequence, target) in indirect {
            for prober in self.choose_indirect_probers(&target) {
                self.send(
                    &prober,
                    MembershipBody::PingRequest {
                        target: target.clone(),
                        sequence,
                    },
                );
            }
        }
    }

    fn choose_indirect_probers(&mut self, target: &VmId) -> Vec<VmId> {
        let mut alive: Vec<_> = self
            .members
            .iter()
            .filter(|(vm, member)| *vm != target && member.health == Health::Alive)
            .map(|(vm, _)| vm.clone())
            .collect();
        self.rng.shuffle(&mut alive);
        alive.truncate(INDIRECT_PROBERS);
        alive
    }

    /// Relays an ack to its requester, or completes this VM's own probe.
    pub(super) fn handle_ack(&mut self, now: Moment, sequence: u64) {
        if let Some(relayed) = self.relayed_pings.remove(&sequence) {
            self.send(
                &relayed.requester,
                MembershipBody::Ack {
                    sequence: relayed.sequence,
                },
            );
        }
        if let Some(probe) = self.probes.remove(&sequence) {
            self.clear_suspicion(now, &probe.target);
        }
    }
}
