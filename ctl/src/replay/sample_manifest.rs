//! The manifest for replays and for measurements of the dispatcher's cost.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::manifest::{
    CustomerRule, Manifest, ManifestNumber, Policy, ServiceKind, ServiceRule,
};
use merlinrudder_core::names::{CustomerName, ServiceName};
use merlinrudder_core::units::{ContentDigest, Tokens};

/// Returns the name of the customer with this number, as in the manifest.
pub(crate) fn customer_name(number: u32) -> CustomerName {
    CustomerName::from(format!("customer-{number}"))
}

/// Returns the rule of the manifest's only service, which serves a model.
pub(crate) fn service_rule() -> ServiceRule {
    ServiceRule {
        name: ServiceName::from("model"),
        kind: ServiceKind::Model,
        zones: Vec::new(),
        models: Vec::new(),
        deadline: Duration::from_mins(1),
        deadline_increment: Duration::from_millis(600),
        max_output: Tokens(4096),
        retry_percent: 10,
        queue_limit: 2_000,
        checks_fencing: true,
        routes: Vec::new(),
    }
}

/// Creates a manifest with one service and `customers` customers.
///
/// The first two customers are large: they have weight 4, all others weight 1.
pub(crate) fn manifest(rule: &Arc<ServiceRule>, policy: Policy, customers: u32) -> Arc<Manifest> {
    let customers = (0..customers).map(|number| {
        let rule = CustomerRule {
            name: customer_name(number),
            token: ContentDigest([0; 32]),
            weight: if number < 2 { 4 } else { 1 },
            max_running: 2_000,
            services: None,
        };
        (rule.name.clone(), Arc::new(rule))
    });
    Arc::new(Manifest {
        number: ManifestNumber(1),
        digest: ContentDigest([0; 32]),
        services: BTreeMap::from([(rule.name.clone(), Arc::clone(rule))]),
        customers: customers.collect(),
        policy,
    })
}
