//! The backend servers' front: announcements and leaving.

use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::outcome::{Refusal, RefusalReason};
use merlinrudder_core::registry::Announcement;
use merlinrudder_wire::announce::WireAnnouncement;
use serde_json::json;
use tiny_http::{Method, Request};

use super::identity::has_token;
use super::listener::read_body;
use super::response::{refuse, refuse_with_message, send_json};
use crate::constants::ADMIN_BODY_BYTES;
use crate::control::Control;
use crate::control::input::ControlInput;

/// Time in which an announcement must have arrived whole.
const BODY_TIME: Duration = Duration::from_secs(5);

/// What the threads of this front share.
#[derive(Debug)]
pub struct BackendApi {
    /// The control thread.
    pub control: Control,
    /// Token of backend servers.
    pub token: Arc<str>,
}

impl BackendApi {
    /// Answers one request.
    pub fn handle(&self, mut request: Request) {
        if !has_token(&request, &self.token) {
            refuse(
                request,
                None,
                &Refusal::not_run(RefusalReason::UnknownCustomer, None),
            );
            return;
        }
        if *request.method() != Method::Post || request.url() != "/v1/announce" {
            refuse(
                request,
                None,
                &Refusal::not_run(RefusalReason::UnknownPath, None),
            );
            return;
        }
        match read_announcement(&mut request) {
            Ok(announced) => {
                self.control.send(ControlInput::Announce(announced));
                send_json(request, 200, &json!({ "taken": true }));
            }
            Err((refusal, message)) => refuse_with_message(request, None, &refusal, &message),
        }
    }
}

fn read_announcement(request: &mut Request) -> Result<Announcement, (Refusal, String)> {
    let bytes = read_body(request, ADMIN_BODY_BYTES, BODY_TIME)
        .map_err(|refusal| (refusal, "The body cannot be read.".to_owned()))?;
    let bad = |message: String| (Refusal::not_run(RefusalReason::BadRequest, None), message);
    let wire: WireAnnouncement =
        serde_json::from_slice(&bytes).map_err(|error| bad(error.to_string()))?;
    Announcement::try_from(wire).map_err(|error| bad(error.to_string()))
}
