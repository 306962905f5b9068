//! Connections of callers and of the balancer.

use std::convert::Infallible;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use merlinrudder_core::deployment::CallKind;
use merlinrudder_core::outcome::RefusalReason;
use merlinrudder_platform::calls::READY_PATH;
use slog::{debug, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::body::AnswerBody;
use super::state::{ConnectionGuard, Gateway};
use super::{plain, refusal, request, stream};
use crate::constants::ACCEPT_RETRY;
use crate::sockets;

/// Accepts callers until the VM closes; callers that come later are turned away by the system.
pub(super) async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    let mut closing = gateway.closing();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _closing = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                spawn_local(serve_caller(Rc::clone(&gateway), stream));
            }
            Err(error) => {
                warn!(gateway.log, "Accepting a caller failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

/// Answers the balancer until the process ends.
pub(super) async fn serve_ready(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_balancer(Rc::clone(&gateway), stream));
            }
            Err(error) => {
                warn!(gateway.log, "Accepting the balancer failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn serve_balancer(gateway: Rc<Gateway>, stream: TcpStream) {
    let service = service_fn(|request: Request<Incoming>| {
        let ready = request.uri().path() == READY_PATH && gateway.is_ready();
        let mut answer = Response::new(AnswerBody::whole(""));
        if !ready {
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        std::future::ready(Ok::<_, Infallible>(answer))
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // The balancer asks again.
    drop(connection.await);
}

async fn serve_caller(gateway: Rc<Gateway>, stream: TcpStream) {
    let _guard = ConnectionGuard::new(&gateway);
    if let Err(error) = sockets::tune(&stream) {
        warn!(gateway.log, "Socket options refused"; "error" => %error);
    }
    let limits = gateway.deployment().map(|d| d.limits).unwrap_or_default();
    let service = service_fn(|request| {
        let gateway = Rc::clone(&gateway);
        async move { Ok::<_, Infallible>(answer(&gateway, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut closing = gateway.closing();
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _closing = closing.wait_for(|closing| *closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!(gateway.log, "A caller's connection ended"; "error" => %error);
    }
}

/// Least bytes that the HTTP library takes as the bound of a head.
const MIN_HEADER_BYTES: usize = 8192;

async fn answer(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let mut answer = match request::admit(gateway, request).await {
        // What is taken now might not end before the process must.
        Ok(call) if *gateway.closing().borrow() => {
            plain::give_up(gateway, &call, &refusal::come_back(RefusalReason::Stopping))
        }
        Ok(call) => {
            gateway.count_request(&call.service);
            match call.route.kind {
                CallKind::Stream { .. } => stream::serve(gateway, call).await,
                CallKind::Idempotent | CallKind::AtMostOnce => plain::serve(gateway, call).await,
            }
        }
        Err(refusal) => {
            info!(gateway.log, "Refused"; "reason" => refusal.reason.code());
            refusal::answer(&refusal)
        }
    };
    if gateway.stopping.get() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}
