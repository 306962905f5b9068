//! Limits on their request rate that backend servers name in their answers.

use hyper::header::HeaderMap;
use merlinrudder_platform::headers;
use slog::{info, warn};

use super::request::CallerRequest;
use super::selection::SelectedServers;
use super::state::Gateway;
use crate::metrics;

/// Records the limit that an answer names, if any.
pub(super) fn record_answer(
    gateway: &Gateway,
    call: &CallerRequest,
    selected: &SelectedServers,
    head: &HeaderMap,
) {
    let lines = head.get_all(headers::SERVER_LIMIT).iter();
    let lines = lines.map(|line| line.to_str().unwrap_or("unreadable"));
    match headers::parse_server_limit(lines) {
        Ok(None) => {}
        Ok(Some(rate)) => {
            metrics::count_limited_answer();
            info!(gateway.log, "Answer names a limit"; "request" => call.attempt_id_text(),
                "server" => %selected.server, "born" => selected.born, "rate" => rate);
        }
        Err(error) => {
            warn!(gateway.log, "Limit ignored"; "request" => call.attempt_id_text(),
                "server" => %selected.server, "error" => %error);
        }
    }
}
