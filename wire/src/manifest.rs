//! The manifest as a JSON document, and its validation.
//!
//! A manifest is accepted only as a whole; every invalid field is reported.

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

/// Maximum size of a manifest document, in bytes.
pub const MAX_MANIFEST_BYTES: usize = 4 * 1024 * 1024;
/// Maximum of each deadline setting, in milliseconds: 24 hours.
const MAX_DEADLINE_MS: u64 = 24 * 3600 * 1000;

/// Manifest document; unknown fields are rejected.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WireManifest {
    /// Number of the manifest, at least 1; a higher one replaces a lower one.
    pub number: u64,
    /// Services of the deployment; at least one.
    pub services: Vec<WireService>,
    /// Customers of the deployment; at least one.
    pub customers: Vec<WireCustomer>,
    /// Scheduling policy of the dispatchers.
    #[serde(default)]
    pub policy: WirePolicy,
}

/// Service and the limits on its requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WireService {
    /// Name of the service, unique in the manifest.
    pub name: String,
    /// `model` or `plain`.
    pub kind: WireServiceKind,
    /// Zones in which backend servers of the service run; at least one.
    pub zones: Vec<String>,
    /// Models that the engines may serve; empty for a plain service.
    #[serde(default)]
    pub models: Vec<String>,
    /// Base time limit of a request, in milliseconds; positive.
    pub deadline_ms: u64,
    /// Additional time limit for each full thousand prompt tokens, in milliseconds.
    #[serde(default)]
    pub deadline_ms_per_thousand: u64,
    /// Maximum number of output tokens of a request; positive for a model service.
    #[serde(default)]
    pub max_output_tokens: u64,
    /// Retry budget as a percentage of requests; 0 to 100.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u8,
    /// Maximum number of requests queued at one dispatcher; positive.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: usize,
    /// Whether the backend servers reject orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Routes of a plain service, at least one; empty for a model service.
    #[serde(default)]
    pub routes: Vec<WireRoute>,
}

/// Kind of the backend servers of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum WireServiceKind {
    /// Inference engines that complete prompts.
    Model,
    /// Plain HTTP applications.
    Plain,
}

/// Route to a plain service by HTTP method and path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WireRoute {
    /// HTTP method in upper case.
    pub method: String,
    /// Prefix of whole path segments; starts with `/`, but not with the reserved `/v1/`.
    pub path: String,
    /// Whether a call may run more than once.
    pub idempotent: bool,
}

/// Customer with its token and its limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WireCustomer {
    /// Name of the customer, unique in the manifest.
    pub name: String,
    /// SHA-256 digest of the customer's token, as 64 hexadecimal digits; unique.
    pub token_sha256: String,
    /// Fair-queueing weight relative to other customers; positive.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of requests in progress in one zone; positive.
    #[serde(default = "default_max_running")]
    pub max_running: u32,
    /// Services that the customer may use; all without this field, none if the list is empty.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub services: Option<Vec<String>>,
}

/// Scheduling policy of the dispatchers: a preset and the values that override it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WirePolicy {
    /// Preset for the values that are not given.
    #[serde(default)]
    pub preset: WirePreset,
    /// Number of tokens from which a prompt counts as long; positive.
    #[serde(default)]
    pub long_tokens: Option<u64>,
    /// Maximum percentage of engines that hold long prompts at once; 1 to 100.
    #[serde(default)]
    pub long_percent: Option<u8>,
    /// Queueing time after which a request's work counts half, in milliseconds; positive.
    #[serde(default)]
    pub aging_ms: Option<u64>,
}

/// Named set of policy values; `Policy` in the core defines them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WirePreset {
    /// Optimizes the time to first token.
    #[default]
    FirstToken,
    /// Limits the slowdown of short prompts beside long ones.
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

/// Invalid field of a manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ManifestFault {
    /// Path such as `services[2].routes[0].path`; empty for the whole document.
    pub field: String,
    /// Which values are valid, or what is wrong.
    pub message: String,
}

/// Error that lists all invalid fields of a manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ManifestError {
    /// Invalid fields; never empty.
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

/// Parses and validates a manifest document.
///
/// # Errors
/// Returns every invalid field; a document that is too large or cannot be parsed has one fault.
pub fn parse_manifest(bytes: &[u8]) -> Result<Manifest, ManifestError> {
    let mut faults = Faults::default();
    if bytes.len() > MAX_MANIFEST_BYTES {
        faults.add("", format!("must not exceed {MAX_MANIFEST_BYTES} bytes"));
        return Err(faults.into_error());
    }
    let wire: WireManifest = match serde_json::from_slice(bytes) {
        Ok(wire) => wire,
        Err(error) => {
            faults.add("", error.to_string());
            return Err(faults.into_error());
        }
    };
    check_manifest(&wire, &mut faults);
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

    fn require(&mut self, valid: bool, field: impl Into<String>, message: &str) {
        if !valid {
            self.add(field, message);
        }
    }

    fn into_error(self) -> ManifestError {
        ManifestError { faults: self.0 }
    }
}

