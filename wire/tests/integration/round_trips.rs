//! Encoding and then decoding returns the original value.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::claims::{ClaimKey, ClaimState, RecordedAnswer};
use merlinrudder_core::cold::reports::ColdReport;
use merlinrudder_core::consensus::message::{
    Entry, HardState, Index, Payload, Record, ReplicaId, Snapshot, Term,
};
use merlinrudder_core::control::{Command, ControlState, PublishedManifest};
use merlinrudder_core::directory::{Incarnation, ServerRecord, ServerStage};
use merlinrudder_core::engine_placement::length_shares::PromptClass;
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::names::{CustomerName, ServerId, ServiceName, VmId, ZoneName};
use merlinrudder_core::outcome::{Refusal, RefusalReason, RetryReason};
use merlinrudder_core::rate_limit::bucket::Turn;
use merlinrudder_core::rate_limit::lending::{Loan, Shard, Stamp};
use merlinrudder_core::rate_limit::limits::{Observation, Rate};
use merlinrudder_core::rate_limit::message::RateMessage;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{AttemptId, ContentDigest, RequestId};
use merlinrudder_wire::consensus::{decode_record, encode_record};
use merlinrudder_wire::control::{decode_command, decode_state, encode_command, encode_state};
use merlinrudder_wire::dispatch::{FromDispatcher, WireFromDispatcher};
use merlinrudder_wire::mesh::{
    MeshMessage, WireFeatures, decode_frame, decode_handshake, encode, encode_frame,
    encode_handshake,
};
use merlinrudder_wire::peers::{WireColdServer, WirePeer, WireReceivedPrompt, WireServer};
use merlinrudder_wire::rates::WireRateMessage;
use merlinrudder_wire::relay::WireRelay;

fn claim_key() -> ClaimKey {
    ClaimKey {
        customer: CustomerName::from("customer"),
        service: ServiceName::from("service"),
        key: Arc::from("key"),
    }
}

pub fn commands() -> Vec<Command> {
    let now = Moment::from_millis(5);
    let owner = RequestId(7);
    let answer = RecordedAnswer {
        status: 200,
        content_type: Arc::from("text/plain"),
        body: Some(Arc::from(*b"body")),
    };
    vec![
        Command::Publish(PublishedManifest {
            number: ManifestNumber(3),
            bytes: Arc::from(*b"document"),
        }),
        Command::Claim {
            key: claim_key(),
            owner,
            content: ContentDigest([9; 32]),
            now,
        },
        Command::Record {
            key: claim_key(),
            owner,
            state: ClaimState::Answered(answer),
        },
        Command::Release {
            key: claim_key(),
            owner,
        },
        Command::Quarantine(ContentDigest([8; 32])),
        Command::AcquireOrderLease {
            service: ServiceName::from("service"),
            server: ServerId::from("server"),
            holder: VmId::from("vm-1"),
            lease: Duration::from_secs(2),
            now,
        },
    ]
}

#[test]
fn commands_and_control_state_round_trip() {
    let mut state = ControlState::default();
    for command in commands() {
        assert_eq!(
            decode_command(&encode_command(command.clone())),
            Ok(command.clone())
        );
        state.apply(command);
        assert_eq!(decode_state(&encode_state(&state)), Ok(state.clone()));
    }
}

#[test]
fn journal_records_round_trip() {
    let replica = ReplicaId {
        vm: VmId::from("vm-1"),
        incarnation: 4,
    };
    let records = [
        Record::HardState(HardState {
            term: Term(2),
            vote: Some(replica.clone()),
        }),
        Record::Entry(Entry {
            term: Term(2),
            index: Index(5),
            payload: Payload::Voters(vec![replica.clone()]),
        }),
        Record::Snapshot(Snapshot {
            index: Index(4),
            term: Term(1),
            voters: vec![replica],
            data: Arc::from(*b"state"),
        }),
    ];
    for record in records {
        assert_eq!(decode_record(&encode_record(record.clone())), Ok(record));
    }
}

#[test]
fn reason_codes_are_unique_and_refusals_round_trip() {
    let vm = VmId::from("vm-1");
    for reason in RefusalReason::ALL {
        assert_eq!(RefusalReason::from_code(reason.code()), Some(*reason));
        let refusal = Refusal::not_run(*reason, Some(Duration::from_millis(1500)));
        let message = FromDispatcher::Refuse(RequestId(1), AttemptId(2), refusal);
        let wire = WireFromDispatcher::from(message.clone());
        assert_eq!(wire.into_core(&vm), Ok(message));
    }
    for reason in RetryReason::ALL {
        assert_eq!(RetryReason::from_code(reason.code()), Some(*reason));
    }
}

