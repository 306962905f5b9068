//! HTTP API for backend servers, which announce themselves and their shutdown here.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use merlinrudder_core::outcome::{Refusal, RefusalReason};
use merlinrudder_core::registry::Announcement;
use merlinrudder_wire::announce::WireAnnouncement;
use serde_json::json;

use super::auth::has_token;
use super::received_body::read_body;
use super::request::Request;
use super::response::{refuse, refuse_with_message, send_json};
use crate::constants::MAX_ADMIN_BODY_BYTES;
use crate::control::ControlHandle;
use crate::control::input::ControlInput;
use crate::memory_budget::MemoryBudget;

/// Timeout for receiving the whole body of an announcement.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// State shared by the request threads of the API for backend servers.
#[derive(Debug)]
pub struct BackendApi {
    /// Handle to the control thread, which applies the announcements.
    pub control: ControlHandle,
    /// Bearer token that all backend servers use.
    pub token: Arc<str>,
    /// Memory for the bodies and answers of all requests.
    pub memory: Arc<MemoryBudget>,
}

impl BackendApi {
    /// Handles one request; only `POST /v1/announce` with the right token is accepted.
    pub fn handle(&self, mut request: Request) {
        if !has_token(&request, &self.token) {
            refuse(
                request,
                None,
                &Refusal::not_run(RefusalReason::UnknownCustomer, None),
            );
            return;
        }
        if *request.method() != Method::POST || request.url() != "/v1/announce" {
            refuse(
                request,
                None,
                &Refusal::not_run(RefusalReason::UnknownPath, None),
            );
            return;
        }
        match read_announcement(&mut request, &self.memory) {
            Ok(announcement) => {
                self.control.send(ControlInput::Announce(announcement));
                send_json(request, 200, &json!({ "taken": true }));
            }
            Err((refusal, message)) => refuse_with_message(request, None, &refusal, &message),
        }
    }
}

/// Reads and parses the body; an error carries the message for the response.
fn read_announcement(
    request: &mut Request,
    memory: &Arc<MemoryBudget>,
) -> Result<Announcement, (Refusal, String)> {
    let body = read_body(request, MAX_ADMIN_BODY_BYTES, BODY_TIMEOUT, memory)
        .map_err(|refusal| (refusal, "The body cannot be read.".to_owned()))?;
    let bad_request =
        |message: String| (Refusal::not_run(RefusalReason::BadRequest, None), message);
    let wire: WireAnnouncement =
        serde_json::from_slice(&body.bytes).map_err(|error| bad_request(error.to_string()))?;
    Announcement::try_from(wire).map_err(|error| bad_request(error.to_string()))
}
