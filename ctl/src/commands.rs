//! What each subcommand does.

mod admin;
mod demo;
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

use crate::keys::{make_authority, make_vm};

/// Runs the subcommand; returns whether what it looked at was in order.
///
/// # Errors
/// Fails where the subcommand cannot do its work.
pub fn run(matches: &ArgMatches) -> Result<bool> {
    let Some((name, sub)) = matches.subcommand() else {
        bail!("no command was given");
    };
    match name {
        "check" => admin::check(sub),
        "publish" => admin::publish(sub),
        "status" => admin::status(sub),
        "keys" => keys(sub),
        "fake" => fake::run(sub),
        "load" => load::run(sub),
        "overhead" => overhead::run(sub),
        "replay" => replay::run(sub),
        "report" => report::run(sub),
        "slopes" => slopes::run(sub),
        "soak" => soak::run(sub),
        "demo" => demo::run(),
        other => bail!("the command {other} is unknown"),
    }
}

fn keys(matches: &ArgMatches) -> Result<bool> {
    let folder = path(matches, "folder")?;
    let authority = make_authority(&folder)?;
    println!("authority: {}", authority.display());
    for vm in matches.get_many::<String>("vms").unwrap_or_default() {
        make_vm(&folder, vm)?;
        println!("{vm}: {}", folder.join(format!("{vm}.pem")).display());
    }
    Ok(true)
}

fn path(matches: &ArgMatches, name: &str) -> Result<PathBuf> {
    match matches.get_one::<PathBuf>(name) {
        Some(path) => Ok(path.clone()),
        None => bail!("{name} is missing"),
    }
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> Result<&'a str> {
    match matches.get_one::<String>(name) {
        Some(text) => Ok(text),
        None => bail!("--{name} is missing"),
    }
}

fn texts(matches: &ArgMatches, name: &str) -> Vec<String> {
    matches
        .get_many::<String>(name)
        .unwrap_or_default()
        .cloned()
        .collect()
}

/// Reads a number of an option.
fn number<T: std::str::FromStr>(matches: &ArgMatches, name: &str) -> Result<T> {
    let value = text(matches, name)?;
    match value.parse() {
        Ok(number) => Ok(number),
        Err(_) => bail!("--{name} is '{value}'; valid is a number"),
    }
}
