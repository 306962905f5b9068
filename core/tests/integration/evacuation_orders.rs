//! Numbered orders to evacuate zones: none that is late or doubled undoes a newer one.

use std::cell::Cell;

use merlinrudder_core::control::{Answer, Command, ControlState};
use merlinrudder_core::evacuation::PendingOrder;
use merlinrudder_core::names::ZoneName;
use proptest::collection::vec;
use proptest::prelude::{Strategy, any};
use proptest::prop_oneof;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

const CASES: u32 = 4000;
const SEED: [u8; 32] = [73; 32];
/// Control VMs of the simulation.
const VMS: usize = 3;

fn zone(name: &str) -> ZoneName {
    ZoneName::from(name)
}

fn order(state: &mut ControlState, name: &str, active: bool, after: u64) -> Answer {
    state.apply(Command::OrderEvacuation {
        zone: zone(name),
        active,
        after,
    })
}

/// Guards against an order that is applied late or twice.
#[test]
fn an_order_is_refused_once_another_one_was_applied_after_its_number() {
    let mut state = ControlState::default();
    assert_eq!(order(&mut state, "a", true, 0), Answer::Evacuations(1));
    assert_eq!(order(&mut state, "a", false, 1), Answer::Evacuations(2));
    for after in [0, 1] {
        let late = order(&mut state, "a", true, after);
        assert_eq!(late, Answer::EvacuationOvertaken(2));
    }
    assert!(state.evacuations.zones.is_empty());
}

/// Guards against an order that is sent again while its first copy waits for a slow disk, and then refused though it
/// is in force.
#[test]
fn a_copy_of_an_order_that_is_in_force_is_confirmed() {
    let mut state = ControlState::default();
    assert_eq!(order(&mut state, "a", true, 0), Answer::Evacuations(1));
    assert_eq!(order(&mut state, "a", true, 0), Answer::Evacuations(1));
    assert_eq!(state.evacuation_orders.newest(&zone("a")), 2);
}

/// Guards against a late order that overtakes a newer one which the set had satisfied already.
#[test]
fn an_order_that_changes_nothing_overtakes_earlier_ones_too() {
    let mut state = ControlState::default();
    order(&mut state, "a", true, 0);
    assert_eq!(order(&mut state, "a", true, 1), Answer::Evacuations(1));
    let late = order(&mut state, "a", false, 1);
    assert_eq!(late, Answer::EvacuationOvertaken(2));
    assert!(state.evacuations.zones.contains(&zone("a")));
}

/// Guards against orders about several zones at once that refuse each other.
#[test]
fn orders_about_other_zones_change_no_number() {
    let mut state = ControlState::default();
    for (revision, name) in (1..).zip(["a", "b", "c", "d", "e", "f", "g", "h"]) {
        let answer = order(&mut state, name, true, 0);
        assert_eq!(answer, Answer::Evacuations(revision));
    }
    assert_eq!(order(&mut state, "a", false, 1), Answer::Evacuations(9));
}

/// Guards against an order of an earlier version that comes late, which has no number.
#[test]
fn an_order_without_a_number_is_refused_once_there_was_a_numbered_one() {
    let mut state = ControlState::default();
    let unnumbered = |active| Command::SetEvacuation {
        zone: zone("a"),
        active,
    };
    assert_eq!(state.apply(unnumbered(true)), Answer::Evacuations(1));
    assert_eq!(order(&mut state, "b", true, 0), Answer::Evacuations(2));
    let late = state.apply(unnumbered(false));
    assert_eq!(late, Answer::EvacuationOvertaken(0));
    assert!(state.evacuations.zones.contains(&zone("a")));
}

/// Guards against an answer to an earlier copy that starts an order over for ever.
#[test]
fn a_late_refusal_of_an_earlier_copy_changes_nothing() {
    let mut pending = PendingOrder::new(3);
    assert!(!pending.overtaken(4), "not proposed yet");
    assert!(pending.caller_waits());
    assert!(pending.overtaken(5));
    assert!(!pending.is_proposed(), "the operator may have left");
    assert!(pending.caller_waits());
    assert!(!pending.overtaken(5));
    assert!(pending.is_proposed());
    pending.applied(9);
    assert!(!pending.overtaken(6));
    assert_eq!(pending.applied_revision(), Some(9));
}

