//! HTTP servers for callers and for the readiness probes of the load balancer.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use merlinrudder_core::deployment::CallKind;
use merlinrudder_core::outcome::{Refusal, RefusalReason, RunState};
use merlinrudder_platform::calls::READY_PATH;
use slog::{debug, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::body::ResponseBody;
use super::head_budget::{HeadMeter, MeteredStream};
use super::open_requests::OpenRequest;
use super::request::CallerRequest;
use super::state::{ConnectionGuard, Gateway, StopStage};
use super::{admission, buffered, refusal, relay_ingress, stream};
use crate::constants::ACCEPT_RETRY_DELAY;
use crate::sockets;

/// Who sends the requests that a listener accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Sender {
    Caller,
    /// Another VM, for its callers.
    OtherVm,
}

/// Accepts connections until a planned stop drains them.
///
/// The listener closes then, so the operating system refuses later connections.
pub(super) async fn serve(gateway: Rc<Gateway>, listener: TcpListener, sender: Sender) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gateway.stage_reached(StopStage::Draining) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                spawn_local(serve_connection(Rc::clone(&gateway), stream, sender));
            }
            Err(error) => {
                warn!(gateway.log, "Failed to accept connection"; "sender" => ?sender, "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers readiness probes until the process exits.
pub(super) async fn serve_readiness(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_readiness_connection(Rc::clone(&gateway), stream));
            }
            Err(error) => {
                warn!(gateway.log, "Failed to accept load balancer connection"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers 200 on the readiness path if this VM is ready, else 503.
async fn serve_readiness_connection(gateway: Rc<Gateway>, stream: TcpStream) {
    let service = service_fn(|request: Request<Incoming>| {
        let ready = request.uri().path() == READY_PATH && gateway.is_ready();
        let mut response = Response::new(ResponseBody::buffered(""));
        if !ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        std::future::ready(Ok::<_, Infallible>(response))
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // The load balancer probes again, so a connection error is ignored.
    drop(connection.await);
}

/// Serves a connection; in a planned stop it ends with the request in progress.
async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream, sender: Sender) {
    let _guard = ConnectionGuard::new(&gateway);
    if let Err(error) = sockets::set_tcp_options(&stream) {
        warn!(gateway.log, "Failed to set socket options"; "error" => %error);
    }
    let limits = gateway.deployment().map(|d| d.limits).unwrap_or_default();
    let meter = HeadMeter::new(&gateway.head_memory);
    let service = service_fn(|request| {
        let (gateway, meter) = (Rc::clone(&gateway), Rc::clone(&meter));
        async move {
            meter.begin_request();
            let response = respond_to(&gateway, request, sender).await;
            meter.end_request();
            Ok::<_, Infallible>(response)
        }
    });
    let stream = MeteredStream {
        stream,
        meter: Rc::clone(&meter),
    };
    let header_bytes = match sender {
        Sender::Caller => limits.header_bytes,
        Sender::OtherVm => limits.header_bytes + MAX_RELAY_HEADER_BYTES,
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = gateway.stage_reached(StopStage::Draining) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!(gateway.log, "Connection failed"; "sender" => ?sender, "error" => %error);
    }
}

/// Smallest limit for the size of a request head that hyper accepts.
const MIN_READ_BUFFER_BYTES: usize = 8192;

/// Size of the headers that a VM adds to a request by way of another one, in bytes.
const MAX_RELAY_HEADER_BYTES: usize = 4096;

/// Returns the response to a request.
///
/// While the VM is stopping, the response asks the sender to close the connection.
async fn respond_to(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    sender: Sender,
) -> Response<ResponseBody> {
    let mut response = match sender {
        Sender::Caller => respond(gateway, request).await,
        Sender::OtherVm => relay_ingress::respond(gateway, request).await,
    };
    if gateway.has_reached(StopStage::Unready) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Admits a caller's request and returns its response.
async fn respond(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Response<ResponseBody> {
    match admission::admit(gateway, request).await {
        Ok(call) => {
            gateway.count_request(&call.service);
            serve_until_exit(gateway, call).await
        }
        Err(refusal) => {
            info!(gateway.log, "Request refused"; "reason" => refusal.reason.code());
            refusal::response(&refusal)
        }
    }
}

/// Serves a request; if the process exits before there is a response head, it is refused.
pub(super) async fn serve_until_exit(
    gateway: &Rc<Gateway>,
    call: CallerRequest,
) -> Response<ResponseBody> {
    if gateway.has_reached(StopStage::Draining) {
        // A request accepted now might not finish before the process has to exit.
        let refusal = refusal::retryable(RefusalReason::Stopping);
        return buffered::refuse_request(gateway, &call, &refusal);
    }
    let open = Rc::clone(&call.guard.request);
    let mut serving = pin!(serve_request(gateway, call));
    tokio::select! {
        biased;
        response = serving.as_mut() => response,
        () = gateway.stage_reached(StopStage::Exiting) => refuse_at_exit(gateway, &open),
    }
}

async fn serve_request(gateway: &Rc<Gateway>, call: CallerRequest) -> Response<ResponseBody> {
    match call.route.kind {
        CallKind::Stream { .. } => stream::serve(gateway, call).await,
        CallKind::Idempotent | CallKind::AtMostOnce => buffered::serve(gateway, call).await,
    }
}

/// Refuses a request that has no response head when the process exits.
fn refuse_at_exit(gateway: &Gateway, open: &OpenRequest) -> Response<ResponseBody> {
    let run = open.run_state();
    gateway.open_requests.end(open);
    info!(gateway.log, "Request refused at exit"; "request" => &open.attempt_id,
        "run" => run.as_str(),
        "after_ms" => gateway.now().since(open.received_at).as_millis());
    refusal::response(&Refusal {
        reason: RefusalReason::Stopping,
        run,
        retry_after: (run == RunState::NotRun).then_some(refusal::DEFAULT_RETRY_AFTER),
    })
}
