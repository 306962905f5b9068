//! Dispatcher: fair order, limits, groups, crash suspects, and release of all reservations.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::dispatch::Dispatcher;
use merlinrudder_core::dispatch::message::{
    AttemptEnd, AttemptSpec, DispatchOutput, Finish, Grant, GrantedServer,
};
use merlinrudder_core::estimate::{EngineSpeed, WorkEstimate};
use merlinrudder_core::manifest::{
    CustomerRule, Manifest, ManifestNumber, Policy, ServiceKind, ServiceRule,
};
use merlinrudder_core::names::{CustomerName, ServerId, ServiceName, VmId, ZoneName};
use merlinrudder_core::outcome::RefusalReason;
use merlinrudder_core::registry::{
    Announcement, CacheEvent, CacheEvents, CacheView, LoadReport, RegistryChange, ServerKey,
};
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{AttemptId, ContentDigest, RequestId, Tokens};

pub const START: Moment = Moment::from_millis(1_000_000);
pub const MEMORY: Tokens = Tokens(400_000);
pub const SLOTS: u32 = 4;

fn service() -> ServiceName {
    ServiceName::from("drafts")
}

fn manifest() -> Arc<Manifest> {
    let rule = ServiceRule {
        name: service(),
        kind: ServiceKind::Model,
        zones: vec![ZoneName::from("zone")],
        models: Vec::new(),
        deadline: Duration::from_mins(2),
        deadline_increment: Duration::from_millis(200),
        max_output: Tokens(4096),
        retry_percent: 10,
        queue_limit: 50,
        checks_fencing: true,
        routes: Vec::new(),
    };
    let customer = |name: &str, weight| {
        let rule = CustomerRule {
            name: CustomerName::from(name),
            token: ContentDigest::of(name.as_bytes()),
            weight,
            max_running: 40,
            services: None,
        };
        (rule.name.clone(), Arc::new(rule))
    };
    Arc::new(Manifest {
        number: ManifestNumber(1),
        digest: ContentDigest([0; 32]),
        services: BTreeMap::from([(service(), Arc::new(rule))]),
        customers: BTreeMap::from([customer("large", 1), customer("small", 1)]),
        policy: Policy::FIRST_TOKEN,
    })
}

pub fn announcement(number: u64, sequence: u64) -> Announcement {
    Announcement {
        service: service(),
        zone: ZoneName::from("zone"),
        id: ServerId::from(format!("engine-{number}")),
        address: Arc::from("127.0.0.1:1"),
        incarnation: 1,
        sequence,
        lease: Duration::from_secs(5),
        memory: MEMORY,
        slots: SLOTS,
        speed: EngineSpeed::default(),
        models: Vec::new(),
        load: LoadReport::default(),
        cache: CacheEvents::default(),
        leaving: false,
    }
}

pub fn key(number: u64) -> ServerKey {
    ServerKey {
        service: service(),
        id: ServerId::from(format!("engine-{number}")),
    }
}

pub fn spec(request: u128, customer: &str, prompt: u64) -> AttemptSpec {
    AttemptSpec {
        request: RequestId(request),
        attempt: AttemptId(1),
        entry: VmId::from("vm-1"),
        service: service(),
        customer: CustomerName::from(customer),
        work: WorkEstimate {
            prompt: Tokens(prompt),
            max_output: Tokens(100),
            output: Tokens(100),
        },
        prefix: Arc::from([]),
        digest: ContentDigest::of(&request.to_le_bytes()),
        time_left: Duration::from_mins(2),
        avoid: Vec::new(),
    }
}

pub fn new_dispatcher(servers: u64) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(START);
    dispatcher.set_manifest(manifest());
    for number in 0..servers {
        dispatcher.announce(START, announcement(number, 1));
    }
    dispatcher
}

fn grants(dispatcher: &mut Dispatcher) -> Vec<Grant> {
    let outputs = dispatcher.take_outputs().into_iter();
    let grant = |output| match output {
        DispatchOutput::Grant(grant) => Some(grant),
        _ => None,
    };
    outputs.filter_map(grant).collect()
}

fn refusals(dispatcher: &mut Dispatcher) -> Vec<(RequestId, RefusalReason)> {
    let outputs = dispatcher.take_outputs().into_iter();
    let refusal = |output| match output {
        DispatchOutput::Refuse {
            request, refusal, ..
        } => Some((request, refusal.reason)),
        _ => None,
    };
    outputs.filter_map(refusal).collect()
}

