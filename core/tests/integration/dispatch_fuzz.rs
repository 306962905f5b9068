//! Stateful fuzzing of the dispatcher against a simple sum of what it promised.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use merlinrudder_core::dispatch::Dispatcher;
use merlinrudder_core::dispatch::message::{
    AttemptEnd, AttemptSpec, DispatchOutput, GrantedServer,
};
use merlinrudder_core::registry::Announcement;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{RequestId, Tokens};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any};
use proptest::prop_oneof;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

use crate::dispatch::{MEMORY, SLOTS, START, announcement, ask, finish, key, open, total};

const FUZZ_CASES: u32 = 600;

/// Something that happens to a dispatcher.
#[derive(Clone, Copy, Debug)]
enum Event {
    Submit {
        request: u8,
        prompt: u64,
        large: bool,
    },
    Again(u8),
    Finish(u8, u8),
    Abandon(u8),
    Leave(u8),
    Announce(u8, bool),
    Time(u16),
}

fn event() -> impl Strategy<Value = Event> {
    let prompt = prop_oneof![
        Just(1_000_u64),
        Just(40_000),
        Just(350_000),
        Just(500_000),
        Just(1_000_000)
    ];
    prop_oneof![
        8 => (any::<u8>(), prompt, any::<bool>())
            .prop_map(|(request, prompt, large)| Event::Submit { request, prompt, large }),
        2 => any::<u8>().prop_map(Event::Again),
        8 => (any::<u8>(), 0..5_u8).prop_map(|(request, end)| Event::Finish(request, end)),
        2 => any::<u8>().prop_map(Event::Abandon),
        1 => (0..5_u8).prop_map(Event::Leave),
        3 => (0..5_u8, any::<bool>()).prop_map(|(server, new)| Event::Announce(server, new)),
        3 => (1..3000_u16).prop_map(Event::Time),
    ]
}

/// What the outside knows of a request.
#[derive(Clone, Debug)]
struct Known {
    ask: AttemptSpec,
    granted: Option<Vec<GrantedServer>>,
}

/// Plays events against a dispatcher and holds its promises against a simple sum.
struct Play {
    dispatcher: Dispatcher,
    now: Moment,
    sequence: u64,
    incarnations: BTreeMap<u8, u64>,
    known: BTreeMap<u128, Known>,
}

impl Play {
    fn new() -> Self {
        Self {
            dispatcher: open(5),
            now: START,
            sequence: 10,
            incarnations: BTreeMap::new(),
            known: BTreeMap::new(),
        }
    }

    fn happen(&mut self, event: &Event) -> Result<(), String> {
        match *event {
            Event::Submit {
                request,
                prompt,
                large,
            } => {
                let customer = if large { "large" } else { "small" };
                let ask = ask(u128::from(request), customer, prompt);
                if let Entry::Vacant(place) = self.known.entry(u128::from(request)) {
                    place.insert(Known {
                        ask: ask.clone(),
                        granted: None,
                    });
                    self.dispatcher.submit(self.now, ask);
                }
            }
            Event::Again(request) => {
                if let Some(known) = self.known.get(&u128::from(request)) {
                    self.dispatcher.submit(self.now, known.ask.clone());
                }
            }
            Event::Finish(request, end) => self.finish(u128::from(request), end),
            Event::Abandon(request) => {
                self.known.remove(&u128::from(request));
                self.dispatcher
                    .abandon(self.now, RequestId(u128::from(request)));
            }
            Event::Leave(server) => self.announce(server, false, true),
            Event::Announce(server, new) => self.announce(server, new, false),
            Event::Time(millis) => {
                self.now = self.now + Duration::from_millis(u64::from(millis));
                self.dispatcher.tick(self.now);
            }
        }
        self.take_outputs()?;
        self.check_memory()
    }

    fn announce(&mut self, server: u8, new: bool, leaving: bool) {
        self.sequence += 1;
        let incarnation = self.incarnations.entry(server).or_insert(1);
        *incarnation += u64::from(new);
        let announced = Announcement {
            incarnation: *incarnation,
            leaving,
            ..announcement(u64::from(server), self.sequence)
        };
        self.dispatcher.announce(self.now, announced);
    }

    fn finish(&mut self, request: u128, end: u8) {
        let Some(servers) = self
            .known
            .get(&request)
            .and_then(|known| known.granted.clone())
        else {
            return;
        };
        self.known.remove(&request);
        let end = match end {
            0 => AttemptEnd::Refused,
            1 => AttemptEnd::Broken,
            2 => AttemptEnd::ServerDied(servers[0].id.clone()),
            3 => AttemptEnd::Cancelled,
            _ => AttemptEnd::Complete,
        };
        self.dispatcher.finish(self.now, &finish(request, end));
    }

    fn take_outputs(&mut self) -> Result<(), String> {
        for output in self.dispatcher.take_outputs() {
            match output {
                DispatchOutput::Grant(grant) => {
                    let known = self.known.get_mut(&grant.request.0);
                    let known = known.ok_or("a request that nobody waits for was placed")?;
                    if total(&grant.servers) < known.ask.work.memory() {
                        return Err(format!("{:?} got only a part of its memory", grant.request));
                    }
                    known.granted = Some(grant.servers);
                }
                DispatchOutput::Refuse { request, .. } => {
                    let known = self.known.remove(&request.0);
                    let known = known.ok_or("a request that nobody waits for was refused")?;
                    if known.granted.is_some() {
                        return Err("a placed request was refused".to_owned());
                    }
                }
                DispatchOutput::Cancel { .. } | DispatchOutput::Quarantine(_) => {}
            }
        }
        Ok(())
    }

    fn check_memory(&self) -> Result<(), String> {
        for number in 0..5 {
            let load = self.dispatcher.load_of(&key(number), self.now);
            let granted = self
                .known
                .values()
                .filter_map(|known| known.granted.as_ref());
            let servers = granted
                .flatten()
                .filter(|server| server.id == key(number).id);
            let promised = servers.fold(Tokens(0), |sum, server| sum + server.memory);
            if load.memory != promised {
                return Err(format!(
                    "engine {number}: {:?} in place of {promised:?}",
                    load.memory
                ));
            }
            if promised > MEMORY || load.running > SLOTS {
                return Err(format!("engine {number} was promised more than it has"));
            }
        }
        Ok(())
    }

    /// Ends everything; all memory must be back, and nothing may wait for ever.
    fn settle(&mut self) -> Result<(), String> {
        for server in 0..5 {
            self.announce(server, false, false);
        }
        self.take_outputs()?;
        for _ in 0..2000 {
            let running = self.known.iter().find(|(_, known)| known.granted.is_some());
            let Some(request) = running.map(|(request, _)| *request) else {
                break;
            };
            self.finish(request, 4);
            self.take_outputs()?;
            self.check_memory()?;
        }
        self.now = self.now + Duration::from_mins(10);
        self.dispatcher.tick(self.now);
        self.take_outputs()?;
        if self.known.is_empty() && self.dispatcher.running() == 0 {
            return Ok(());
        }
        Err(format!("{} requests have no outcome", self.known.len()))
    }
}

#[test]
fn every_request_has_one_outcome_and_all_memory_comes_back() {
    let config = Config {
        cases: FUZZ_CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&vec(event(), 20..200), |events| {
        let mut play = Play::new();
        for event in events {
            play.happen(&event).map_err(TestCaseError::fail)?;
        }
        play.settle().map_err(TestCaseError::fail)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
