//! The replicated control state: what the committed commands of the log add up to.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::claims::{ClaimKey, ClaimOutcome, ClaimState, ClaimTable};
use crate::manifest::ManifestNumber;
use crate::names::{ServerId, ServiceName, VmId};
use crate::time::Moment;
use crate::units::{ContentDigest, RequestId};

/// Most verdicts kept; the oldest go first.
pub const MAX_VERDICTS: usize = 4096;
/// Longest lease that an order holder can ask for.
pub const MAX_ORDER_LEASE: Duration = Duration::from_secs(30);

/// A published document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishedManifest {
    /// Its number.
    pub number: ManifestNumber,
    /// Its bytes as published.
    pub bytes: Arc<[u8]>,
}

/// A command of the control log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Publishes a manifest that was checked whole.
    Publish(PublishedManifest),
    /// Claims a call.
    Claim {
        /// Name of the claim.
        key: ClaimKey,
        /// Request that wants it.
        owner: RequestId,
        /// Digest of the call's path and body.
        content: ContentDigest,
        /// The leader's wall clock.
        now: Moment,
    },
    /// Records how a claimed call ended.
    Record {
        /// Name of the claim.
        key: ClaimKey,
        /// Request that owns it.
        owner: RequestId,
        /// How it ended.
        state: ClaimState,
    },
    /// Gives up a claim whose call provably did not run.
    Release {
        /// Name of the claim.
        key: ClaimKey,
        /// Request that owns it.
        owner: RequestId,
    },
    /// Convicts a content that killed backend servers.
    Convict(ContentDigest),
    /// Takes or renews the right to order a backend server.
    LeaseOrders {
        /// The backend server's service.
        service: ServiceName,
        /// The backend server.
        server: ServerId,
        /// VM that wants to give orders.
        holder: VmId,
        /// Time that the lease holds; at most `MAX_ORDER_LEASE`.
        lease: Duration,
        /// The leader's wall clock.
        now: Moment,
    },
}

/// The right to order one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderLease {
    /// VM that holds it.
    pub holder: VmId,
    /// Number that orders carry; grows with each new holder.
    pub fencing: u64,
    /// End of the lease on the leader's wall clock.
    pub expires: Moment,
}

/// Answer to a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The manifest is accepted, now or by the same bytes before.
    Accepted(ManifestNumber),
    /// Another manifest has this number.
    Conflict(ManifestNumber),
    /// A manifest with a higher number is in force.
    Older(ManifestNumber),
    /// Answer to a claim.
    Claim(ClaimOutcome),
    /// Done.
    Done,
    /// The lease is held under this fencing number.
    OrderLease {
        /// Whether the asking VM holds it.
        won: bool,
        /// Fencing number in force.
        fencing: u64,
    },
}

/// The control state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ControlState {
    /// Newest manifest; its number never falls.
    pub manifest: Option<PublishedManifest>,
    /// Claims of calls.
    pub claims: ClaimTable,
    /// Convicted contents with their order of arrival.
    pub verdicts: Vec<ContentDigest>,
    /// Rights to order backend servers.
    pub order_leases: BTreeMap<(ServiceName, ServerId), OrderLease>,
}

impl ControlState {
    /// Applies a committed command.
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
            Command::Convict(content) => {
                self.convict(content);
                Answer::Done
            }
            Command::LeaseOrders {
                service,
                server,
                holder,
                lease,
                now,
            } => self.lease_orders((service, server), &holder, lease, now),
        }
    }

    /// Returns the number of the newest manifest, or zero before the first.
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

    fn convict(&mut self, content: ContentDigest) {
        if self.verdicts.contains(&content) {
            return;
        }
        if self.verdicts.len() >= MAX_VERDICTS {
            self.verdicts.remove(0);
        }
        self.verdicts.push(content);
    }

    fn lease_orders(
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
