//! Commands of the control log, their results, and snapshots of the control state.

use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::claims::{Claim, ClaimKey, ClaimOutcome, ClaimState, RecordedAnswer};
use merlinrudder_core::control::{Answer, Command, ControlState, OrderLease, PublishedManifest};
use merlinrudder_core::crash_history::CrashReport;
use merlinrudder_core::evacuation::{Evacuations, OrderNumbers};
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::names::{CustomerName, ServerId, ServiceName, VmId, ZoneName};
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{ContentDigest, RequestId};
use serde::{Deserialize, Serialize};

use crate::common::millis;
use crate::crashes::WireCrashedRun;
use crate::error::DecodeError;
use crate::evacuation::{WireEvacuations, WireZoneOrders};
use crate::mesh::encode;

/// Command of the control log.
///
/// Timestamps are wall-clock milliseconds of the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireCommand(CommandBody);

/// Variants of `Command`; `owner` is a request id, `content` a SHA-256 digest.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum CommandBody {
    Publish(WirePublishedManifest),
    Claim {
        key: WireClaimKey,
        owner: u128,
        content: [u8; 32],
        now: u64,
    },
    Record {
        key: WireClaimKey,
        owner: u128,
        state: WireClaimState,
    },
    Release {
        key: WireClaimKey,
        owner: u128,
    },
    Quarantine([u8; 32]),
    AcquireOrderLease {
        service: String,
        server: String,
        holder: String,
        lease_ms: u64,
        now: u64,
    },
    RecordCrashes(Vec<WireCrashedRun>),
    SetEvacuation {
        zone: String,
        active: bool,
    },
    OrderEvacuation {
        zone: String,
        active: bool,
        after: u64,
    },
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WirePublishedManifest {
    number: u64,
    #[serde(with = "crate::common::shared_bytes")]
    bytes: Arc<[u8]>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WireClaimKey {
    customer: String,
    service: String,
    key: String,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum WireClaimState {
    Open,
    Answered(WireRecordedAnswer),
    Unknown,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WireRecordedAnswer {
    status: u16,
    content_type: String,
    body: Option<Arc<[u8]>>,
}

/// Result of applying a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireAnswer(AnswerBody);

/// Variants of `Answer`; a number without a name is a manifest number.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum AnswerBody {
    Accepted(u64),
    Conflict(u64),
    Older(u64),
    ClaimAcquired,
    ClaimHeld,
    ClaimAnswered(WireRecordedAnswer),
    ClaimContentMismatch,
    ClaimsFull,
    Done,
    OrderLease { won: bool, fencing: u64 },
    Evacuations(u64),
    EvacuationOvertaken(u64),
}

/// Payload of a snapshot of the control log.
#[derive(Debug, Deserialize, Serialize)]
struct WireControlState {
    manifest: Option<WirePublishedManifest>,
    claims: Vec<WireClaim>,
    quarantined: Vec<[u8; 32]>,
    order_leases: Vec<WireOrderLease>,
}

#[derive(Debug, Deserialize, Serialize)]
struct WireClaim {
    key: WireClaimKey,
    owner: u128,
    content: [u8; 32],
    created_at: u64,
    state: WireClaimState,
}

#[derive(Debug, Deserialize, Serialize)]
struct WireOrderLease {
    service: String,
    server: String,
    holder: String,
    fencing: u64,
    expires: u64,
}

/// Encodes a command for a log entry.
#[must_use]
pub fn encode_command(command: Command) -> Arc<[u8]> {
    Arc::from(encode(&WireCommand::from(command)))
}

/// Decodes the command in a log entry.
///
/// # Errors
/// Fails if the bytes are not a command of this version.
pub fn decode_command(bytes: &[u8]) -> Result<Command, DecodeError> {
    let wire: WireCommand = postcard::from_bytes(bytes)?;
    Ok(wire.into())
}

/// Encodes the control state for a snapshot.
#[must_use]
pub fn encode_state(state: &ControlState) -> Arc<[u8]> {
    let claims = state.claims.iter().map(|(key, claim)| WireClaim {
        key: key.clone().into(),
        owner: claim.owner.0,
        content: claim.content.0,
        created_at: claim.created_at.as_millis(),
        state: claim.state.clone().into(),
    });
    let leases = state
        .order_leases
        .iter()
        .map(|((service, server), lease)| WireOrderLease {
            service: service.to_string(),
            server: server.to_string(),
            holder: lease.holder.to_string(),
            fencing: lease.fencing,
            expires: lease.expires.as_millis(),
        });
    let wire = WireControlState {
        manifest: state.manifest.clone().map(WirePublishedManifest::from),
        claims: claims.collect(),
        quarantined: state.quarantined.iter().map(|digest| digest.0).collect(),
        order_leases: leases.collect(),
    };
    let mut bytes = encode(&wire);
    let has_orders = !state.evacuation_orders.is_empty();
    let has_evacuations = has_orders || state.evacuations != Evacuations::default();
    if !state.crashes.is_empty() || has_evacuations {
        let runs: Vec<_> = state.crashes.reports().map(WireCrashedRun::from).collect();
        bytes.extend(encode(&runs));
    }
    if has_evacuations {
        let evacuations = WireEvacuations::from(state.evacuations.clone());
        bytes.extend(encode(&evacuations));
    }
    if has_orders {
        let orders = state.evacuation_orders.iter().map(WireZoneOrders::from);
        let orders: Vec<_> = orders.collect();
        bytes.extend(encode(&orders));
    }
    Arc::from(bytes)
}

/// Decodes the control state of a snapshot; no bytes decode to the empty state.
///
/// # Errors
/// Fails if the bytes are not a control state of this version.
pub fn decode_state(bytes: &[u8]) -> Result<ControlState, DecodeError> {
    if bytes.is_empty() {
        return Ok(ControlState::default());
    }
    // The crashed runs, the evacuations and the numbers of their orders follow the rest; a snapshot ends
    // before the first of them after which there is nothing. Earlier versions ignore what they do not know.
    let (wire, rest): (WireControlState, _) = postcard::take_from_bytes(bytes)?;
    let mut state = ControlState {
        manifest: wire.manifest.map(PublishedManifest::from),
        quarantined: wire.quarantined.into_iter().map(ContentDigest).collect(),
        ..ControlState::default()
    };
    for claim in wire.claims {
        let restored = Claim {
            owner: RequestId(claim.owner),
            content: ContentDigest(claim.content),
            created_at: Moment::from_millis(claim.created_at),
            state: claim.state.into(),
        };
        state.claims.restore(claim.key.into(), restored);
    }
    for lease in wire.order_leases {
        let key = (
            ServiceName::from(lease.service),
            ServerId::from(lease.server),
        );
        let restored = OrderLease {
            holder: VmId::from(lease.holder),
            fencing: lease.fencing,
            expires: Moment::from_millis(lease.expires),
        };
        state.order_leases.insert(key, restored);
    }
    if !rest.is_empty() {
        let (runs, rest): (Vec<WireCrashedRun>, _) = postcard::take_from_bytes(rest)?;
        for run in runs {
            state.crashes.merge(&run.into());
        }
        if !rest.is_empty() {
            let (evacuations, rest): (WireEvacuations, _) = postcard::take_from_bytes(rest)?;
            state.evacuations = evacuations.into();
            state.evacuation_orders = decode_orders(rest)?;
        }
    }
    Ok(state)
}

/// Decodes the numbers of the orders to evacuate; there are none in a snapshot of an earlier version.
fn decode_orders(bytes: &[u8]) -> Result<OrderNumbers, DecodeError> {
    if bytes.is_empty() {
        return Ok(OrderNumbers::default());
    }
    let orders: Vec<WireZoneOrders> = postcard::from_bytes(bytes)?;
    let numbers = orders.into_iter().map(<(ZoneName, u64)>::from);
    Ok(OrderNumbers::restore(numbers))
}

impl From<Command> for WireCommand {
    fn from(command: Command) -> Self {
        Self(match command {
            Command::Publish(published) => CommandBody::Publish(published.into()),
            Command::Claim {
                key,
                owner,
                content,
                now,
            } => CommandBody::Claim {
                key: key.into(),
                owner: owner.0,
                content: content.0,
                now: now.as_millis(),
            },
            Command::Record { key, owner, state } => CommandBody::Record {
                key: key.into(),
                owner: owner.0,
                state: state.into(),
            },
            Command::Release { key, owner } => CommandBody::Release {
                key: key.into(),
                owner: owner.0,
            },
            Command::Quarantine(content) => CommandBody::Quarantine(content.0),
            Command::AcquireOrderLease {
                service,
                server,
                holder,
                lease,
                now,
            } => CommandBody::AcquireOrderLease {
                service: service.to_string(),
                server: server.to_string(),
                holder: holder.to_string(),
                lease_ms: millis(lease),
                now: now.as_millis(),
            },
            Command::RecordCrashes(reports) => {
                let reports = reports.into_iter().map(WireCrashedRun::from);
                CommandBody::RecordCrashes(reports.collect())
            }
            Command::SetEvacuation { zone, active } => CommandBody::SetEvacuation {
                zone: zone.to_string(),
                active,
            },
            Command::OrderEvacuation {
                zone,
                active,
                after,
            } => CommandBody::OrderEvacuation {
                zone: zone.to_string(),
                active,
                after,
            },
        })
    }
}

impl From<WireCommand> for Command {
    fn from(wire: WireCommand) -> Self {
        match wire.0 {
            CommandBody::Publish(published) => Self::Publish(published.into()),
            CommandBody::Claim {
                key,
                owner,
                content,
                now,
            } => Self::Claim {
                key: key.into(),
                owner: RequestId(owner),
                content: ContentDigest(content),
                now: Moment::from_millis(now),
            },
            CommandBody::Record { key, owner, state } => Self::Record {
                key: key.into(),
                owner: RequestId(owner),
                state: state.into(),
            },
            CommandBody::Release { key, owner } => Self::Release {
                key: key.into(),
                owner: RequestId(owner),
            },
            CommandBody::Quarantine(content) => Self::Quarantine(ContentDigest(content)),
            CommandBody::AcquireOrderLease {
                service,
                server,
                holder,
                lease_ms,
                now,
            } => Self::AcquireOrderLease {
                service: ServiceName::from(service),
                server: ServerId::from(server),
                holder: VmId::from(holder),
                lease: Duration::from_millis(lease_ms),
                now: Moment::from_millis(now),
            },
            CommandBody::RecordCrashes(reports) => {
                Self::RecordCrashes(reports.into_iter().map(CrashReport::from).collect())
            }
            CommandBody::SetEvacuation { zone, active } => Self::SetEvacuation {
                zone: ZoneName::from(zone),
                active,
            },
            CommandBody::OrderEvacuation {
                zone,
                active,
                after,
            } => Self::OrderEvacuation {
                zone: ZoneName::from(zone),
                active,
                after,
            },
        }
    }
}

impl From<PublishedManifest> for WirePublishedManifest {
    fn from(published: PublishedManifest) -> Self {
        Self {
            number: published.number.0,
            bytes: published.bytes,
        }
    }
}

impl From<WirePublishedManifest> for PublishedManifest {
    fn from(wire: WirePublishedManifest) -> Self {
        Self {
            number: ManifestNumber(wire.number),
            bytes: wire.bytes,
        }
    }
}

impl From<ClaimKey> for WireClaimKey {
    fn from(key: ClaimKey) -> Self {
        Self {
            customer: key.customer.to_string(),
            service: key.service.to_string(),
            key: key.key.to_string(),
        }
    }
}

impl From<WireClaimKey> for ClaimKey {
    fn from(wire: WireClaimKey) -> Self {
        Self {
            customer: CustomerName::from(wire.customer),
            service: ServiceName::from(wire.service),
            key: Arc::from(wire.key),
        }
    }
}

impl From<ClaimState> for WireClaimState {
    fn from(state: ClaimState) -> Self {
        match state {
            ClaimState::Open => Self::Open,
            ClaimState::Answered(answer) => Self::Answered(answer.into()),
            ClaimState::Unknown => Self::Unknown,
        }
    }
}

impl From<WireClaimState> for ClaimState {
    fn from(wire: WireClaimState) -> Self {
        match wire {
            WireClaimState::Open => Self::Open,
            WireClaimState::Answered(answer) => Self::Answered(answer.into()),
            WireClaimState::Unknown => Self::Unknown,
        }
    }
}

impl From<RecordedAnswer> for WireRecordedAnswer {
    fn from(answer: RecordedAnswer) -> Self {
        Self {
            status: answer.status,
            content_type: answer.content_type.to_string(),
            body: answer.body,
        }
    }
}

impl From<WireRecordedAnswer> for RecordedAnswer {
    fn from(wire: WireRecordedAnswer) -> Self {
        Self {
            status: wire.status,
            content_type: Arc::from(wire.content_type),
            body: wire.body,
        }
    }
}

impl From<Answer> for WireAnswer {
    fn from(answer: Answer) -> Self {
        Self(match answer {
            Answer::Accepted(number) => AnswerBody::Accepted(number.0),
            Answer::Conflict(number) => AnswerBody::Conflict(number.0),
            Answer::Older(number) => AnswerBody::Older(number.0),
            Answer::Claim(ClaimOutcome::Acquired) => AnswerBody::ClaimAcquired,
            Answer::Claim(ClaimOutcome::Held) => AnswerBody::ClaimHeld,
            Answer::Claim(ClaimOutcome::Answered(answer)) => {
                AnswerBody::ClaimAnswered(answer.into())
            }
            Answer::Claim(ClaimOutcome::ContentMismatch) => AnswerBody::ClaimContentMismatch,
            Answer::Claim(ClaimOutcome::Full) => AnswerBody::ClaimsFull,
            Answer::Done => AnswerBody::Done,
            Answer::OrderLease { won, fencing } => AnswerBody::OrderLease { won, fencing },
            Answer::Evacuations(revision) => AnswerBody::Evacuations(revision),
            Answer::EvacuationOvertaken(newest) => AnswerBody::EvacuationOvertaken(newest),
        })
    }
}

impl From<WireAnswer> for Answer {
    fn from(wire: WireAnswer) -> Self {
        match wire.0 {
            AnswerBody::Accepted(number) => Self::Accepted(ManifestNumber(number)),
            AnswerBody::Conflict(number) => Self::Conflict(ManifestNumber(number)),
            AnswerBody::Older(number) => Self::Older(ManifestNumber(number)),
            AnswerBody::ClaimAcquired => Self::Claim(ClaimOutcome::Acquired),
            AnswerBody::ClaimHeld => Self::Claim(ClaimOutcome::Held),
            AnswerBody::ClaimAnswered(answer) => Self::Claim(ClaimOutcome::Answered(answer.into())),
            AnswerBody::ClaimContentMismatch => Self::Claim(ClaimOutcome::ContentMismatch),
            AnswerBody::ClaimsFull => Self::Claim(ClaimOutcome::Full),
            AnswerBody::Done => Self::Done,
            AnswerBody::OrderLease { won, fencing } => Self::OrderLease { won, fencing },
            AnswerBody::Evacuations(revision) => Self::Evacuations(revision),
            AnswerBody::EvacuationOvertaken(newest) => Self::EvacuationOvertaken(newest),
        }
    }
}
