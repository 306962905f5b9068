//! Orders to evacuate a zone that come late, after a newer order was confirmed.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use merlinrudder_core::control::{Answer, Command};
use merlinrudder_core::names::ZoneName;
use merlinrudder_fakes::nodes::{CONTROL_VMS, Nodes, wait_for};
use merlinrudder_wire::mesh::{MeshMessage, WireFeatures, WireProposeResult, decode_frame};
use nix::sys::signal::Signal;

use crate::deployment::start_with;
use crate::evacuation::{leader, list, order};
use crate::hand_link::HandLink;

const ZONE: &str = "z1";
/// Connections on which the same order is given up, so that some are read before their end is seen.
const COPIES: usize = 30;
/// Times that a VM is frozen in a test.
const ROUNDS: usize = 4;
/// Time in which what is sent to a frozen process has reached its sockets.
const TRANSIT_TIME: Duration = Duration::from_millis(100);
/// Time after which an order that a VM has read is confirmed, refused or given up.
const CALL_TIME: Duration = Duration::from_millis(1200);

/// Which control VM is frozen.
#[derive(Clone, Copy, Debug)]
enum Frozen {
    Follower,
    Leader,
}

/// Sends an order on many connections to a control VM, and closes them without an answer.
fn give_up_orders(nodes: &Nodes, control: usize, active: bool) {
    let address = nodes.control_address(control);
    let call = if active { "Start" } else { "End" };
    let request = format!(
        "POST /-/Evacuations.{call}/{ZONE} HTTP/1.1\r\nhost: {address}\r\ncontent-length: 0\r\n\r\n"
    );
    let send = |_| {
        let mut stream = TcpStream::connect(address).expect("the kernel accepts connections");
        let sent = stream.write_all(request.as_bytes());
        sent.expect("the kernel takes the request");
        stream
    };
    let connections: Vec<_> = (0..COPIES).map(send).collect();
    thread::sleep(TRANSIT_TIME);
    drop(connections);
}

/// Gives an order to the control VMs other than `frozen` until it is acknowledged.
fn order_elsewhere(nodes: &Nodes, frozen: usize, active: bool) {
    wait_for("an acknowledged order", || {
        let mut others = (0..CONTROL_VMS).filter(|at| *at != frozen);
        others.any(|at| nodes.order_evacuation(at, ZONE, active) == 200)
    });
}

/// Opens a link to a control VM as another control VM, which may be of an earlier version.
fn link(nodes: &Nodes, control: usize, evacuation_orders: bool) -> HandLink {
    let features = WireFeatures {
        evacuations: true,
        evacuation_orders,
        ..WireFeatures::default()
    };
    HandLink::open_with(nodes.link_address(control), "played", true, &features).keep()
}

/// Proposes a command to the VM that leads; returns its answer, `None` if it does not append the command.
fn propose(link: &mut HandLink, number: u64, command: Command) -> Option<Answer> {
    let command = command.into();
    link.send(&MeshMessage::Propose {
        id: number,
        command,
    });
    loop {
        let frame = link.read_frame().expect("an open link");
        if frame.is_empty() {
            continue;
        }
        match decode_frame(&frame).expect("a message") {
            MeshMessage::ProposeReply { id, result } if id == number => {
                return match result {
                    WireProposeResult::Committed(answer) => Some(answer.into()),
                    WireProposeResult::NotLeader { .. } => None,
                };
            }
            _ => {}
        }
    }
}

fn numbered(active: bool, after: u64) -> Command {
    Command::OrderEvacuation {
        zone: ZoneName::from(ZONE),
        active,
        after,
    }
}

/// Returns the number of the newest order, by the refusal of one whose number cannot be reached.
///
/// Waits until the leader takes numbered orders.
fn newest(link: &mut HandLink) -> u64 {
    let mut newest = None;
    wait_for("the number of the newest order", || {
        if let Some(Answer::EvacuationOvertaken(number)) =
            propose(link, 6, numbered(false, u64::MAX))
        {
            newest = Some(number);
        }
        newest.is_some()
    });
    newest.expect("a number")
}

