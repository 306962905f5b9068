//! Links between entry VMs: who dials.

use std::net::SocketAddr;
use std::time::Duration;

use merlinrudder_core::link_policy::{DIAL_HELP_DELAY, dial_delay};

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// Guards against two links for a pair, and against pairs without any.
#[test]
fn exactly_one_vm_of_a_pair_dials_at_once() {
    let addresses = ["10.0.0.9:7001", "10.0.0.10:7001", "10.0.0.10:7002"].map(address);
    for (at, low) in addresses.into_iter().enumerate() {
        for high in &addresses[at + 1..] {
            assert_eq!(dial_delay(low, *high), Duration::ZERO);
            assert_eq!(dial_delay(*high, low), DIAL_HELP_DELAY);
        }
    }
}
