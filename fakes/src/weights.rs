//! A stand-in for the rate-limited weight store.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use serde_json::json;
use tiny_http::Request;

use crate::http_server::{Life, send_json, serve};

/// What a stand-in weight store is started with.
#[derive(Clone, Copy, Debug)]
pub struct WeightsOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Downloads allowed in a second.
    pub rate: f64,
    /// Downloads allowed at once after a quiet time.
    pub burst: f64,
}

/// A running stand-in weight store.
#[derive(Debug)]
pub struct FakeWeights {
    address: SocketAddr,
    life: Life,
}

#[derive(Debug)]
struct Bucket {
    left: f64,
    filled: Instant,
}

impl FakeWeights {
    /// Binds the port and starts the store.
    ///
    /// # Errors
    /// Fails where the port cannot be bound or no thread can be started.
    pub fn spawn(options: WeightsOptions) -> io::Result<Self> {
        let life = Life::default();
        let bucket = Arc::new(Mutex::new(Bucket {
            left: options.burst,
            filled: Instant::now(),
        }));
        let address = serve(options.listen, life.clone(), move |request| {
            answer(request, options, &bucket);
        })?;
        Ok(Self { address, life })
    }

    /// Returns the address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Dies like a killed process.
    pub fn kill(&self) {
        self.life.end();
    }
}

fn answer(request: Request, options: WeightsOptions, bucket: &Mutex<Bucket>) {
    let Some(model) = request.url().strip_prefix("/weights/").map(str::to_owned) else {
        send_json(request, 404, &json!({ "reason": "path" }));
        return;
    };
    if take(options, bucket) {
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

fn take(options: WeightsOptions, bucket: &Mutex<Bucket>) -> bool {
    let mut bucket = bucket.lock().unwrap_or_else(PoisonError::into_inner);
    let earned = bucket.filled.elapsed().as_secs_f64() * options.rate;
    bucket.left = (bucket.left + earned).min(options.burst);
    bucket.filled = Instant::now();
    if bucket.left < 1.0 {
        return false;
    }
    bucket.left -= 1.0;
    true
}
