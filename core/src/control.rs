//! The replicated control state, built by applying the committed commands of the control log.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::claims::{ClaimKey, ClaimOutcome, ClaimState, ClaimTable};
use crate::crash_history::{CrashHistory, CrashReport};
use crate::evacuation::{Evacuations, OrderNumbers};
use crate::manifest::ManifestNumber;
use crate::names::{ServerId, ServiceName, VmId, ZoneName};
use crate::time::Moment;
use crate::units::{ContentDigest, RequestId};

/// Maximum number of quarantined contents; beyond it the oldest is dropped.
pub const MAX_QUARANTINED: usize = 4096;
/// Maximum duration of an order lease; longer requests are shortened to it.
pub const MAX_ORDER_LEASE: Duration = Duration::from_secs(30);

/// Smallest version of a full list of quarantined contents; shorter lists have their length.
const FULL_LIST_VERSION: u64 = 1 << 63;

/// Returns the version of a list of quarantined contents, oldest first.
///
/// A full list keeps its length when a content is added, so its newest content identifies it.
#[must_use]
pub fn quarantine_version(quarantined: &[ContentDigest]) -> u64 {
    let newest = quarantined
        .last()
        .filter(|_| quarantined.len() >= MAX_QUARANTINED);
    newest.map_or(quarantined.len() as u64, |newest| {
        let (prefix, _) = newest.0.split_at(size_of::<u64>());
        let prefix = prefix
            .iter()
            .fold(0, |value, byte| value << 8 | u64::from(*byte));
        FULL_LIST_VERSION | prefix
    })
}

/// Whether a list of version `offered` replaces one of version `known`.
#[must_use]
pub const fn is_newer_quarantine(offered: u64, known: u64) -> bool {
    offered > known
        || (known >= FULL_LIST_VERSION && offered >= FULL_LIST_VERSION && offered != known)
}

/// A manifest document as it was published.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishedManifest {
    /// Number of the manifest; higher numbers replace lower ones.
    pub number: ManifestNumber,
    /// Unmodified bytes of the document.
    pub bytes: Arc<[u8]>,
}

/// A command of the control log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Publishes a manifest that was fully validated.
    Publish(PublishedManifest),
    /// Claims a call that must not run twice.
    Claim {
        /// Key of the claim.
        key: ClaimKey,
        /// Request that makes the claim.
        owner: RequestId,
        /// Digest of the call's path and body.
        content: ContentDigest,
        /// Wall-clock time of the leader.
        now: Moment,
    },
    /// Records how a claimed call ended.
    Record {
        /// Key of the claim.
        key: ClaimKey,
        /// Request that owns the claim.
        owner: RequestId,
        /// Final state of the call.
        state: ClaimState,
    },
    /// Releases a claim whose call is known not to have run.
    Release {
        /// Key of the claim.
        key: ClaimKey,
        /// Request that owns the claim.
        owner: RequestId,
    },
    /// Quarantines a request content that crashed backend servers.
    Quarantine(ContentDigest),
    /// Acquires or renews the lease for sending orders to a backend server.
    AcquireOrderLease {
        /// Service of the backend server.
        service: ServiceName,
        /// Name of the backend server.
        server: ServerId,
        /// VM that requests the lease.
        holder: VmId,
        /// Requested duration, shortened to `MAX_ORDER_LEASE`.
        lease: Duration,
        /// Wall-clock time of the leader.
        now: Moment,
    },
    /// Records runs of requests that ended with their backend servers.
    RecordCrashes(Vec<CrashReport>),
    /// Begins or ends the evacuation of an availability zone, in the form of an earlier version.
    ///
    /// It has no number, so it is refused once a numbered order was applied: it may be a late one.
    /// It is proposed only while a voter cannot apply `OrderEvacuation`.
    SetEvacuation {
        /// The zone.
        zone: ZoneName,
        /// Whether its servers get no new requests from now on.
        active: bool,
    },
    /// Begins or ends the evacuation of a zone, unless another order about the zone was applied meanwhile.
    ///
    /// An order that is already satisfied is accepted in any case: it changes nothing, and counts as the newest one.
    /// It is proposed only once all voters are known to be able to apply it, since a VM of an earlier
    /// version stops at it.
    OrderEvacuation {
        /// The zone.
        zone: ZoneName,
        /// Whether its servers get no new requests from now on.
        active: bool,
        /// Number of the zone's newest order when this one was read.
        after: u64,
    },
}

/// Exclusive lease for sending orders to one backend server.
///
/// An order changes the loaded models, the version or the role of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderLease {
    /// VM that holds the lease.
    pub holder: VmId,
    /// Fencing number carried by orders; grows whenever an expired lease is granted.
    pub fencing: u64,
    /// Expiry time on the leader's wall clock.
    pub expires: Moment,
}

