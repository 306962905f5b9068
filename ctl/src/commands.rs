//! Implementations of the subcommands.

mod admin;
mod check_config;
mod demo;
mod evacuate;
mod fake;
mod load;
mod overhead;
pub mod replay;
mod report;
mod slopes;
mod soak;

use std::path::PathBuf;

use anyhow::{Result, bail};
use clap::ArgMatches;

use crate::keys::{create_vm_certificate, ensure_authority};

/// Runs the subcommand; returns whether its result is positive.
///
/// A result is negative for an invalid manifest, a VM that is not ready or wrong answers, for
/// example.
///
/// # Errors
/// Fails if no subcommand is given or if it cannot complete its work.
pub fn run(matches: &ArgMatches) -> Result<bool> {
    let Some((name, sub)) = matches.subcommand() else {
        bail!("no subcommand given");
    };
    match name {
        "check" => admin::check(sub),
        "check-config" => check_config::run(sub),
        "publish" => admin::publish(sub),
        "status" => admin::status(sub),
        "keys" => keys(sub),
        "evacuate" => evacuate::run(sub),
        "fake" => fake::run(sub),
        "load" => load::run(sub),
        "overhead" => overhead::run(sub),
        "replay" => replay::run(sub),
        "report" => report::run(sub),
        "slopes" => slopes::run(sub),
        "soak" => soak::run(sub),
        "demo" => demo::run(),
        other => bail!("unknown subcommand {other}"),
    }
}

fn keys(matches: &ArgMatches) -> Result<bool> {
    let folder = path_argument(matches, "folder")?;
    let authority = ensure_authority(&folder)?;
    println!("authority: {}", authority.display());
    for vm in matches.get_many::<String>("vms").unwrap_or_default() {
        create_vm_certificate(&folder, vm)?;
        println!("{vm}: {}", folder.join(format!("{vm}.pem")).display());
    }
    Ok(true)
}

fn path_argument(matches: &ArgMatches, name: &str) -> Result<PathBuf> {
    match matches.get_one::<PathBuf>(name) {
        Some(path) => Ok(path.clone()),
        None => bail!("{name} is missing"),
    }
}

fn text_option<'a>(matches: &'a ArgMatches, name: &str) -> Result<&'a str> {
    match matches.get_one::<String>(name) {
        Some(text) => Ok(text),
        None => bail!("--{name} is missing"),
    }
}

fn text_list_option(matches: &ArgMatches, name: &str) -> Vec<String> {
    matches
        .get_many::<String>(name)
        .unwrap_or_default()
        .cloned()
        .collect()
}

/// Parses the value of an option as a number.
fn number_option<T: std::str::FromStr>(matches: &ArgMatches, name: &str) -> Result<T> {
    let value = text_option(matches, name)?;
    match value.parse() {
        Ok(number) => Ok(number),
        Err(_) => bail!("--{name}: '{value}' is not a valid number"),
    }
}
