//! The calls of operators and backend servers over HTTP.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use merlinrudder_core::control::PublishedManifest;
use merlinrudder_platform::calls::ControlCall;
use merlinrudder_platform::{config, instances};
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

use super::input::{Input, Inputs, Reply};
use crate::constants::{ACCEPT_RETRY_DELAY, MAX_ADMIN_BODY_BYTES};
use crate::sockets;

/// Time that a caller may take for a request's head, and that a connection may stay idle.
const IDLE_TIME: Duration = Duration::from_secs(10);

type Answer = Response<Full<Bytes>>;

/// Accepts callers until the process ends.
pub(super) async fn serve(listener: TcpListener, inputs: Inputs, log: Logger) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, inputs.clone(), log.clone()));
            }
            Err(error) => {
                warn!(log, "Accepting a call failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, inputs: Inputs, log: Logger) {
    if let Err(error) = sockets::set_tcp_options(&stream) {
        warn!(log, "Socket options refused"; "error" => %error);
    }
    let service = service_fn(|request| {
        let (inputs, log) = (inputs.clone(), log.clone());
        async move { Ok::<_, Infallible>(answer(request, &inputs, &log).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIME)
        .serve_connection(TokioIo::new(stream), service);
    // A caller that goes away in the middle asks again.
    drop(connection.await);
}

async fn answer(request: Request<Incoming>, inputs: &Inputs, log: &Logger) -> Answer {
    let path = request.uri().path().to_owned();
    let Some(call) = ControlCall::parse(request.method().as_str(), &path) else {
        return text(StatusCode::NOT_FOUND, "no such call");
    };
    let body = Limited::new(request.into_body(), MAX_ADMIN_BODY_BYTES).collect();
    let Ok(body) = body.await else {
        return text(StatusCode::BAD_REQUEST, "the body did not come whole");
    };
    let body = body.to_bytes();
    match call {
        ControlCall::PutConfig => put_config(&body, inputs, log).await,
        ControlCall::GetConfig => get_config(inputs).await,
        ControlCall::Heartbeat(id) => match instances::read_heartbeat(&id, &body) {
            Ok(record) => taken(inputs, |reply| Input::Heartbeat(record, reply)).await,
            Err(error) => {
                info!(log, "Heartbeat not understood"; "server" => %id, "error" => %error);
                text(StatusCode::BAD_REQUEST, &error.to_string())
            }
        },
        ControlCall::Deregister(id) => {
            let born = instances::read_deregistration(&body);
            taken(inputs, |reply| Input::Leave(id, born, reply)).await
        }
    }
}

async fn put_config(body: &[u8], inputs: &Inputs, log: &Logger) -> Answer {
    let number = match config::read_config(body) {
        Ok(deployment) => deployment.number,
        Err(error) => {
            warn!(log, "Manifest refused"; "bytes" => body.len(), "error" => %error);
            return text(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    let bytes = Arc::from(body);
    let published = PublishedManifest { number, bytes };
    taken(inputs, |reply| Input::Publish(published, reply)).await
}

async fn get_config(inputs: &Inputs) -> Answer {
    match ask(inputs, Input::Read).await {
        Some(bytes) => json(Bytes::copy_from_slice(&bytes)),
        None => text(StatusCode::SERVICE_UNAVAILABLE, "no quorum, or no manifest"),
    }
}

/// Hands an input over and answers once it is taken in.
async fn taken(inputs: &Inputs, input: impl FnOnce(Reply<()>) -> Input) -> Answer {
    match ask(inputs, input).await {
        Some(()) => json(Bytes::from_static(instances::ACCEPTED_BODY.as_bytes())),
        None => text(StatusCode::SERVICE_UNAVAILABLE, "no quorum"),
    }
}

async fn ask<T>(inputs: &Inputs, input: impl FnOnce(Reply<T>) -> Input) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    inputs.send(input(reply));
    answer.await.ok()
}

fn json(body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    let json = hyper::header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

fn text(status: StatusCode, body: &str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *answer.status_mut() = status;
    answer
}
