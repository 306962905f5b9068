//! Calls whose answer is passed on once it is whole.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::http::response::Parts;
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::outcome::{Refusal, RefusalReason, RetryReason};
use slog::info;
use tokio::time::timeout;

use super::attempts::Attempts;
use super::body::AnswerBody;
use super::exchange::{Opened, keep_connection, passed_on};
use super::refusal;
use super::request::CallerRequest;
use super::state::Gateway;
use crate::constants::PLAIN_ANSWER_BYTES;
use crate::metrics;

/// Serves a plain call to its end.
pub(super) async fn serve(gateway: &Rc<Gateway>, call: CallerRequest) -> Response<AnswerBody> {
    let mut attempts = Attempts::new();
    loop {
        let opened = match attempts.open(gateway, &call, None).await {
            Ok(opened) => opened,
            Err(refusal) => return give_up(gateway, &call, &refusal),
        };
        let server = opened.chosen.server.clone();
        let read = read_whole(gateway, &call, opened).await;
        let good = matches!(&read, Some((head, _)) if !head.status.is_server_error());
        let result = if good {
            ServerOutcome::Succeeded
        } else {
            ServerOutcome::Failed
        };
        let now = gateway.now();
        gateway
            .fleet
            .borrow_mut()
            .record_outcome(now, &server, result);
        if !good {
            attempts.tried.push(server.clone());
            if attempts.may_repeat(gateway, &call) {
                metrics::count_retry(RetryReason::IdempotentBroken);
                continue;
            }
        }
        let Some((head, body)) = read else {
            let refusal = Refusal {
                reason: RefusalReason::ServerFailed,
                run: attempts.run_state(),
                retry_after: None,
            };
            return give_up(gateway, &call, &refusal);
        };
        info!(gateway.log, "Answered"; "request" => call.id_text(), "route" => &*call.route.name,
            "server" => %server, "status" => head.status.as_u16(),
            "took_ms" => gateway.now().since(call.began).as_millis(),
            "manifest" => call.manifest);
        metrics::count_outcome(call.service.as_str(), "complete");
        return passed_on(&head, AnswerBody::whole(body));
    }
}

/// Makes the final answer to a request that is given up, and logs it.
pub(super) fn give_up(
    gateway: &Gateway,
    call: &CallerRequest,
    refusal: &Refusal,
) -> Response<AnswerBody> {
    info!(gateway.log, "Given up"; "request" => call.id_text(), "route" => &*call.route.name,
        "reason" => refusal.reason.code(), "run" => refusal.run.as_str(),
        "after_ms" => gateway.now().since(call.began).as_millis(),
        "manifest" => call.manifest);
    metrics::count_outcome(call.service.as_str(), "given_up");
    refusal::answer(refusal)
}

/// Reads an answer's body; `None` where it did not come whole in time.
async fn read_whole(
    gateway: &Gateway,
    call: &CallerRequest,
    opened: Opened,
) -> Option<(Parts, Bytes)> {
    let left = call.left(gateway.now());
    let body = Limited::new(opened.body, PLAIN_ANSWER_BYTES).collect();
    let body = timeout(left, body).await.ok()?.ok()?;
    keep_connection(gateway, opened.connection, &opened.head.headers);
    Some((opened.head, body.to_bytes()))
}
