//! Rendezvous hashing: all VMs compute the same ranking of candidates without communication.

use crate::names::{ServiceName, VmId, ZoneName};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hashes `parts` with FNV-1a and a final mix of the bits.
///
/// The result is the same on every VM and in every version.
#[must_use]
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_OFFSET;
    for part in parts {
        for byte in *part {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        hash = (hash ^ 0xff).wrapping_mul(FNV_PRIME);
    }
    mix(hash)
}

/// Ranks `vms` for a service in a zone: the dispatcher first, then its successors.
#[must_use]
pub fn rank_dispatchers<'a>(
    zone: &ZoneName,
    service: &ServiceName,
    vms: impl Iterator<Item = &'a VmId>,
) -> Vec<&'a VmId> {
    let mut ranked: Vec<_> = vms.map(|vm| (score(zone, service, vm), vm)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, vm)| vm).collect()
}

fn score(zone: &ZoneName, service: &ServiceName, vm: &VmId) -> u64 {
    stable_hash(&[
        zone.as_str().as_bytes(),
        service.as_str().as_bytes(),
        vm.as_str().as_bytes(),
    ])
}

/// Mixes the bits, so that names with different last letters rank independently.
const fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 30;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^= hash >> 27;
    hash = hash.wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
