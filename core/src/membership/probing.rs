//! Probes: which VMs are asked whether they live, and by whom.

use std::time::Duration;

use super::message::{Health, MembershipBody};
use super::{Errand, Membership, Probe};
use crate::names::VmId;
use crate::time::Moment;

/// Time for an answer before other VMs are asked to probe.
const DIRECT_TIME: Duration = Duration::from_millis(200);
/// Time for an answer, direct or through others, before a VM is suspected.
const PROBE_TIME: Duration = Duration::from_millis(450);
/// VMs that are asked to probe for another.
const HELPERS: usize = 2;
/// A dead VM is probed this seldom, so that a healed cut is found.
const DEAD_PROBE_ONE_IN: u32 = 4;

impl Membership {
    pub(super) fn run_errand(&mut self, now: Moment, asker: &VmId, target: &VmId, sequence: u64) {
        self.sequence += 1;
        let errand = Errand {
            asker: asker.clone(),
            sequence,
            sent: now,
        };
        self.errands.insert(self.sequence, errand);
        self.send(
            target,
            MembershipBody::Ping {
                sequence: self.sequence,
            },
        );
    }

    pub(super) fn probe_round(&mut self, now: Moment) {
        let mut targets = Vec::new();
        targets.extend(self.random_neighbor());
        targets.extend(self.next_of_round());
        targets.dedup();
        for target in targets {
            self.sequence += 1;
            let probe = Probe {
                target: target.clone(),
                sent: now,
                helped: false,
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

    /// Picks a VM of the own zone: its dispatcher's loss must be seen soonest.
    fn random_neighbor(&mut self) -> Option<VmId> {
        let neighbors: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.zone == self.own_zone && member.health != Health::Dead)
            .map(|(vm, _)| vm.clone())
            .collect();
        self.rng.choice(neighbors)
    }

    fn next_of_round(&mut self) -> Option<VmId> {
        for _ in 0..=self.members.len() {
            if self.round.is_empty() {
                self.round = self.members.keys().cloned().collect();
                self.rng.shuffle(&mut self.round);
            }
            let vm = self.round.pop()?;
            let member = self.members.get(&vm)?;
            let unheard = member.heard.is_none();
            if member.health != Health::Dead || unheard || self.rng.u32(..DEAD_PROBE_ONE_IN) == 0 {
                return Some(vm);
            }
        }
        None
    }

    pub(super) fn check_probes(&mut self, now: Moment) {
        self.errands
            .retain(|_, errand| now.since(errand.sent) < PROBE_TIME);
        let late: Vec<_> = self
            .probes
            .iter()
            .filter(|(_, probe)| now.since(probe.sent) >= PROBE_TIME)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in late {
            if let Some(probe) = self.probes.remove(&sequence) {
                self.suspect(now, &probe.target);
            }
        }
        self.ask_helpers(now);
    }

    fn ask_helpers(&mut self, now: Moment) {
        let mut asked = Vec::new();
        for (sequence, probe) in &mut self.probes {
            if !probe.helped && now.since(probe.sent) >= DIRECT_TIME {
                probe.helped = true;
                asked.push((*sequence, probe.target.clone()));
            }
        }
        for (sequence, target) in asked {
            for helper in self.helpers(&target) {
                self.send(
                    &helper,
                    MembershipBody::PingRequest {
                        target: target.clone(),
                        sequence,
                    },
                );
            }
        }
    }

    fn helpers(&mut self, target: &VmId) -> Vec<VmId> {
        let mut alive: Vec<_> = self
            .members
            .iter()
            .filter(|(vm, member)| *vm != target && member.health == Health::Alive)
            .map(|(vm, _)| vm.clone())
            .collect();
        self.rng.shuffle(&mut alive);
        alive.truncate(HELPERS);
        alive
    }

    pub(super) fn take_ack(&mut self, now: Moment, sequence: u64) {
        if let Some(errand) = self.errands.remove(&sequence) {
            self.send(
                &errand.asker,
                MembershipBody::Ack {
                    sequence: errand.sequence,
                },
            );
        }
        if let Some(probe) = self.probes.remove(&sequence) {
            self.mark_alive(now, &probe.target);
        }
    }
}
