//! Authentication by the bearer token of the `Authorization` header.

use std::sync::Arc;

use merlinrudder_core::manifest::{CustomerRule, Manifest};
use merlinrudder_core::outcome::{Refusal, RefusalReason};
use merlinrudder_core::units::ContentDigest;

use super::request::Request;

/// Start of an `Authorization` value that carries a bearer token.
const BEARER_PREFIX: &str = "Bearer ";

/// Returns the bearer token, or `None` if the request has none.
fn bearer_token(request: &Request) -> Option<&str> {
    request.header("Authorization")?.strip_prefix(BEARER_PREFIX)
}

/// Returns the customer whose token the request carries.
///
/// # Errors
/// Returns `UnknownCustomer` if the token is missing or belongs to no customer.
pub(super) fn authenticate(
    request: &Request,
    manifest: &Manifest,
) -> Result<Arc<CustomerRule>, Refusal> {
    let digest = bearer_token(request).map(|token| ContentDigest::of(token.as_bytes()));
    let found = digest.and_then(|digest| manifest.customer_by_token(&digest));
    found
        .cloned()
        .ok_or(Refusal::not_run(RefusalReason::UnknownCustomer, None))
}

/// Returns whether the request carries the expected token.
///
/// Digests are compared, so the time taken does not depend on where the tokens differ.
#[must_use]
pub fn has_token(request: &Request, expected: &str) -> bool {
    bearer_token(request).is_some_and(|given| {
        ContentDigest::of(given.as_bytes()) == ContentDigest::of(expected.as_bytes())
    })
}
