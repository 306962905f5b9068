//! Reads, sets and removes header fields.

use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};

/// Headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(TRANSFER_ENCODING);
}

/// Sets a header; a value that no header can have is left out.
pub(super) fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Returns a header value for logs; `unreadable` if it is not visible ASCII.
pub(super) fn text(value: &HeaderValue) -> &str {
    value.to_str().unwrap_or("unreadable")
}

/// Returns a header's value if it is visible ASCII.
pub(super) fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Parses a header's value; `None` if it is missing or invalid.
pub(super) fn parse_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text_header(headers, name)?.trim().parse().ok()
}
