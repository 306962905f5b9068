//! HTTP port that serves the metrics of a role as Prometheus text.

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

/// Path of the metrics; must match `deploy/system.toml`.
const METRICS_PATH: &str = "/metrics";

/// Serves the metrics until the process exits.
///
/// If the port cannot be bound, only the metrics are missing.
pub async fn serve(address: SocketAddr, log: Logger) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            warn!(log, "Failed to bind the metrics port"; "address" => %address, "error" => %error);
            return;
        }
    };
    info!(log, "Serving metrics"; "address" => %address);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service_fn(handle));
                // A scraper tries again, so connection errors are ignored.
                tokio::spawn(async move { drop(connection.await) });
            }
            Err(error) => {
                warn!(log, "Failed to accept metrics connection"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn handle(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let known = request.uri().path() == METRICS_PATH;
    let text = if known {
        metrics::render()
    } else {
        String::new()
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    if !known {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    Ok(response)
}
