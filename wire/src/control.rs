//! Commands of the control log, their answers, and the control state in a snapshot.

use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::claims::{Claim, ClaimKey, ClaimOutcome, ClaimState, RecordedAnswer};
use merlinrudder_core::control::{Answer, Command, ControlState, OrderLease, PublishedManifest};
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::names::{CustomerName, ServerId, ServiceName, VmId};
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{ContentDigest, RequestId};
use serde::{Deserialize, Serialize};

use crate::error::DecodeError;
use crate::mesh::encode;
use crate::units::millis;

/// A command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireCommand(CommandBody);

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum CommandBody {
    Publish(WirePublished),
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
    Convict([u8; 32]),
    LeaseOrders {
        service: String,
        server: String,
        holder: String,
        lease_ms: u64,
        now: u64,
    },
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WirePublished {
    number: u64,
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
    Answered(WireRecorded),
    Unknown,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WireRecorded {
    status: u16,
    content_type: String,
    body: Option<Arc<[u8]>>,
}

/// Answer to a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireAnswer(AnswerBody);

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum AnswerBody {
    Accepted(u64),
    Conflict(u64),
    Older(u64),
    Won,
    Held,
    Answered(WireRecorded),
    OtherContent,
    Full,
    Done,
    OrderLease { won: bool, fencing: u64 },
}

#[derive(Debug, Deserialize, Serialize)]
struct WireState {
    manifest: Option<WirePublished>,
    claims: Vec<WireClaim>,
    verdicts: Vec<[u8; 32]>,
    order_leases: Vec<WireLease>,
}

#[derive(Debug, Deserialize, Serialize)]
struct WireClaim {
    key: WireClaimKey,
    owner: u128,
    content: [u8; 32],
    made: u64,
    state: WireClaimState,
}

#[derive(Debug, Deserialize, Serialize)]
struct WireLease {
    service: String,
    server: String,
    holder: String,
    fencing: u64,
    expires: u64,
}

/// Encodes a command for the log.
#[must_use]
pub fn encode_command(command: Command) -> Arc<[u8]> {
    Arc::from(encode(&WireCommand::from(command)))
}

/// Decodes a command of the log.
///
/// # Errors
/// Fails where the bytes are not a command of this version.
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
        made: claim.created_at.as_millis(),
        state: claim.state.clone().into(),
    });
    let leases = state
        .order_leases
        .iter()
        .map(|((service, server), lease)| WireLease {
            service: service.to_string(),
            server: server.to_string(),
            holder: lease.holder.to_string(),
            fencing: lease.fencing,
            expires: lease.expires.as_millis(),
        });
    let wire = WireState {
        manifest: state.manifest.clone().map(WirePublished::from),
        claims: claims.collect(),
        verdicts: state.quarantined.iter().map(|digest| digest.0).collect(),
        order_leases: leases.collect(),
    };
    Arc::from(encode(&wire))
}

/// Decodes the control state of a snapshot; no bytes are the empty state.
///
/// # Errors
/// Fails where the bytes are not a state of this version.
pub fn decode_state(bytes: &[u8]) -> Result<ControlState, DecodeError> {
    if bytes.is_empty() {
        return Ok(ControlState::default());
    }
    let wire: WireState = postcard::from_bytes(bytes)?;
    let mut state = ControlState {
        manifest: wire.manifest.map(PublishedManifest::from),
        quarantined: wire.verdicts.into_iter().map(ContentDigest).collect(),
        ..ControlState::default()
    };
    for claim in wire.claims {
        let kept = Claim {
            owner: RequestId(claim.owner),
            content: ContentDigest(claim.content),
            created_at: Moment::from_millis(claim.made),
            state: claim.state.into(),
        };
        state.claims.restore(claim.key.into(), kept);
    }
    for lease in wire.order_leases {
        let key = (
            ServiceName::from(lease.service),
            ServerId::from(lease.server),
        );
        let kept = OrderLease {
            holder: VmId::from(lease.holder),
            fencing: lease.fencing,
            expires: Moment::from_millis(lease.expires),
        };
        state.order_leases.insert(key, kept);
    }
    Ok(state)
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
            Command::Quarantine(content) => CommandBody::Convict(content.0),
            Command::AcquireOrderLease {
                service,
                server,
                holder,
                lease,
                now,
            } => CommandBody::LeaseOrders {
                service: service.to_string(),
                server: server.to_string(),
                holder: holder.to_string(),
                lease_ms: millis(lease),
                now: now.as_millis(),
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
            CommandBody::Convict(content) => Self::Quarantine(ContentDigest(content)),
            CommandBody::LeaseOrders {
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
        }
    }
}

impl From<PublishedManifest> for WirePublished {
    fn from(published: PublishedManifest) -> Self {
        Self {
            number: published.number.0,
            bytes: published.bytes,
        }
    }
}

impl From<WirePublished> for PublishedManifest {
    fn from(wire: WirePublished) -> Self {
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

impl From<RecordedAnswer> for WireRecorded {
    fn from(answer: RecordedAnswer) -> Self {
        Self {
            status: answer.status,
            content_type: answer.content_type.to_string(),
            body: answer.body,
        }
    }
}

impl From<WireRecorded> for RecordedAnswer {
    fn from(wire: WireRecorded) -> Self {
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
            Answer::Claim(ClaimOutcome::Acquired) => AnswerBody::Won,
            Answer::Claim(ClaimOutcome::Held) => AnswerBody::Held,
            Answer::Claim(ClaimOutcome::Answered(answer)) => AnswerBody::Answered(answer.into()),
            Answer::Claim(ClaimOutcome::ContentMismatch) => AnswerBody::OtherContent,
            Answer::Claim(ClaimOutcome::Full) => AnswerBody::Full,
            Answer::Done => AnswerBody::Done,
            Answer::OrderLease { won, fencing } => AnswerBody::OrderLease { won, fencing },
        })
    }
}

impl From<WireAnswer> for Answer {
    fn from(wire: WireAnswer) -> Self {
        match wire.0 {
            AnswerBody::Accepted(number) => Self::Accepted(ManifestNumber(number)),
            AnswerBody::Conflict(number) => Self::Conflict(ManifestNumber(number)),
            AnswerBody::Older(number) => Self::Older(ManifestNumber(number)),
            AnswerBody::Won => Self::Claim(ClaimOutcome::Acquired),
            AnswerBody::Held => Self::Claim(ClaimOutcome::Held),
            AnswerBody::Answered(answer) => Self::Claim(ClaimOutcome::Answered(answer.into())),
            AnswerBody::OtherContent => Self::Claim(ClaimOutcome::ContentMismatch),
            AnswerBody::Full => Self::Claim(ClaimOutcome::Full),
            AnswerBody::Done => Self::Done,
            AnswerBody::OrderLease { won, fencing } => Self::OrderLease { won, fencing },
        }
    }
}
