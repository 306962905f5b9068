//! The manifest as a JSON document, and the checks that it must pass whole.

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::manifest::{
    CustomerRule, Manifest, ManifestNumber, Policy, RouteRule, ServiceKind, ServiceRule,
};
use merlinrudder_core::names::{CustomerName, ModelName, ServiceName, ZoneName};
use merlinrudder_core::units::{ContentDigest, Tokens};
use serde::{Deserialize, Serialize};

/// Largest manifest document, in bytes.
pub const MAX_MANIFEST_BYTES: usize = 4 * 1024 * 1024;
/// Longest time that a request may be given, in milliseconds.
const MAX_DEADLINE_MS: u64 = 24 * 3600 * 1000;

/// The document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WireManifest {
    /// Number; a higher one replaces a lower one.
    pub number: u64,
    /// Services.
    pub services: Vec<WireService>,
    /// Customers.
    pub customers: Vec<WireCustomer>,
    /// What the dispatchers weigh.
    #[serde(default)]
    pub policy: WirePolicy,
}

/// One service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WireService {
    /// Its name.
    pub name: String,
    /// `model` or `plain`.
    pub kind: WireKind,
    /// Zones in which its backend servers run.
    pub zones: Vec<String>,
    /// Models of a model service.
    #[serde(default)]
    pub models: Vec<String>,
    /// Time that every request has, in milliseconds.
    pub deadline_ms: u64,
    /// Further time for each thousand prompt tokens, in milliseconds.
    #[serde(default)]
    pub deadline_ms_per_thousand: u64,
    /// Most tokens of one answer.
    #[serde(default)]
    pub max_output_tokens: u64,
    /// Most retries in percent of requests.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u8,
    /// Most requests that wait at one dispatcher.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: usize,
    /// Whether its backend servers refuse orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Paths of a plain service.
    #[serde(default)]
    pub routes: Vec<WireRoute>,
}

/// Kind of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum WireKind {
    /// Engines that complete prompts.
    Model,
    /// Plain HTTP applications.
    Plain,
}

/// One path of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WireRoute {
    /// HTTP method in capitals.
    pub method: String,
    /// Path prefix.
    pub path: String,
    /// Whether a call may be repeated.
    pub idempotent: bool,
}

/// One customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WireCustomer {
    /// Its name.
    pub name: String,
    /// SHA-256 digest of its token, in 64 hexadecimal digits.
    pub token_sha256: String,
    /// Share of the fleet relative to others.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Most requests in progress in one zone.
    #[serde(default = "default_max_running")]
    pub max_running: u32,
    /// Services that it may use; empty means all.
    #[serde(default)]
    pub services: Vec<String>,
}

/// What the dispatchers weigh.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WirePolicy {
    /// Set of values to start from.
    #[serde(default)]
    pub preset: WirePreset,
    /// Prompts with at least this many tokens count as long.
    #[serde(default)]
    pub long_tokens: Option<u64>,
    /// Most engines in percent that may hold long prompts.
    #[serde(default)]
    pub long_percent: Option<u8>,
    /// Time of waiting that halves a request's weight, in milliseconds.
    #[serde(default)]
    pub aging_ms: Option<u64>,
}

/// A named set of policy values.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WirePreset {
    /// Weighs time to first token.
    #[default]
    FirstToken,
    /// Weighs the slowdown of shorts beside longs.
    ShortSlowdown,
}

fn default_retry_percent() -> u8 {
    10
}

fn default_queue_limit() -> usize {
    1000
}

fn default_weight() -> u32 {
    1
}

fn default_max_running() -> u32 {
    100
}

/// One fault of a manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ManifestFault {
    /// Path of the field, such as `services[2].routes[0].path`.
    pub field: String,
    /// What is wrong and what is valid.
    pub message: String,
}

/// All faults of a manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ManifestError {
    /// Never empty.
    pub faults: Vec<ManifestFault>,
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the manifest has {} fault(s)", self.faults.len())?;
        for fault in &self.faults {
            write!(f, "\n  {}: {}", fault.field, fault.message)?;
        }
        Ok(())
    }
}

impl Error for ManifestError {}

/// Reads and checks a whole document.
///
/// # Errors
/// Returns every fault that was found.
pub fn parse_manifest(bytes: &[u8]) -> Result<Manifest, ManifestError> {
    let mut faults = Faults::default();
    if bytes.len() > MAX_MANIFEST_BYTES {
        faults.add("", format!("is larger than {MAX_MANIFEST_BYTES} bytes"));
        return Err(faults.into_error());
    }
    let wire: WireManifest = match serde_json::from_slice(bytes) {
        Ok(wire) => wire,
        Err(error) => {
            faults.add("", error.to_string());
            return Err(faults.into_error());
        }
    };
    check(&wire, &mut faults);
    if !faults.0.is_empty() {
        return Err(faults.into_error());
    }
    Ok(convert(wire, ContentDigest::of(bytes)))
}

