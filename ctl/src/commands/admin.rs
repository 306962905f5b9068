//! Subcommands for operators: `check`, `publish` and `status`.

use std::fs;

use anyhow::{Context, Result};
use clap::ArgMatches;
use merlinrudder_wire::manifest::parse_manifest;

use super::{path_argument, text_option};
use crate::client;

/// Validates a manifest and prints its summary or its faults; returns whether it is valid.
pub(super) fn check(matches: &ArgMatches) -> Result<bool> {
    let path = path_argument(matches, "manifest")?;
    let bytes = fs::read(&path).with_context(|| format!("cannot read {}", path.display()))?;
    match parse_manifest(&bytes) {
        Ok(manifest) => {
            println!(
                "{}: manifest {} is valid, with {} service(s) and {} customer(s)",
                path.display(),
                manifest.number.0,
                manifest.services.len(),
                manifest.customers.len()
            );
            Ok(true)
        }
        Err(error) => {
            println!("{}: {error}", path.display());
            Ok(false)
        }
    }
}

/// Publishes a manifest and prints the response; returns whether it was accepted.
pub(super) fn publish(matches: &ArgMatches) -> Result<bool> {
    let path = path_argument(matches, "manifest")?;
    let bytes = fs::read(&path).with_context(|| format!("cannot read {}", path.display()))?;
    let (status, answer) = client::publish(
        text_option(matches, "admin")?,
        text_option(matches, "token")?,
        &bytes,
    )?;
    println!("{}", serde_json::to_string_pretty(&answer)?);
    Ok(status == 200)
}

/// Prints the status of a VM; returns whether the VM is ready.
pub(super) fn status(matches: &ArgMatches) -> Result<bool> {
    let status = client::status(
        text_option(matches, "admin")?,
        text_option(matches, "token")?,
    )?;
    println!("{}", serde_json::to_string_pretty(&status)?);
    Ok(status.ready)
}
