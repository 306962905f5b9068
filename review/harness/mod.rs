//! Stand-ins and process control that the scripts of the review share; it uses the standard library only.
//!
//! The programs under test are started with the commands of the deploy file. Engines, clients, the
//! operator and the load balancer are stand-ins written here from the pages.

#![allow(dead_code)]

pub mod client;
pub mod engine;
pub mod json;
pub mod record;
pub mod system;

use std::process::exit;
use std::time::{Duration, Instant};

/// Exit status of a case in which the rule held.
pub const HELD: i32 = 0;
/// Exit status of a case in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Whether the disruption is to be played; `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the process because the case could not run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    exit(NOT_RUN);
}

/// Polls until `reached` returns true; returns false after `limit`.
pub fn wait_until(limit: Duration, mut reached: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while !reached() {
        if start.elapsed() > limit {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}