pub fn finish(request: u128, end: AttemptEnd) -> Finish {
    Finish {
        request: RequestId(request),
        attempt: AttemptId(1),
        end,
    }
}

pub fn total(servers: &[GrantedServer]) -> Tokens {
    servers
        .iter()
        .fold(Tokens(0), |sum, server| sum + server.memory)
}

#[test]
fn a_prompt_larger_than_one_engine_gets_a_whole_group_or_none() {
    let mut dispatcher = new_dispatcher(3);
    dispatcher.submit(START, spec(1, "large", 1_000_000));
    let granted = grants(&mut dispatcher);
    assert_eq!(granted[0].servers.len(), 3);
    assert_eq!(total(&granted[0].servers), Tokens(1_000_100));
    dispatcher.submit(START, spec(2, "small", 1_000_000));
    assert!(
        grants(&mut dispatcher).is_empty(),
        "a second group must not reserve part of its memory"
    );
    dispatcher.finish(START, &finish(1, AttemptEnd::Complete));
    assert_eq!(grants(&mut dispatcher)[0].request, RequestId(2));
}

#[test]
fn a_prompt_larger_than_all_engines_together_is_refused() {
    let mut dispatcher = new_dispatcher(2);
    dispatcher.submit(START, spec(1, "large", 1_000_000));
    assert_eq!(
        refusals(&mut dispatcher),
        [(RequestId(1), RefusalReason::PromptTooLong)]
    );
}

#[test]
fn a_burst_of_one_customer_does_not_delay_another() {
    let mut dispatcher = new_dispatcher(1);
    for request in 0..30 {
        dispatcher.submit(START, spec(request, "large", 1_000));
    }
    let first: Vec<_> = grants(&mut dispatcher)
        .iter()
        .map(|grant| grant.request.0)
        .collect();
    assert_eq!(first.len(), SLOTS as usize);
    dispatcher.submit(START, spec(100, "small", 1_000));
    dispatcher.finish(START, &finish(first[0], AttemptEnd::Complete));
    assert_eq!(grants(&mut dispatcher)[0].request, RequestId(100));
}

#[test]
fn a_customer_over_its_limit_is_refused() {
    let mut dispatcher = new_dispatcher(1);
    for request in 0..41 {
        dispatcher.submit(START, spec(request, "large", 1_000));
    }
    assert_eq!(
        refusals(&mut dispatcher),
        [(RequestId(40), RefusalReason::CustomerLimit)]
    );
}

#[test]
fn long_prompts_leave_engines_to_short_prompts() {
    let mut dispatcher = new_dispatcher(4);
    for request in 0..4 {
        dispatcher.submit(START, spec(request, "large", 300_000));
    }
    assert_eq!(
        grants(&mut dispatcher).len(),
        2,
        "half of the engines may hold a long prompt"
    );
    dispatcher.submit(START, spec(10, "small", 1_000));
    let granted = grants(&mut dispatcher);
    let server = &granted[0].servers[0].id;
    let key = ServerKey {
        service: service(),
        id: server.clone(),
    };
    assert_eq!(dispatcher.load_of(&key, START).long_prefills, 0);
}

#[test]
fn a_duplicate_submission_repeats_the_grant_and_reserves_nothing_more() {
    let mut dispatcher = new_dispatcher(1);
    dispatcher.submit(START, spec(1, "large", 1_000));
    let first = grants(&mut dispatcher);
    dispatcher.submit(START, spec(1, "large", 1_000));
    assert_eq!(grants(&mut dispatcher), first);
    assert_eq!(dispatcher.running(), 1);
}

#[test]
fn a_server_that_left_gets_no_request_despite_a_late_announcement() {
    let mut dispatcher = new_dispatcher(1);
    let leaving = Announcement {
        leaving: true,
        ..announcement(0, 5)
    };
    assert_eq!(dispatcher.announce(START, leaving), RegistryChange::Left);
    assert_eq!(
        dispatcher.announce(START, announcement(0, 4)),
        RegistryChange::Stale
    );
    dispatcher.submit(START + Duration::from_secs(2), spec(1, "large", 1_000));
    assert_eq!(
        refusals(&mut dispatcher),
        [(RequestId(1), RefusalReason::NoServer)]
    );
}