fn check_manifest(wire: &WireManifest, faults: &mut Faults) {
    faults.require(wire.number >= 1, "number", "must be at least 1");
    faults.require(
        !wire.services.is_empty(),
        "services",
        "must name at least one service",
    );
    faults.require(
        !wire.customers.is_empty(),
        "customers",
        "must name at least one customer",
    );
    let mut service_names = BTreeSet::new();
    for (index, service) in wire.services.iter().enumerate() {
        let field = format!("services[{index}]");
        check_name(&mut service_names, &service.name, &field, faults);
        check_service(service, &field, faults);
    }
    check_routes(&wire.services, faults);
    let mut customer_names = BTreeSet::new();
    let mut token_digests = BTreeSet::new();
    for (index, customer) in wire.customers.iter().enumerate() {
        let field = format!("customers[{index}]");
        check_name(&mut customer_names, &customer.name, &field, faults);
        let unique = token_digests.insert(customer.token_sha256.to_ascii_lowercase());
        faults.require(
            unique,
            format!("{field}.token_sha256"),
            "another customer has this token",
        );
        check_customer(customer, &service_names, &field, faults);
    }
    check_policy(&wire.policy, faults);
}

fn check_name<'a>(names: &mut BTreeSet<&'a str>, name: &'a str, field: &str, faults: &mut Faults) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let valid = !name.is_empty() && name.len() <= 64 && name.chars().all(allowed);
    let message = "must be 1 to 64 ASCII letters, digits, '-', '_' or '.'";
    faults.require(valid, format!("{field}.name"), message);
    faults.require(
        names.insert(name),
        format!("{field}.name"),
        "is already in use",
    );
}

fn check_service(service: &WireService, field: &str, faults: &mut Faults) {
    faults.require(
        !service.zones.is_empty(),
        format!("{field}.zones"),
        "must name at least one zone",
    );
    let deadlines = 1..=MAX_DEADLINE_MS;
    let message = format!("must be 1 to {MAX_DEADLINE_MS}");
    let valid = deadlines.contains(&service.deadline_ms);
    faults.require(valid, format!("{field}.deadline_ms"), &message);
    let valid = service.deadline_ms_per_thousand <= MAX_DEADLINE_MS;
    faults.require(valid, format!("{field}.deadline_ms_per_thousand"), &message);
    let percent = format!("{field}.retry_percent");
    faults.require(service.retry_percent <= 100, percent, "must be 0 to 100");
    faults.require(
        service.queue_limit > 0,
        format!("{field}.queue_limit"),
        "must be at least 1",
    );
    match service.kind {
        WireServiceKind::Model => {
            let output = format!("{field}.max_output_tokens");
            faults.require(
                service.max_output_tokens > 0,
                output,
                "must be at least 1 for a model service",
            );
            let routes = format!("{field}.routes");
            faults.require(
                service.routes.is_empty(),
                routes,
                "must be empty for a model service",
            );
        }
        WireServiceKind::Plain => {
            let routes = format!("{field}.routes");
            faults.require(
                !service.routes.is_empty(),
                routes,
                "must name at least one route for a plain service",
            );
            let models = format!("{field}.models");
            faults.require(
                service.models.is_empty(),
                models,
                "must be empty for a plain service",
            );
        }
    }
}

fn check_routes(services: &[WireService], faults: &mut Faults) {
    let mut seen = BTreeSet::new();
    for (service_index, service) in services.iter().enumerate() {
        for (route_index, route) in service.routes.iter().enumerate() {
            let field = format!("services[{service_index}].routes[{route_index}]");
            let methods = ["GET", "PUT", "POST", "PATCH", "DELETE", "HEAD"];
            let valid = methods.contains(&route.method.as_str());
            let message = "must be one of GET, PUT, POST, PATCH, DELETE, HEAD";
            faults.require(valid, format!("{field}.method"), message);
            let valid = route.path.starts_with('/') && !route.path.starts_with("/v1/");
            let message = "must start with '/' and not with '/v1/', which is reserved";
            faults.require(valid, format!("{field}.path"), message);
            let unique = seen.insert((route.method.as_str(), route.path.as_str()));
            faults.require(unique, field, "another route has this method and path");
        }
    }
}

fn check_customer(
    customer: &WireCustomer,
    services: &BTreeSet<&str>,
    field: &str,
    faults: &mut Faults,
) {
    let valid = ContentDigest::from_hex(&customer.token_sha256).is_some();
    let message = "must be 64 hexadecimal digits";
    faults.require(valid, format!("{field}.token_sha256"), message);
    faults.require(
        customer.weight > 0,
        format!("{field}.weight"),
        "must be at least 1",
    );
    faults.require(
        customer.max_running > 0,
        format!("{field}.max_running"),
        "must be at least 1",
    );
    for (index, service) in customer.services.iter().flatten().enumerate() {
        let known = services.contains(service.as_str());
        faults.require(
            known,
            format!("{field}.services[{index}]"),
            "no service has this name",
        );
    }
}

fn check_policy(policy: &WirePolicy, faults: &mut Faults) {
    let tokens = policy.long_tokens.is_none_or(|tokens| tokens > 0);
    faults.require(tokens, "policy.long_tokens", "must be at least 1");
    let percent = policy
        .long_percent
        .is_none_or(|percent| (1..=100).contains(&percent));
    faults.require(percent, "policy.long_percent", "must be 1 to 100");
    let aging = policy.aging_ms.is_none_or(|aging| aging > 0);
    faults.require(aging, "policy.aging_ms", "must be at least 1");
}

/// Converts a document that `check_manifest` found valid.
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
                WireServiceKind::Model => ServiceKind::Model,
                WireServiceKind::Plain => ServiceKind::Plain,
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
            services: wire
                .services
                .map(|services| services.into_iter().map(ServiceName::from).collect()),
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