#[derive(Default)]
struct Faults(Vec<ManifestFault>);

impl Faults {
    fn add(&mut self, field: impl Into<String>, message: impl Into<String>) {
        self.0.push(ManifestFault {
            field: field.into(),
            message: message.into(),
        });
    }

    fn check(&mut self, sound: bool, field: impl Into<String>, message: &str) {
        if !sound {
            self.add(field, message);
        }
    }

    fn into_error(self) -> ManifestError {
        ManifestError { faults: self.0 }
    }
}

fn check(wire: &WireManifest, faults: &mut Faults) {
    faults.check(wire.number >= 1, "number", "must be at least 1");
    faults.check(
        !wire.services.is_empty(),
        "services",
        "must name at least one service",
    );
    faults.check(
        !wire.customers.is_empty(),
        "customers",
        "must name at least one customer",
    );
    let mut names = BTreeSet::new();
    for (index, service) in wire.services.iter().enumerate() {
        let field = format!("services[{index}]");
        check_unique(&mut names, &service.name, &field, faults);
        check_service(service, &field, faults);
    }
    check_routes(&wire.services, faults);
    let mut customers = BTreeSet::new();
    let mut tokens = BTreeSet::new();
    for (index, customer) in wire.customers.iter().enumerate() {
        let field = format!("customers[{index}]");
        check_unique(&mut customers, &customer.name, &field, faults);
        let unique = tokens.insert(customer.token_sha256.to_ascii_lowercase());
        faults.check(
            unique,
            format!("{field}.token_sha256"),
            "another customer has this token",
        );
        check_customer(customer, &names, &field, faults);
    }
    check_policy(&wire.policy, faults);
}

fn check_unique<'a>(
    names: &mut BTreeSet<&'a str>,
    name: &'a str,
    field: &str,
    faults: &mut Faults,
) {
    let letters = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let sound = !name.is_empty() && name.len() <= 64 && name.chars().all(letters);
    let rule = "must have 1 to 64 letters, digits, '-', '_' or '.'";
    faults.check(sound, format!("{field}.name"), rule);
    faults.check(names.insert(name), format!("{field}.name"), "stands twice");
}

fn check_service(service: &WireService, field: &str, faults: &mut Faults) {
    faults.check(
        !service.zones.is_empty(),
        format!("{field}.zones"),
        "must name a zone",
    );
    let deadlines = 1..=MAX_DEADLINE_MS;
    let rule = format!("must be 1 to {MAX_DEADLINE_MS}");
    let sound = deadlines.contains(&service.deadline_ms);
    faults.check(sound, format!("{field}.deadline_ms"), &rule);
    let sound = service.deadline_ms_per_thousand <= MAX_DEADLINE_MS;
    faults.check(sound, format!("{field}.deadline_ms_per_thousand"), &rule);
    let percent = format!("{field}.retry_percent");
    faults.check(service.retry_percent <= 100, percent, "must be 0 to 100");
    faults.check(
        service.queue_limit > 0,
        format!("{field}.queue_limit"),
        "must be at least 1",
    );
    match service.kind {
        WireKind::Model => {
            let output = format!("{field}.max_output_tokens");
            faults.check(
                service.max_output_tokens > 0,
                output,
                "must be at least 1 for a model",
            );
            let routes = format!("{field}.routes");
            faults.check(
                service.routes.is_empty(),
                routes,
                "must be empty for a model",
            );
        }
        WireKind::Plain => {
            let routes = format!("{field}.routes");
            faults.check(
                !service.routes.is_empty(),
                routes,
                "must name a path for a plain service",
            );
            let models = format!("{field}.models");
            faults.check(
                service.models.is_empty(),
                models,
                "must be empty for a plain service",
            );
        }
    }
}

fn check_routes(services: &[WireService], faults: &mut Faults) {
    let mut seen = BTreeSet::new();
    for (index, service) in services.iter().enumerate() {
        for (number, route) in service.routes.iter().enumerate() {
            let field = format!("services[{index}].routes[{number}]");
            let methods = ["GET", "PUT", "POST", "PATCH", "DELETE", "HEAD"];
            let sound = methods.contains(&route.method.as_str());
            let rule = "must be one of GET, PUT, POST, PATCH, DELETE, HEAD";
            faults.check(sound, format!("{field}.method"), rule);
            let sound = route.path.starts_with('/') && !route.path.starts_with("/v1/");
            let rule = "must start with '/' and not with '/v1/', which is the system's own";
            faults.check(sound, format!("{field}.path"), rule);
            let unique = seen.insert((route.method.as_str(), route.path.as_str()));
            faults.check(unique, field, "another route has this method and path");
        }
    }
}