#[test]
fn a_silent_server_gets_no_request_after_its_lease() {
    let mut dispatcher = new_dispatcher(1);
    let later = START + Duration::from_secs(5);
    dispatcher.tick(later);
    dispatcher.submit(later, spec(1, "large", 1_000));
    assert_eq!(
        refusals(&mut dispatcher),
        [(RequestId(1), RefusalReason::NoServer)]
    );
}

/// Reports, as the request's entry VM would, that its server died.
fn report_server_death(
    dispatcher: &mut Dispatcher,
    request: u128,
    attempt: u32,
) -> Vec<DispatchOutput> {
    let found = (0..10).map(key).find(|key| {
        dispatcher
            .requests_on(key)
            .iter()
            .any(|(placed, _)| *placed == RequestId(request))
    });
    let id = found.expect("the request is placed").id;
    let end = AttemptEnd::ServerDied(id);
    let finish = Finish {
        request: RequestId(request),
        attempt: AttemptId(attempt),
        end,
    };
    dispatcher.finish(START, &finish);
    dispatcher.take_outputs()
}

#[test]
fn a_request_that_crashes_two_servers_is_quarantined_and_others_are_not() {
    let mut dispatcher = new_dispatcher(6);
    dispatcher.submit(START, spec(1, "large", 1_000));
    dispatcher.take_outputs();
    report_server_death(&mut dispatcher, 1, 1);
    // Its second attempt runs alone: later requests are placed on other servers.
    dispatcher.submit(
        START,
        AttemptSpec {
            attempt: AttemptId(2),
            ..spec(1, "large", 1_000)
        },
    );
    let exclusive_server = grants(&mut dispatcher)[0].servers[0].id.clone();
    for request in 10..20 {
        dispatcher.submit(START, spec(request, "small", 1_000));
    }
    let others = grants(&mut dispatcher);
    assert!(
        others
            .iter()
            .all(|grant| grant.servers[0].id != exclusive_server)
    );
    let outputs = report_server_death(&mut dispatcher, 1, 2);
    let quarantined = spec(1, "large", 1_000).digest;
    assert!(outputs.contains(&DispatchOutput::Quarantine(quarantined)));
    dispatcher.submit(START, spec(2, "large", 1_000));
    let same_content = AttemptSpec {
        digest: quarantined,
        ..spec(3, "large", 1_000)
    };
    dispatcher.submit(START, same_content);
    assert_eq!(
        refusals(&mut dispatcher),
        [(RequestId(3), RefusalReason::Quarantined)]
    );
}

#[test]
fn a_lost_entry_vm_frees_its_reservations_and_its_requests_are_cancelled() {
    let mut dispatcher = new_dispatcher(1);
    dispatcher.submit(START, spec(1, "large", 1_000));
    dispatcher.take_outputs();
    dispatcher.vm_lost(START, &VmId::from("vm-1"));
    let outputs = dispatcher.take_outputs();
    assert!(
        matches!(outputs.as_slice(), [DispatchOutput::Cancel { request, .. }]
        if *request == RequestId(1))
    );
    assert_eq!(dispatcher.load_of(&key(0), START).memory, Tokens(0));
}

#[test]
fn a_cached_prefix_attracts_requests_until_cache_events_are_lost() {
    let mut dispatcher = new_dispatcher(3);
    let one_block = |first, block| CacheEvents {
        first,
        events: vec![CacheEvent::Added(block)],
    };
    let with_prefix = |request| AttemptSpec {
        prefix: Arc::from([7]),
        ..spec(request, "large", 1_000)
    };
    let with_block = Announcement {
        cache: one_block(0, 7),
        ..announcement(2, 2)
    };
    dispatcher.announce(START, with_block);
    dispatcher.submit(START, with_prefix(1));
    assert_eq!(grants(&mut dispatcher)[0].servers[0].id, key(2).id);
    dispatcher.abandon(START, RequestId(1));
    let after_gap = Announcement {
        cache: one_block(5, 8),
        ..announcement(2, 3)
    };
    dispatcher.announce(START, after_gap);
    dispatcher.submit(START, with_prefix(2));
    assert_eq!(
        grants(&mut dispatcher)[0].servers[0].id,
        key(0).id,
        "a cache view with lost events must not be used"
    );
    dispatcher.abandon(START, RequestId(2));
    dispatcher.reset_cache_view(&key(2), 1, CacheView::from_snapshot(6, [7]));
    dispatcher.submit(START, with_prefix(3));
    assert_eq!(
        grants(&mut dispatcher)[0].servers[0].id,
        key(2).id,
        "the cache view was replaced"
    );
}