#[test]
fn rate_messages_survive_the_way_to_another_vm() {
    let now = Moment::from_millis(50_000);
    let incarnation = Incarnation {
        server: ServerId::from("i-1"),
        born: 7,
    };
    let observation = Observation {
        incarnation: incarnation.clone(),
        rate: Rate::new(1.6),
        requested_at: Moment::from_millis(48_000),
        heard_at: Moment::from_millis(49_000),
    };
    let shard = Shard::of(&incarnation.server);
    let stamp = Stamp {
        shard,
        epoch: 9,
        made_at: now,
    };
    let turn = Turn::GrantedAfter(Duration::from_millis(40));
    let messages = [
        RateMessage::Limit(observation.clone()),
        RateMessage::Lend(Loan {
            shard,
            stamp: Some(stamp),
        }),
        RateMessage::Lent(stamp),
        RateMessage::Ask(observation),
        RateMessage::Turn { incarnation, turn },
    ];
    for message in messages {
        let wire = MeshMessage::Rates(WireRateMessage::new(now, &message));
        let decoded = decode_frame(&encode_frame(&wire)).expect("a valid frame");
        let MeshMessage::Rates(decoded) = decoded else {
            panic!("{decoded:?}");
        };
        assert_eq!(decoded.into_core(now), message);
    }
}

#[test]
fn reports_on_cold_servers_survive_the_way_to_another_vm() {
    for left in [0, 1, 2_999, u64::MAX] {
        let report = ColdReport {
            server: ServerId::from("i-1"),
            born: 1_712_000_000_000,
            sequence: 4,
            left: Duration::from_millis(left),
        };
        let wire = MeshMessage::ColdServers(vec![WireColdServer::from(report.clone())]);
        let decoded = decode_frame(&encode_frame(&wire)).expect("a valid frame");
        let MeshMessage::ColdServers(decoded) = decoded else {
            panic!("{decoded:?}");
        };
        let decoded: Vec<_> = decoded.into_iter().map(ColdReport::from).collect();
        assert_eq!(decoded, [report]);
    }
}

/// Guards against a record that a VM of an earlier version cannot read.
#[test]
fn records_of_servers_have_the_bytes_of_earlier_versions() {
    let record = ServerRecord {
        id: ServerId::from("i-1"),
        born: 5,
        sequence: 2,
        service: ServiceName::from("app"),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        zone: ZoneName::from("z0"),
        slots: 8,
        stage: ServerStage::Ready,
    };
    let heard_at = Moment::from_millis(4_000);
    let wire = WireServer::new(Moment::from_millis(5_000), heard_at, &record);
    let mut bytes = vec![3, b'i', b'-', b'1', 5, 2, 3, b'a', b'p', b'p'];
    bytes.extend([0, 127, 0, 0, 1, 80, 2, b'z', b'0', 8, 0, 0xe8, 7]);
    assert_eq!(encode(&wire), bytes);
}

#[test]
fn a_handshake_tells_features_which_an_earlier_version_ignores() {
    let peer = WirePeer {
        vm: "entry-1".to_owned(),
        zone: "z1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 7341)),
        control: false,
    };
    let relay = WireRelay {
        address: SocketAddr::from(([127, 0, 0, 1], 7342)),
        token: u128::MAX,
    };
    let features = WireFeatures {
        rates: true,
        relay: Some(relay),
        evacuations: true,
        cold: true,
        capacity: true,
        manifest_updates: true,
        compressed_frames: true,
        received_prompts: true,
        control_lists: true,
        evacuation_orders: true,
        initial_vm: true,
    };
    let frame = encode_handshake(&peer, &features);
    assert_eq!(decode_handshake(&frame), Ok((peer.clone(), features)));
    let earlier = encode_frame(&MeshMessage::Handshake(peer.clone()));
    assert_eq!(decode_frame(&frame), decode_frame(&earlier));
    let decoded = decode_handshake(&earlier);
    assert_eq!(decoded, Ok((peer, WireFeatures::default())));
}

/// Guards against a new build that rejects the link of a build without the appended features.
#[test]
fn features_recorded_from_an_earlier_version_lack_the_appended_ones() {
    let peer = WirePeer {
        vm: "entry-1".to_owned(),
        zone: "z1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 7341)),
        control: false,
    };
    let relay = WireRelay {
        address: SocketAddr::from(([127, 0, 0, 1], 7342)),
        token: 1,
    };
    let mut frame = encode_frame(&MeshMessage::Handshake(peer.clone()));
    // `rates` and `relay` as version 11fb428 encoded them, and nothing after them.
    frame.extend([1, 1, 0, 127, 0, 0, 1, 0xae, 0x39, 1]);
    let features = WireFeatures {
        rates: true,
        relay: Some(relay),
        ..WireFeatures::default()
    };
    assert_eq!(decode_handshake(&frame), Ok((peer, features)));
}

/// Guards against long prompts that other VMs cannot read.
#[test]
fn a_received_prompt_survives_a_round_trip() {
    let class = PromptClass::new(&ServiceName::from("assistant"), Duration::from_secs(3));
    let message = MeshMessage::PromptReceived(WireReceivedPrompt::new(&class, 600_040));
    assert_eq!(decode_frame(&encode_frame(&message)), Ok(message.clone()));
    let MeshMessage::PromptReceived(received) = message else {
        unreachable!("it was made above");
    };
    assert_eq!(received.into_core(), (class, 600_040));
}
