//! Entry VMs that are asked for the crash history while no control VM is linked.

use merlinrudder_core::history_pull::{CONTROL_WAIT, HistoryPull};
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;

fn vms(count: usize) -> impl Iterator<Item = VmId> {
    (0..count).map(|number| VmId::from(format!("vm-{number}")))
}

/// Guards against a VM without a crash history while the control VMs are down.
#[test]
fn a_few_entry_vms_are_asked_once_no_control_vm_was_linked_for_a_while() {
    let start = Moment::from_millis(1000);
    let mut pull = HistoryPull::default();
    assert_eq!(pull.due(start, vms(9)), Vec::<VmId>::new());
    let later = start + CONTROL_WAIT;
    assert_eq!(pull.due(later, vms(2)).len(), 2);
    assert_eq!(pull.due(later, vms(9)), vec![VmId::from("vm-2")]);
    assert_eq!(pull.due(later + CONTROL_WAIT, vms(9)), Vec::<VmId>::new());
}

/// Guards against a history that each VM gets from all others though control VMs have it.
#[test]
fn no_entry_vm_is_asked_shortly_after_a_control_vm_was_linked() {
    let start = Moment::from_millis(1000);
    let mut pull = HistoryPull::default();
    pull.due(start, vms(9));
    pull.control_linked();
    assert!(pull.due(start + CONTROL_WAIT, vms(9)).is_empty());
    assert_eq!(pull.due(start + CONTROL_WAIT * 2, vms(9)).len(), 3);
}