/// One step of the simulation; numbers choose among what there is.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The operator gives its next order to a control VM, and has left the one before.
    Order(usize, bool),
    /// A control VM takes the next step of one of its orders.
    Advance(usize),
    /// A control VM applies more of the log.
    CatchUp(usize),
    /// A message on its way is appended to the log; it stays on its way, as it may arrive again.
    Append(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..VMS, any::<bool>()).prop_map(|(vm, active)| Step::Order(vm, active)),
        6 => (0..100_usize).prop_map(Step::Advance),
        3 => (0..VMS).prop_map(Step::CatchUp),
        5 => (0..100_usize).prop_map(Step::Append),
    ]
}

/// An order that was read by a control VM, and not dropped.
struct Read {
    number: usize,
    active: bool,
    pending: PendingOrder,
}

/// One operator, control VMs that lag behind the log, and a network that keeps all messages.
#[derive(Default)]
struct Sim {
    log: Vec<Command>,
    leader: ControlState,
    followers: [ControlState; VMS],
    /// Entries that each control VM has applied.
    applied: [usize; VMS],
    /// Orders that were given so far; the operator waits for the last one only.
    given: usize,
    reads: Vec<Read>,
    /// Proposals on their way, with the number of the order that each belongs to.
    proposals: Vec<(usize, Command)>,
    /// The newest confirmed order, and what it demands.
    confirmed: Option<(usize, bool)>,
}

impl Sim {
    fn run(&mut self, step: Step) {
        match step {
            Step::Order(vm, active) => {
                self.given += 1;
                let newest = self.followers[vm].evacuation_orders.newest(&zone("a"));
                self.reads.push(Read {
                    number: self.given,
                    active,
                    pending: PendingOrder::new(newest),
                });
            }
            Step::Advance(at) => self.advance(at),
            Step::CatchUp(vm) => {
                if let Some(command) = self.log.get(self.applied[vm]) {
                    self.followers[vm].apply(command.clone());
                    self.applied[vm] += 1;
                }
            }
            Step::Append(at) if !self.proposals.is_empty() => {
                let (number, command) = self.proposals[at % self.proposals.len()].clone();
                self.append(number, command);
            }
            Step::Append(_) => {}
        }
    }

    /// Lets a control VM propose an order, or else look at its operator.
    fn advance(&mut self, at: usize) {
        if self.reads.is_empty() {
            return;
        }
        let at = at % self.reads.len();
        let read = &mut self.reads[at];
        if read.pending.is_proposed() {
            let command = Command::OrderEvacuation {
                zone: zone("a"),
                active: read.active,
                after: read.pending.after(),
            };
            self.proposals.push((read.number, command));
        } else if read.number == self.given {
            read.pending.caller_waits();
        } else {
            self.reads.remove(at);
        }
    }

    fn append(&mut self, number: usize, command: Command) {
        self.log.push(command.clone());
        let answer = self.leader.apply(command);
        let Some(read) = self.reads.iter_mut().find(|read| read.number == number) else {
            return;
        };
        match answer {
            Answer::Evacuations(revision) => {
                read.pending.applied(revision);
                if number == self.given {
                    self.confirmed = Some((number, read.active));
                }
            }
            Answer::EvacuationOvertaken(newest) => {
                read.pending.overtaken(newest);
            }
            answer => panic!("{answer:?}"),
        }
    }

    /// Checks that the last order is in force once it was confirmed.
    fn check(&self) -> Result<(), String> {
        let evacuated = self.leader.evacuations.zones.contains(&zone("a"));
        match self.confirmed {
            Some((number, active)) if number == self.given && active != evacuated => Err(format!(
                "order {number} demands {active}, and {evacuated} is in force"
            )),
            _ => Ok(()),
        }
    }
}

/// Guards against any delay, copy or lag that lets an order undo a newer confirmed one.
#[test]
fn the_last_confirmed_order_stays_in_force_whatever_arrives_late() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let confirmed = Cell::new(0_u32);
    let result = runner.run(&vec(any_step(), 20..120), |steps| {
        let mut sim = Sim::default();
        for step in steps {
            sim.run(step);
            sim.check().map_err(TestCaseError::fail)?;
        }
        confirmed.set(confirmed.get() + u32::from(sim.confirmed.is_some()));
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    assert!(confirmed.get() > CASES / 2, "few cases confirm an order");
}
