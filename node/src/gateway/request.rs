//! Admitted requests and the requests forwarded to backend servers.

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};
use merlinrudder_core::deployment::{CustomerRule, RouteRule};
use merlinrudder_core::engine_model::EngineProfile;
use merlinrudder_core::names::ServiceName;
use merlinrudder_core::rank::Standing;
use merlinrudder_core::time::{Moment, duration_millis};
use merlinrudder_core::units::ContentDigest;
use merlinrudder_platform::headers::{self, TokenCounts};

use super::header_fields::{set_header, text};
use super::open_requests::OpenRequestGuard;
use super::relay_ingress::Relayed;
use crate::memory_budget::MemoryShare;

/// An admitted request with its complete body.
#[derive(Debug)]
pub(super) struct CallerRequest {
    /// Value of the caller's attempt id header, unchanged.
    pub(super) attempt_id: HeaderValue,
    pub(super) method: Method,
    /// Headers of the caller that are forwarded unchanged.
    pub(super) headers: HeaderMap,
    /// Path, query, customer and body.
    pub(super) content: Rc<RequestContent>,
    pub(super) route: Arc<RouteRule>,
    /// Service drawn from the route's weighted targets.
    pub(super) service: ServiceName,
    /// Performance model of the service's engines; `None` for a plain service.
    pub(super) engine_profile: Option<EngineProfile>,
    /// How the request stands by its rank against the others of its service.
    pub(super) standing: Standing,
    /// Number of the manifest that the request was admitted under.
    pub(super) manifest_number: u64,
    /// Time at which the request head had arrived.
    pub(super) received_at: Moment,
    /// Earlier of the caller's deadline and the route's timeout, counted from `received_at`.
    pub(super) deadline: Moment,
    /// Prompt and maximum output tokens, if the caller sent them.
    pub(super) token_counts: Option<TokenCounts>,
    /// Last event that the caller has received, if it resumes a stream.
    pub(super) last_event: Option<u64>,
    /// Random number that decides between servers of nearly equal cost.
    pub(super) tie_breaker: u64,
    /// What another VM says of the request; `None` if a caller sent it.
    pub(super) relayed: Option<Relayed>,
    /// Logs the request if it is dropped without an outcome.
    pub(super) guard: OpenRequestGuard,
}

/// The part of a request that is the same for each attempt of its caller.
#[derive(Debug)]
pub(super) struct RequestContent {
    /// Path and query.
    pub(super) uri: Uri,
    /// Customer of the API key; `None` where no key was needed or known.
    pub(super) customer: Option<Arc<CustomerRule>>,
    pub(super) body: Bytes,
    /// Memory that the body takes.
    pub(super) _share: MemoryShare,
    /// Digests of the prompt's parts but the last one, which is the request's own.
    ///
    /// Of a prompt with very many parts only the first ones are kept.
    pub(super) parts: Vec<ContentDigest>,
    /// Digest of path, query, customer and body, once it was needed.
    pub(super) digest: OnceCell<ContentDigest>,
}

impl RequestContent {
    /// Returns all that a crash during this request may be blamed on.
    pub(super) fn suspects(&self) -> impl Iterator<Item = ContentDigest> + '_ {
        std::iter::once(self.digest()).chain(self.parts.iter().copied())
    }

    /// Returns the digest of path, query, customer and body.
    pub(super) fn digest(&self) -> ContentDigest {
        *self.digest.get_or_init(|| {
            let target = self
                .uri
                .path_and_query()
                .map_or("", |target| target.as_str());
            let customer = self.customer.as_ref();
            let customer = customer.map_or("", |customer| customer.name.as_str());
            ContentDigest::of_parts(&[target.as_bytes(), customer.as_bytes(), &self.body])
        })
    }
}

/// Header values that depend on the servers selected for an attempt.
#[derive(Debug)]
pub(super) struct ServerHeaders<'a> {
    /// Id of the only server that may run the request; `None` if another VM selects it.
    pub(super) server: Option<&'a str>,
    /// Helpers as addresses with reservation ids, separated by commas; empty if there are none.
    pub(super) helpers: String,
    /// Scheduling priority at the engine; 0 is first.
    pub(super) priority: Option<u8>,
    /// Last event that the caller has received; the stream resumes after it.
    pub(super) last_event: Option<u64>,
}

impl CallerRequest {
    /// Returns the time until the deadline; zero once it has passed.
    pub(super) fn time_left(&self, now: Moment) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the part of the route's timeout that the caller had used up before this attempt.
    ///
    /// It is more where the caller chose a shorter deadline for its first attempt.
    pub(super) fn spent_before(&self) -> Duration {
        let time_limit = self.time_left(self.received_at);
        self.route.timeout.saturating_sub(time_limit)
    }

    /// Returns the attempt id for logs; `unreadable` if it is not visible ASCII.
    pub(super) fn attempt_id_text(&self) -> &str {
        text(&self.attempt_id)
    }

    /// Returns the length of the prompt in tokens; 0 if the caller named none.
    pub(super) fn prompt_tokens(&self) -> u64 {
        self.token_counts.map_or(0, |tokens| tokens.prompt)
    }

    /// Builds the request to forward, with the time left at `now`.
    pub(super) fn upstream_request(
        &self,
        now: Moment,
        server_headers: &ServerHeaders<'_>,
    ) -> Request<Full<Bytes>> {
        let content = &self.content;
        let mut request = Request::new(Full::new(content.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = content.uri.clone();
        let mut outgoing = self.headers.clone();
        let time_left = duration_millis(self.time_left(now));
        set_header(&mut outgoing, headers::DEADLINE, &time_left.to_string());
        if let Some(server) = server_headers.server {
            set_header(&mut outgoing, headers::TARGET, server);
        }
        if let Some(customer) = &content.customer {
            set_header(&mut outgoing, headers::CUSTOMER, customer.name.as_str());
        }
        if let Some(priority) = server_headers.priority {
            set_header(&mut outgoing, headers::PRIORITY, &priority.to_string());
        }
        if !server_headers.helpers.is_empty() {
            set_header(&mut outgoing, headers::HELPERS, &server_headers.helpers);
        }
        if let Some(event) = server_headers.last_event {
            set_header(&mut outgoing, headers::LAST_EVENT, &event.to_string());
        }
        *request.headers_mut() = outgoing;
        request
    }
}
