//! A fake of the rate-limited weight store, from which engines download model weights.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use serde_json::json;
use tiny_http::Request;

use crate::http_server::{KillFlag, send_json, serve};

/// Settings of a fake weight store; `rate` and `burst` are those of a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct WeightsOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Downloads per second that are allowed on average.
    pub rate: f64,
    /// Maximum number of downloads at once, after a time without any.
    pub burst: f64,
}

/// A running fake weight store, which serves `GET /weights/{model}`.
#[derive(Debug)]
pub struct FakeWeights {
    address: SocketAddr,
    killed: KillFlag,
}

/// Downloads that are available now; refilled when a download is requested.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl FakeWeights {
    /// Binds the port and starts serving on threads.
    ///
    /// # Errors
    /// Fails if the port cannot be bound or the thread cannot be started.
    pub fn spawn(options: WeightsOptions) -> io::Result<Self> {
        let killed = KillFlag::default();
        let bucket = Arc::new(Mutex::new(TokenBucket {
            tokens: options.burst,
            refilled_at: Instant::now(),
        }));
        let address = serve(options.listen, killed.clone(), move |request| {
            handle(request, options, &bucket);
        })?;
        Ok(Self { address, killed })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops serving and closes the port, as if the process were killed.
    pub fn kill(&self) {
        self.killed.set();
    }
}

fn handle(request: Request, options: WeightsOptions, bucket: &Mutex<TokenBucket>) {
    let Some(model) = request.url().strip_prefix("/weights/").map(str::to_owned) else {
        send_json(request, 404, &json!({ "reason": "path" }));
        return;
    };
    if try_acquire(options, bucket) {
        send_json(request, 200, &json!({ "model": model, "bytes": 0 }));
    } else {
        let wait_ms = (1000.0 / options.rate).ceil();
        send_json(
            request,
            429,
            &json!({ "reason": "rate", "retry_after_ms": wait_ms }),
        );
    }
}

fn try_acquire(options: WeightsOptions, bucket: &Mutex<TokenBucket>) -> bool {
    let mut bucket = bucket.lock().unwrap_or_else(PoisonError::into_inner);
    let earned = bucket.refilled_at.elapsed().as_secs_f64() * options.rate;
    bucket.tokens = (bucket.tokens + earned).min(options.burst);
    bucket.refilled_at = Instant::now();
    if bucket.tokens < 1.0 {
        return false;
    }
    bucket.tokens -= 1.0;
    true
}