fn check_customer(
    customer: &WireCustomer,
    services: &BTreeSet<&str>,
    field: &str,
    faults: &mut Faults,
) {
    let sound = ContentDigest::from_hex(&customer.token_sha256).is_some();
    let rule = "must have 64 hexadecimal digits";
    faults.check(sound, format!("{field}.token_sha256"), rule);
    faults.check(
        customer.weight > 0,
        format!("{field}.weight"),
        "must be at least 1",
    );
    faults.check(
        customer.max_running > 0,
        format!("{field}.max_running"),
        "must be at least 1",
    );
    for (index, service) in customer.services.iter().enumerate() {
        let known = services.contains(service.as_str());
        faults.check(
            known,
            format!("{field}.services[{index}]"),
            "no service has this name",
        );
    }
}

fn check_policy(policy: &WirePolicy, faults: &mut Faults) {
    let tokens = policy.long_tokens.is_none_or(|tokens| tokens > 0);
    faults.check(tokens, "policy.long_tokens", "must be at least 1");
    let percent = policy
        .long_percent
        .is_none_or(|percent| (1..=100).contains(&percent));
    faults.check(percent, "policy.long_percent", "must be 1 to 100");
    let aging = policy.aging_ms.is_none_or(|aging| aging > 0);
    faults.check(aging, "policy.aging_ms", "must be at least 1");
}

/// Converts a checked document.
fn convert(wire: WireManifest, digest: ContentDigest) -> Manifest {
    let services = wire.services.into_iter().map(|service| {
        let rule = ServiceRule::from(service);
        (rule.name.clone(), Arc::new(rule))
    });
    let customers: BTreeMap<_, _> = wire
        .customers
        .into_iter()
        .map(|customer| {
            let rule = CustomerRule::from(customer);
            (rule.name.clone(), Arc::new(rule))
        })
        .collect();
    Manifest {
        number: ManifestNumber(wire.number),
        digest,
        services: services.collect(),
        customers,
        policy: wire.policy.into(),
    }
}

impl From<WireService> for ServiceRule {
    fn from(wire: WireService) -> Self {
        Self {
            name: ServiceName::from(wire.name),
            kind: match wire.kind {
                WireKind::Model => ServiceKind::Model,
                WireKind::Plain => ServiceKind::Plain,
            },
            zones: wire.zones.into_iter().map(ZoneName::from).collect(),
            models: wire.models.into_iter().map(ModelName::from).collect(),
            deadline: Duration::from_millis(wire.deadline_ms),
            deadline_increment: Duration::from_millis(wire.deadline_ms_per_thousand),
            max_output: Tokens(wire.max_output_tokens),
            retry_percent: wire.retry_percent,
            queue_limit: wire.queue_limit,
            checks_fencing: wire.checks_fencing,
            routes: wire.routes.into_iter().map(RouteRule::from).collect(),
        }
    }
}

impl From<WireRoute> for RouteRule {
    fn from(wire: WireRoute) -> Self {
        Self {
            method: wire.method,
            path: wire.path,
            idempotent: wire.idempotent,
        }
    }
}

impl From<WireCustomer> for CustomerRule {
    fn from(wire: WireCustomer) -> Self {
        let token = ContentDigest::from_hex(&wire.token_sha256);
        Self {
            name: CustomerName::from(wire.name),
            token: token.unwrap_or(ContentDigest([0; 32])),
            weight: wire.weight,
            max_running: wire.max_running,
            services: wire.services.into_iter().map(ServiceName::from).collect(),
        }
    }
}

impl From<WirePolicy> for Policy {
    fn from(wire: WirePolicy) -> Self {
        let preset = match wire.preset {
            WirePreset::FirstToken => Self::FIRST_TOKEN,
            WirePreset::ShortSlowdown => Self::SHORT_SLOWDOWN,
        };
        Self {
            long_tokens: wire.long_tokens.map_or(preset.long_tokens, Tokens),
            long_percent: wire.long_percent.unwrap_or(preset.long_percent),
            aging_time: wire
                .aging_ms
                .map_or(preset.aging_time, Duration::from_millis),
        }
    }
}
