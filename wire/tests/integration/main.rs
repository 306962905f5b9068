//! Tests of encoding round trips, decoding of untrusted bytes, and manifest validation.

mod capacities;
mod evacuations;
mod manifest_updates;
mod manifests;
mod round_trips;
mod untrusted_bytes;
