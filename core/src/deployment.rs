//! A deployment as its operator describes it: routes, services, customers, limits.
//!
//! It says more than the project's own manifest does: routes by host and path prefix over weighted
//! services, kinds of calls, several keys a customer.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::engine_model::EngineProfile;
use crate::manifest::ManifestNumber;
use crate::names::{CustomerName, ServiceName};

/// Whether and how a call may be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
    /// It answers with a stream of numbered events.
    Stream {
        /// Whether another backend server may go on after the last event.
        resumable: bool,
        /// Longest pause between two events in which the answer is still on time.
        pause: Duration,
    },
}

impl CallKind {
    /// Whether a call may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(
            self,
            Self::Idempotent
                | Self::Stream {
                    resumable: true,
                    ..
                }
        )
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Its name.
    pub name: Arc<str>,
    /// Host that the caller names.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether its calls may be repeated.
    pub kind: CallKind,
    /// Longest time that a caller may be kept waiting; positive.
    pub timeout: Duration,
    /// Time in which an answer, or its first event, is on time.
    pub objective: Duration,
    /// Rank; 0 comes first.
    pub priority: u8,
    /// Services with their weights; the sum is positive.
    pub targets: Vec<(ServiceName, u32)>,
    /// Most backend servers that one call may run on; at least 1.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

impl RouteRule {
    /// Chooses a service by weight, with `draw` in 0 to 1.
    #[must_use]
    pub fn choose_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|(_, weight)| *weight).sum();
        let mut left = draw.clamp(0.0, 1.0) * f64::from(total);
        for (service, weight) in &self.targets {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        let with_weight = |target: &&(ServiceName, u32)| target.1 > 0;
        self.targets.iter().rfind(with_weight).map(|(s, _)| s)
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Its name.
    pub name: ServiceName,
    /// Most connections that one of its backend servers accepts.
    pub connections: u32,
    /// How its engines work; `None` for a plain service.
    pub engine: Option<EngineProfile>,
}

/// One customer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CustomerRule {
    /// Its name.
    pub name: CustomerName,
    /// Rank of its requests where it differs from the route's.
    pub priority: Option<u8>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A whole deployment; checked by whoever decoded it.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Number of the document.
    pub number: ManifestNumber,
    /// Routes by host and prefix; no two share both.
    routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteRule>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Arc<ServiceRule>>,
    /// Customers by key; no two share one.
    keys: HashMap<Arc<str>, Arc<CustomerRule>>,
    /// What a caller may send.
    pub limits: CallerLimits,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Deployment {
    /// Starts an empty deployment.
    #[must_use]
    pub fn new(number: ManifestNumber, limits: CallerLimits) -> Self {
        Self {
            number,
            limits,
            ..Self::default()
        }
    }

    /// Adds a route; returns false where another one has its host and prefix.
    #[must_use]
    pub fn add_route(&mut self, route: RouteRule) -> bool {
        let paths = self.routes.entry(Arc::clone(&route.host)).or_default();
        let prefix = Arc::clone(&route.prefix);
        paths.insert(prefix, Arc::new(route)).is_none()
    }

    /// Adds a customer's key; returns false where another customer has it.
    #[must_use]
    pub fn add_key(&mut self, key: Arc<str>, customer: &Arc<CustomerRule>) -> bool {
        let earlier = self.keys.insert(key, Arc::clone(customer));
        earlier.is_none_or(|earlier| earlier.name == customer.name)
    }

    /// Finds the route with the longest prefix that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let paths = self.routes.get(host)?;
        let slashes = path.match_indices('/').rev();
        slashes
            .map(|(at, _)| &path[..=at])
            .find_map(|prefix| paths.get(prefix))
    }

    /// Finds the customer that holds a key.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Arc<CustomerRule>> {
        self.keys.get(key)
    }

    /// Whether callers need a key at all.
    #[must_use]
    pub fn has_customers(&self) -> bool {
        !self.keys.is_empty()
    }
}