/// Freezes a control VM, gives up `late` orders there, confirms `newer` ones elsewhere, and wakes the VM.
///
/// Checks that the last order stays in force at all control VMs, in each of some rounds.
fn check_rounds(which: Frozen, late: bool, newer: &[bool]) {
    let nodes = start_with(0, |_| {});
    let last = *newer.last().expect("a newer order");
    order(&nodes, ZONE, last);
    for round in 0..ROUNDS {
        let leading = leader(&nodes);
        let frozen = match which {
            Frozen::Leader => leading,
            Frozen::Follower => (leading + 1 + round % 2) % CONTROL_VMS,
        };
        nodes.signal(frozen, Signal::SIGSTOP).expect("a running VM");
        give_up_orders(&nodes, frozen, late);
        for active in newer {
            order_elsewhere(&nodes, frozen, *active);
        }
        nodes.signal(frozen, Signal::SIGCONT).expect("a stopped VM");
        thread::sleep(CALL_TIME);
        let zones = if last { "[\"z1\"]" } else { "[]" };
        for control in 0..CONTROL_VMS {
            wait_for("the last order in force at a control VM", || {
                list(&nodes, control).ends_with(&format!("{zones}}}"))
            });
            let listed = list(&nodes, control);
            assert!(
                listed.ends_with(&format!("{zones}}}")),
                "round {round}: {listed}"
            );
        }
    }
}

/// Guards against an evacuation that a woken follower ends by an order which its operator had given up.
#[test]
fn a_late_end_at_a_woken_follower_does_not_undo_a_newer_start() {
    check_rounds(Frozen::Follower, false, &[false, true]);
}

/// Guards against the same at the VM that leads, which takes orders from its own sockets.
#[test]
fn a_late_end_at_a_woken_leader_does_not_undo_a_newer_start() {
    check_rounds(Frozen::Leader, false, &[false, true]);
}

/// Guards against a late order that overtakes a newer one which has changed nothing.
#[test]
fn a_late_end_does_not_undo_a_start_that_was_confirmed_anew() {
    check_rounds(Frozen::Follower, false, &[true]);
}

/// Guards against a zone that stays shut, as a late order begins its evacuation again.
#[test]
fn a_late_start_does_not_undo_a_newer_end() {
    check_rounds(Frozen::Follower, true, &[true, false]);
}

/// Guards against a proposal that is held up on its link, or sent again after its first copy was committed.
#[test]
fn a_copy_of_an_order_that_reaches_the_leader_late_does_not_undo_a_newer_one() {
    let nodes = start_with(0, |_| {});
    order(&nodes, ZONE, true);
    let mut link = link(&nodes, leader(&nodes), true);
    let after = newest(&mut link);
    let late = numbered(false, after);
    let first = propose(&mut link, 7, late.clone());
    assert!(matches!(first, Some(Answer::Evacuations(_))), "{first:?}");
    order(&nodes, ZONE, true);
    let copy = propose(&mut link, 7, late);
    let is_refused =
        matches!(copy, Some(Answer::EvacuationOvertaken(newest)) if newest >= after + 2);
    assert!(is_refused, "{copy:?}");
    let unnumbered = Command::SetEvacuation {
        zone: ZoneName::from(ZONE),
        active: false,
    };
    assert_eq!(propose(&mut link, 8, unnumbered), None);
    for control in 0..CONTROL_VMS {
        wait_for("the newest order at a control VM", || {
            list(&nodes, control).ends_with(r#""zones":["z1"]}"#)
        });
    }
}

/// Guards against a command that a control VM of an earlier version cannot decode, and stops at.
#[test]
fn orders_have_no_number_while_a_control_vm_of_an_earlier_version_is_linked() {
    let nodes = start_with(0, |_| {});
    let leader = leader(&nodes);
    let earlier: Vec<_> = (0..CONTROL_VMS).map(|at| link(&nodes, at, false)).collect();
    order(&nodes, ZONE, true);
    drop(earlier);
    let mut link = link(&nodes, leader, true);
    assert_eq!(newest(&mut link), 0, "the order had no number");
    let next = propose(&mut link, 7, numbered(false, 0));
    assert_eq!(next, Some(Answer::Evacuations(2)));
}
