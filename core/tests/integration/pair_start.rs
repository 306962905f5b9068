//! Links to other entry VMs during the start of one.

use std::net::SocketAddr;

use merlinrudder_core::pair_start::PairStart;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Guards against links to all other VMs before a starting VM serves callers.
#[test]
fn other_entry_vms_are_dialled_once_after_the_hold() {
    let mut start = PairStart::default();
    assert!(start.learnt(vec![address(1), address(2)]).is_empty());
    assert!(start.learnt(vec![address(2), address(3)]).is_empty());
    assert_eq!(start.release(), [1, 2, 3].map(address));
    assert!(start.release().is_empty());
    assert_eq!(start.learnt(vec![address(4)]), [address(4)]);
}