/// Result of applying a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The manifest is in force, newly or with identical bytes from before.
    Accepted(ManifestNumber),
    /// A manifest with different bytes already has this number.
    Conflict(ManifestNumber),
    /// A manifest with this higher number is in force.
    Older(ManifestNumber),
    /// Result of a claim.
    Claim(ClaimOutcome),
    /// The command was applied and has no further result.
    Done,
    /// Result of acquiring an order lease.
    OrderLease {
        /// Whether the requesting VM now holds the lease.
        won: bool,
        /// Fencing number of the current lease.
        fencing: u64,
    },
    /// Revision of the evacuated zones once the command was applied.
    Evacuations(u64),
    /// The order was refused, as the newest order about its zone has this number.
    EvacuationOvertaken(u64),
}

/// State that every control replica derives from the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ControlState {
    /// Newest manifest; its number never decreases.
    pub manifest: Option<PublishedManifest>,
    /// Claims of calls that must not run twice.
    pub claims: ClaimTable,
    /// Quarantined contents, oldest first.
    pub quarantined: Vec<ContentDigest>,
    /// Order leases by service and backend server.
    pub order_leases: BTreeMap<(ServiceName, ServerId), OrderLease>,
    /// Runs of requests that ended with their backend servers, on the leaders' wall clocks.
    pub crashes: CrashHistory,
    /// Evacuated zones.
    pub evacuations: Evacuations,
    /// Numbers of the newest orders about evacuations.
    pub evacuation_orders: OrderNumbers,
}

impl ControlState {
    /// Applies a committed command and returns its result.
    pub fn apply(&mut self, command: Command) -> Answer {
        match command {
            Command::Publish(published) => self.publish(published),
            Command::Claim {
                key,
                owner,
                content,
                now,
            } => Answer::Claim(self.claims.claim(now, key, owner, content)),
            Command::Record { key, owner, state } => {
                self.claims.record(&key, owner, state);
                Answer::Done
            }
            Command::Release { key, owner } => {
                self.claims.release(&key, owner);
                Answer::Done
            }
            Command::Quarantine(content) => {
                self.quarantine(content);
                Answer::Done
            }
            Command::AcquireOrderLease {
                service,
                server,
                holder,
                lease,
                now,
            } => self.acquire_order_lease((service, server), &holder, lease, now),
            Command::RecordCrashes(reports) => {
                for report in &reports {
                    self.crashes.merge(report);
                }
                Answer::Done
            }
            Command::SetEvacuation { zone, active } => {
                if !self.evacuation_orders.is_empty() {
                    return Answer::EvacuationOvertaken(self.evacuation_orders.newest(&zone));
                }
                self.evacuations.set(zone, active);
                Answer::Evacuations(self.evacuations.revision)
            }
            Command::OrderEvacuation {
                zone,
                active,
                after,
            } => self.order_evacuation(zone, active, after),
        }
    }

    /// Returns the number of the newest manifest, or zero if there is none.
    #[must_use]
    pub fn manifest_number(&self) -> ManifestNumber {
        self.manifest
            .as_ref()
            .map(|manifest| manifest.number)
            .unwrap_or_default()
    }

    fn publish(&mut self, published: PublishedManifest) -> Answer {
        if let Some(current) = &self.manifest {
            if published.number < current.number {
                return Answer::Older(current.number);
            }
            if published.number == current.number {
                let same = published.bytes == current.bytes;
                return if same {
                    Answer::Accepted(current.number)
                } else {
                    Answer::Conflict(current.number)
                };
            }
        }
        let number = published.number;
        self.manifest = Some(published);
        Answer::Accepted(number)
    }

    fn order_evacuation(&mut self, zone: ZoneName, active: bool, after: u64) -> Answer {
        let newest = self.evacuation_orders.newest(&zone);
        if newest != after && !self.evacuations.satisfies(&zone, active) {
            return Answer::EvacuationOvertaken(newest);
        }
        self.evacuation_orders.count(&zone);
        self.evacuations.set(zone, active);
        Answer::Evacuations(self.evacuations.revision)
    }

    fn quarantine(&mut self, content: ContentDigest) {
        if self.quarantined.contains(&content) {
            return;
        }
        if self.quarantined.len() >= MAX_QUARANTINED {
            self.quarantined.remove(0);
        }
        self.quarantined.push(content);
    }

    fn acquire_order_lease(
        &mut self,
        key: (ServiceName, ServerId),
        holder: &VmId,
        lease: Duration,
        now: Moment,
    ) -> Answer {
        let expires = now + lease.min(MAX_ORDER_LEASE);
        let Some(current) = self.order_leases.get_mut(&key) else {
            let first = OrderLease {
                holder: holder.clone(),
                fencing: 1,
                expires,
            };
            self.order_leases.insert(key, first);
            return Answer::OrderLease {
                won: true,
                fencing: 1,
            };
        };
        if current.holder == *holder && current.expires > now {
            current.expires = expires.max(current.expires);
        } else if current.expires <= now {
            let fencing = current.fencing + 1;
            *current = OrderLease {
                holder: holder.clone(),
                fencing,
                expires,
            };
        } else {
            return Answer::OrderLease {
                won: false,
                fencing: current.fencing,
            };
        }
        Answer::OrderLease {
            won: true,
            fencing: current.fencing,
        }
    }
}
