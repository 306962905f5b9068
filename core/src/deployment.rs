//! A deployment as configured by its operator: routes, services, customers and limits.
//!
//! It expresses more than a [`manifest`](crate::manifest): routes by host and path prefix that
//! split calls between weighted services, retry semantics of calls, and several API keys per
//! customer.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::cold::plan::ColdRule;
use crate::engine_model::EngineProfile;
use crate::manifest::ManifestNumber;
use crate::names::{CustomerName, ServiceName};
use crate::rank::ServiceRanks;

/// Retry semantics of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// The call may run more than once.
    Idempotent,
    /// The call runs at most once.
    AtMostOnce,
    /// The response is a stream of numbered events.
    Stream {
        /// Whether another backend server can continue after the last event.
        resumable: bool,
        /// Target for the longest pause between two events.
        pause: Duration,
    },
}

impl CallKind {
    /// Returns whether a call may run more than once; true for resumable streams.
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

/// A route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host of the request, without port.
    pub host: Arc<str>,
    /// Path prefix that begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Retry semantics of the calls.
    pub kind: CallKind,
    /// Time limit of a call; positive.
    pub timeout: Duration,
    /// Latency target for the response, or for its first event.
    pub objective: Duration,
    /// Priority of the calls; 0 is the highest.
    pub priority: u8,
    /// Services with their weights; the sum of the weights is positive.
    pub targets: Vec<(ServiceName, u32)>,
    /// Maximum number of backend servers that one call runs on; at least 1.
    pub max_attempts: u32,
    /// Whether the route accepts calls without an API key.
    pub public: bool,
}

impl RouteRule {
    /// Chooses a service by weight from a random `draw` in 0 to 1.
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

/// A service and the properties of its backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections that one backend server accepts.
    pub max_connections: u32,
    /// Performance model of the engines; `None` for a plain service.
    pub engine: Option<EngineProfile>,
    /// How its servers are spared while they are cold; `None` if they need not be.
    pub cold: Option<ColdRule>,
}

/// A customer, identified by API keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CustomerRule {
    /// Name of the customer.
    pub name: CustomerName,
    /// Priority of the customer's requests, if it overrides the route's.
    pub priority: Option<u8>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request's headers in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// A complete deployment, validated by the code that decoded it.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Version number of the configuration.
    pub number: ManifestNumber,
    /// Routes by host, then by path prefix.
    routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteRule>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Arc<ServiceRule>>,
    /// Customers by API key; a key belongs to one customer.
    keys: HashMap<Arc<str>, Arc<CustomerRule>>,
    /// Whether callers need an API key; true also while no customer holds one.
    keys_required: bool,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// Ranks of the requests to each service; filled by `rank_services`.
    ranks: BTreeMap<ServiceName, ServiceRanks>,
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
    /// Creates a deployment without routes, services and customers.
    #[must_use]
    pub fn new(number: ManifestNumber, limits: CallerLimits) -> Self {
        Self {
            number,
            limits,
            ..Self::default()
        }
    }

    /// Adds a route; returns false if another route has this host and prefix.
    #[must_use]
    pub fn add_route(&mut self, route: Arc<RouteRule>) -> bool {
        let paths = self.routes.entry(Arc::clone(&route.host)).or_default();
        paths.insert(Arc::clone(&route.prefix), route).is_none()
    }

    /// Requires an API key on all routes that are not public, whether or not any key is added.
    pub const fn require_keys(&mut self) {
        self.keys_required = true;
    }

    /// Adds an API key; returns false if it belongs to another customer, be it of the same name.
    #[must_use]
    pub fn add_key(&mut self, key: Arc<str>, customer: &Arc<CustomerRule>) -> bool {
        let earlier = self.keys.insert(key, Arc::clone(customer));
        earlier.is_none_or(|earlier| Arc::ptr_eq(&earlier, customer))
    }

    /// Collects the ranks of the requests to each service, once routes and customers are complete.
    pub fn rank_services(&mut self) {
        let routes = self.routes.values().flat_map(HashMap::values);
        let routes: Vec<_> = routes.collect();
        let ranks = self.services.keys().map(|service| {
            let leads_here = |target: &(ServiceName, u32)| target.0 == *service && target.1 > 0;
            let routes = routes.iter().map(AsRef::as_ref);
            let routes = routes.filter(|route| route.targets.iter().any(leads_here));
            // Plain calls do not compete with prompts, so their ranks are no scale for them.
            let has_prompts = self.services[service].engine.is_some();
            let routes = routes
                .filter(|route| !has_prompts || matches!(route.kind, CallKind::Stream { .. }));
            let customers = self.keys.values().map(AsRef::as_ref);
            (service.clone(), ServiceRanks::new(routes, customers))
        });
        self.ranks = ranks.collect();
    }

    /// Returns the ranks of the requests to a service; `None` if it is unknown.
    #[must_use]
    pub fn ranks(&self, service: &ServiceName) -> Option<&ServiceRanks> {
        self.ranks.get(service)
    }

    /// Finds the route of this host with the longest prefix of the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let paths = self.routes.get(host)?;
        let slashes = path.match_indices('/').rev();
        slashes
            .map(|(at, _)| &path[..=at])
            .find_map(|prefix| paths.get(prefix))
    }

    /// Finds the customer to whom an API key belongs.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Arc<CustomerRule>> {
        self.keys.get(key)
    }

    /// Finds a customer by name.
    #[must_use]
    pub fn customer_named(&self, name: &str) -> Option<&Arc<CustomerRule>> {
        let mut customers = self.keys.values();
        customers.find(|customer| customer.name.as_str() == name)
    }

    /// Returns whether the route accepts a call with this customer, `None` for an unknown or missing key.
    #[must_use]
    pub const fn admits(&self, route: &RouteRule, customer: Option<&Arc<CustomerRule>>) -> bool {
        customer.is_some() || route.public || !self.keys_required
    }
}
