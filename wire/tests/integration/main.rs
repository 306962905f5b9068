//! Tests of encoding round trips, decoding of untrusted bytes, and manifest validation.

mod capacities;
mod evacuations;
mod manifests;
mod round_trips;
mod untrusted_bytes;
