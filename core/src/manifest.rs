//! The validated manifest: services, customers and scheduling policy of a deployment.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::names::{CustomerName, ModelName, ServiceName, ZoneName};
use crate::units::{ContentDigest, Tokens};

/// Number of a manifest; a higher one replaces a lower one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ManifestNumber(pub u64);

/// A complete deployment configuration, as published.
#[derive(Clone, Debug, PartialEq)]
pub struct Manifest {
    /// Number given in the document; at least 1.
    pub number: ManifestNumber,
    /// SHA-256 digest of the document's bytes.
    pub digest: ContentDigest,
    /// Services by name; never empty.
    pub services: BTreeMap<ServiceName, Arc<ServiceRule>>,
    /// Customers by name; no two have the same token.
    pub customers: BTreeMap<CustomerName, Arc<CustomerRule>>,
    /// Scheduling policy of the dispatchers.
    pub policy: Policy,
}

impl Manifest {
    /// Finds the customer by the SHA-256 digest of its token.
    #[must_use]
    pub fn customer_by_token(&self, digest: &ContentDigest) -> Option<&Arc<CustomerRule>> {
        self.customers
            .values()
            .find(|customer| customer.token == *digest)
    }

    /// Finds the route of a plain HTTP call with the longest matching path.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<(&Arc<ServiceRule>, &RouteRule)> {
        self.services
            .values()
            .flat_map(|service| service.routes.iter().map(move |route| (service, route)))
            .filter(|(_, route)| route.matches(method, path))
            .max_by_key(|(_, route)| route.path.len())
    }
}

/// Kind of the backend servers of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// Inference engines that complete prompts.
    Model,
    /// Plain HTTP applications.
    Plain,
}

/// A service and the limits on its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: ServiceName,
    /// Kind of the backend servers.
    pub kind: ServiceKind,
    /// Zones in which backend servers of the service run.
    pub zones: Vec<ZoneName>,
    /// Models that the engines may serve; empty for a plain service.
    pub models: Vec<ModelName>,
    /// Base time limit of a request; positive.
    pub deadline: Duration,
    /// Additional time limit for each full thousand prompt tokens.
    pub deadline_increment: Duration,
    /// Maximum number of output tokens of a request.
    pub max_output: Tokens,
    /// Retry budget as a percentage of requests; 0 to 100.
    pub retry_percent: u8,
    /// Maximum number of requests queued at one dispatcher; positive.
    pub queue_limit: usize,
    /// Whether the backend servers reject orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Routes of a plain service; empty for a model service.
    pub routes: Vec<RouteRule>,
}

impl ServiceRule {
    /// Returns the time limit of a request with this prompt length.
    #[must_use]
    pub fn deadline_for(&self, prompt: Tokens) -> Duration {
        let thousands = u32::try_from(prompt.0 / 1000).unwrap_or(u32::MAX);
        self.deadline + self.deadline_increment.saturating_mul(thousands)
    }
}

/// A route to a plain service by HTTP method and path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// HTTP method in upper case.
    pub method: String,
    /// Path prefix that starts with a slash and matches whole path segments.
    pub path: String,
    /// Whether a call may run more than once.
    pub idempotent: bool,
}

impl RouteRule {
    /// Returns whether a call with this method and path takes this route.
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

/// A customer with its token and its limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CustomerRule {
    /// Name of the customer.
    pub name: CustomerName,
    /// SHA-256 digest of the token that the customer's callers send.
    pub token: ContentDigest,
    /// Fair-queueing weight relative to other customers; positive.
    pub weight: u32,
    /// Maximum number of requests in progress in one zone; positive.
    pub max_running: u32,
    /// Services that the customer may use; `None` means all.
    pub services: Option<Vec<ServiceName>>,
}

impl CustomerRule {
    /// Returns whether the customer may use this service.
    #[must_use]
    pub fn may_use(&self, service: &ServiceName) -> bool {
        let listed = self.services.as_ref();
        listed.is_none_or(|services| services.contains(service))
    }
}

/// Scheduling policy of the dispatchers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Number of tokens from which a prompt counts as long.
    pub long_tokens: Tokens,
    /// Maximum percentage of engines that hold long prompts at once; 1 to 100.
    pub long_percent: u8,
    /// Queueing time after which a request's work counts half; positive.
    pub aging_time: Duration,
}

impl Policy {
    /// Shortens the time to first token of short prompts: long prompts get fewer engines.
    pub const FIRST_TOKEN: Self = Self {
        long_tokens: Tokens(32_000),
        long_percent: 50,
        aging_time: Duration::from_secs(20),
    };

    /// Limits the slowdown of short prompts: long prompts get fewer engines and wait longer.
    pub const SHORT_SLOWDOWN: Self = Self {
        long_tokens: Tokens(16_000),
        long_percent: 40,
        aging_time: Duration::from_secs(40),
    };
}
