//! Who calls: the customer behind a bearer token.

use std::sync::Arc;

use merlinrudder_core::manifest::{CustomerRule, Manifest};
use merlinrudder_core::outcome::{Refusal, RefusalReason};
use merlinrudder_core::units::ContentDigest;
use tiny_http::Request;

const BEARER: &str = "Bearer ";

/// Returns the value of a header.
pub(super) fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    let found = request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name));
    found.map(|header| header.value.as_str())
}

/// Returns the bearer token.
fn bearer(request: &Request) -> Option<&str> {
    header(request, "Authorization")?.strip_prefix(BEARER)
}

/// Finds the customer of a request.
pub(super) fn customer(
    request: &Request,
    manifest: &Manifest,
) -> Result<Arc<CustomerRule>, Refusal> {
    let digest = bearer(request).map(|token| ContentDigest::of(token.as_bytes()));
    let found = digest.and_then(|digest| manifest.customer_by_token(&digest));
    found
        .cloned()
        .ok_or(Refusal::not_run(RefusalReason::UnknownCustomer, None))
}

/// Whether a request carries the token, compared in time that does not depend on where it differs.
#[must_use]
pub fn has_token(request: &Request, expected: &str) -> bool {
    bearer(request).is_some_and(|given| {
        ContentDigest::of(given.as_bytes()) == ContentDigest::of(expected.as_bytes())
    })
}
