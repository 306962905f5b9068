//! The port at which the metrics of a role are read, as Prometheus text.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::constants::ACCEPT_RETRY_DELAY;
use crate::metrics;

/// Path of the metrics; `deploy/system.toml` names it too.
const METRICS_PATH: &str = "/metrics";

/// Serves the metrics until the process ends; a port that is taken costs only the metrics.
pub async fn serve(address: SocketAddr, log: Logger) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            warn!(log, "No metrics are served"; "address" => %address, "error" => %error);
            return;
        }
    };
    info!(log, "Serving metrics"; "address" => %address);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service_fn(answer));
                // A reader that goes away reads again.
                tokio::spawn(async move { drop(connection.await) });
            }
            Err(error) => {
                warn!(log, "Accepting a reader of metrics failed"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn answer(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let known = request.uri().path() == METRICS_PATH;
    let text = if known {
        metrics::render()
    } else {
        String::new()
    };
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    if !known {
        *answer.status_mut() = StatusCode::NOT_FOUND;
    }
    Ok(answer)
}
