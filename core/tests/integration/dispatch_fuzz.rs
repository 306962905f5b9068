//! Stateful fuzzing of the dispatcher's reservations against a simple model.

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

use crate::dispatch::{
    MEMORY, SLOTS, START, announcement, finish, key, new_dispatcher, spec, total,
};

const FUZZ_CASES: u32 = 600;

/// An input to the dispatcher, or a step of its clock.
#[derive(Clone, Copy, Debug)]
enum Event {
    Submit {
        request: u8,
        prompt: u64,
        large: bool,
    },
    Resubmit(u8),
    Finish(u8, u8),
    Abandon(u8),
    ServerLeaves(u8),
    Announce(u8, bool),
    AdvanceTime(u16),
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
        2 => any::<u8>().prop_map(Event::Resubmit),
        8 => (any::<u8>(), 0..5_u8).prop_map(|(request, end)| Event::Finish(request, end)),
        2 => any::<u8>().prop_map(Event::Abandon),
        1 => (0..5_u8).prop_map(Event::ServerLeaves),
        3 => (0..5_u8, any::<bool>()).prop_map(|(server, restarted)| Event::Announce(server, restarted)),
        3 => (1..3000_u16).prop_map(Event::AdvanceTime),
    ]
}

/// Model of a request without an outcome: what was submitted and what was granted.
#[derive(Clone, Debug)]
struct RequestModel {
    spec: AttemptSpec,
    granted: Option<Vec<GrantedServer>>,
}

/// Applies events to a dispatcher and compares its reservations with the sum of its grants.
struct Harness {
    dispatcher: Dispatcher,
    now: Moment,
    sequence: u64,
    incarnations: BTreeMap<u8, u64>,
    requests: BTreeMap<u128, RequestModel>,
}

impl Harness {
    fn new() -> Self {
        Self {
            dispatcher: new_dispatcher(5),
            now: START,
            sequence: 10,
            incarnations: BTreeMap::new(),
            requests: BTreeMap::new(),
        }
    }

    fn apply(&mut self, event: &Event) -> Result<(), String> {
        match *event {
            Event::Submit {
                request,
                prompt,
                large,
            } => {
                let customer = if large { "large" } else { "small" };
                let spec = spec(u128::from(request), customer, prompt);
                if let Entry::Vacant(vacant) = self.requests.entry(u128::from(request)) {
                    vacant.insert(RequestModel {
                        spec: spec.clone(),
                        granted: None,
                    });
                    self.dispatcher.submit(self.now, spec);
                }
            }
            Event::Resubmit(request) => {
                if let Some(model) = self.requests.get(&u128::from(request)) {
                    self.dispatcher.submit(self.now, model.spec.clone());
                }
            }
            Event::Finish(request, end) => self.finish(u128::from(request), end),
            Event::Abandon(request) => {
                self.requests.remove(&u128::from(request));
                self.dispatcher
                    .abandon(self.now, RequestId(u128::from(request)));
            }
            Event::ServerLeaves(server) => self.announce(server, false, true),
            Event::Announce(server, restarted) => self.announce(server, restarted, false),
            Event::AdvanceTime(millis) => {
                self.now = self.now + Duration::from_millis(u64::from(millis));
                self.dispatcher.tick(self.now);
            }
        }
        self.take_outputs()?;
        self.check_memory()
    }

    fn announce(&mut self, server: u8, restarted: bool, leaving: bool) {
        self.sequence += 1;
        let incarnation = self.incarnations.entry(server).or_insert(1);
        *incarnation += u64::from(restarted);
        let announced = Announcement {
            incarnation: *incarnation,
            leaving,
            ..announcement(u64::from(server), self.sequence)
        };
        self.dispatcher.announce(self.now, announced);
    }

    fn finish(&mut self, request: u128, end: u8) {
        let Some(servers) = self
            .requests
            .get(&request)
            .and_then(|model| model.granted.clone())
        else {
            return;
        };
        self.requests.remove(&request);
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
                    let model = self.requests.get_mut(&grant.request.0);
                    let model = model.ok_or("a request without a waiting caller was placed")?;
                    if total(&grant.servers) < model.spec.work.memory() {
                        return Err(format!(
                            "{:?} was granted less memory than it needs",
                            grant.request
                        ));
                    }
                    model.granted = Some(grant.servers);
                }
                DispatchOutput::Refuse { request, .. } => {
                    let model = self.requests.remove(&request.0);
                    let model = model.ok_or("a request without a waiting caller was refused")?;
                    if model.granted.is_some() {
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
                .requests
                .values()
                .filter_map(|model| model.granted.as_ref());
            let servers = granted
                .flatten()
                .filter(|server| server.id == key(number).id);
            let reserved = servers.fold(Tokens(0), |sum, server| sum + server.memory);
            if load.memory != reserved {
                return Err(format!(
                    "engine {number}: {:?} reserved, expected {reserved:?}",
                    load.memory
                ));
            }
            if reserved > MEMORY || load.running > SLOTS {
                return Err(format!(
                    "engine {number}: reservations exceed its memory or slots"
                ));
            }
        }
        Ok(())
    }

    /// Finishes all requests; all memory must be free again, and none may wait forever.
    fn finish_all(&mut self) -> Result<(), String> {
        for server in 0..5 {
            self.announce(server, false, false);
        }
        self.take_outputs()?;
        for _ in 0..2000 {
            let running = self
                .requests
                .iter()
                .find(|(_, model)| model.granted.is_some());
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
        if self.requests.is_empty() && self.dispatcher.running() == 0 {
            return Ok(());
        }
        Err(format!("{} requests have no outcome", self.requests.len()))
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
        let mut harness = Harness::new();
        for event in events {
            harness.apply(&event).map_err(TestCaseError::fail)?;
        }
        harness.finish_all().map_err(TestCaseError::fail)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
