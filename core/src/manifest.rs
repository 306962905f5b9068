//! The manifest as the system uses it, after its checks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::names::{CustomerName, ModelName, ServiceName, ZoneName};
use crate::units::{ContentDigest, Tokens};

/// Number of a manifest; a higher one replaces a lower one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ManifestNumber(pub u64);

/// A whole deployment, as published.
#[derive(Clone, Debug, PartialEq)]
pub struct Manifest {
    /// Number in the document; at least 1.
    pub number: ManifestNumber,
    /// Digest of the document's bytes.
    pub digest: ContentDigest,
    /// Services by name; never empty.
    pub services: BTreeMap<ServiceName, Arc<ServiceRule>>,
    /// Customers by name; tokens are unique among them.
    pub customers: BTreeMap<CustomerName, Arc<CustomerRule>>,
    /// What the dispatchers weigh.
    pub policy: Policy,
}

impl Manifest {
    /// Finds the customer whose token has this digest.
    #[must_use]
    pub fn customer_by_token(&self, digest: &ContentDigest) -> Option<&Arc<CustomerRule>> {
        self.customers
            .values()
            .find(|customer| customer.token == *digest)
    }

    /// Finds the service and route of a plain call, the longest path first.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<(&Arc<ServiceRule>, &RouteRule)> {
        self.services
            .values()
            .flat_map(|service| service.routes.iter().map(move |route| (service, route)))
            .filter(|(_, route)| route.matches(method, path))
            .max_by_key(|(_, route)| route.path.len())
    }
}

/// What kind of backend server offers a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// Engines that complete prompts.
    Model,
    /// Plain HTTP applications.
    Plain,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Its name.
    pub name: ServiceName,
    /// Kind of its backend servers.
    pub kind: ServiceKind,
    /// Zones in which its backend servers run.
    pub zones: Vec<ZoneName>,
    /// Models that its engines may serve; empty for a plain service.
    pub models: Vec<ModelName>,
    /// Time that every request has; positive.
    pub deadline: Duration,
    /// Further time for each thousand prompt tokens.
    pub deadline_increment: Duration,
    /// Most tokens that one answer may have.
    pub max_output: Tokens,
    /// Most retries in percent of requests; 0 to 100.
    pub retry_percent: u8,
    /// Most requests that wait at one dispatcher; positive.
    pub queue_limit: usize,
    /// Whether its backend servers refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// Paths of a plain service; empty for a model service.
    pub routes: Vec<RouteRule>,
}

impl ServiceRule {
    /// Returns the time that a request with this prompt has.
    #[must_use]
    pub fn deadline_for(&self, prompt: Tokens) -> Duration {
        let thousands = u32::try_from(prompt.0 / 1000).unwrap_or(u32::MAX);
        self.deadline + self.deadline_increment.saturating_mul(thousands)
    }
}

/// One path of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// HTTP method in capitals.
    pub method: String,
    /// Path prefix, starting with a slash.
    pub path: String,
    /// Whether a call may be repeated.
    pub idempotent: bool,
}

impl RouteRule {
    /// Whether a call with this method and path takes this route.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path.as_str()) else {
            return false;
        };
        let whole_segment =
            rest.is_empty() || rest.starts_with(['/', '?']) || self.path.ends_with('/');
        whole_segment && self.method == method
    }
}

/// One customer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CustomerRule {
    /// Its name.
    pub name: CustomerName,
    /// Digest of the token that its callers send.
    pub token: ContentDigest,
    /// Share of the fleet relative to other customers; positive.
    pub weight: u32,
    /// Most requests in progress in one zone; positive.
    pub max_running: u32,
    /// Services it may use; empty means all.
    pub services: Vec<ServiceName>,
}

impl CustomerRule {
    /// Whether the customer may use this service.
    #[must_use]
    pub fn may_use(&self, service: &ServiceName) -> bool {
        self.services.is_empty() || self.services.contains(service)
    }
}

/// What the dispatchers weigh.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Prompts with at least this many uncached tokens count as long.
    pub long_tokens: Tokens,
    /// Most engines, in percent, that may hold a long prompt at once; 1 to 100.
    pub long_percent: u8,
    /// Time of waiting that halves a request's weight in the queue; positive.
    pub aging_time: Duration,
}

impl Policy {
    /// Weighs the first token of drafts: longs get fewer engines.
    pub const FIRST_TOKEN: Self = Self {
        long_tokens: Tokens(32_000),
        long_percent: 50,
        aging_time: Duration::from_secs(20),
    };

    /// Weighs the slowdown of shorts: longs get fewer engines and wait longer.
    pub const SHORT_SLOWDOWN: Self = Self {
        long_tokens: Tokens(16_000),
        long_percent: 40,
        aging_time: Duration::from_secs(40),
    };
}
