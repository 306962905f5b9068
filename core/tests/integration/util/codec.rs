//! Codec of the simulation: commands as bytes, snapshots by their id.

use std::sync::Arc;

use merlinrudder_core::claims::ClaimKey;
use merlinrudder_core::control::{Command, ControlState, PublishedManifest};
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::names::{CustomerName, ServiceName};
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{ContentDigest, RequestId};

/// Returns the snapshot with the id in `data`; empty data is the initial state.
pub fn decode_snapshot(snapshots: &[ControlState], data: &[u8]) -> ControlState {
    let Ok(snapshot_id) = <[u8; 8]>::try_from(data) else {
        return ControlState::default();
    };
    let snapshot_id = usize::try_from(u64::from_le_bytes(snapshot_id)).expect("a snapshot id");
    snapshots[snapshot_id].clone()
}

/// Encodes a publish (kind byte 0) or a claim (kind byte 1).
pub fn encode_command(command: &Command) -> Arc<[u8]> {
    match command {
        Command::Publish(published) => {
            let mut bytes = vec![0];
            bytes.extend_from_slice(&published.bytes);
            Arc::from(bytes)
        }
        Command::Claim {
            key, owner, now, ..
        } => {
            let mut bytes = vec![1];
            bytes.extend_from_slice(&owner.0.to_le_bytes());
            bytes.extend_from_slice(&now.as_millis().to_le_bytes());
            bytes.extend_from_slice(key.key.as_bytes());
            Arc::from(bytes)
        }
        _ => unreachable!("the fuzzing proposes only publishes and claims"),
    }
}

/// Decodes a command encoded by `encode_command`.
pub fn decode_command(bytes: &[u8]) -> Command {
    if bytes[0] == 0 {
        let number = ManifestNumber(u64::from(bytes[1]));
        return Command::Publish(PublishedManifest {
            number,
            bytes: Arc::from(&bytes[1..]),
        });
    }
    let owner = RequestId(u128::from_le_bytes(
        bytes[1..17].try_into().expect("an owner"),
    ));
    let now = u64::from_le_bytes(bytes[17..25].try_into().expect("a time"));
    Command::Claim {
        key: ClaimKey {
            customer: CustomerName::from("customer"),
            service: ServiceName::from("service"),
            key: Arc::from(std::str::from_utf8(&bytes[25..]).expect("a key")),
        },
        owner,
        content: ContentDigest([0; 32]),
        now: Moment::from_millis(now),
    }
}
