//! Subcommand `evacuate`: orders that nothing more is sent to the servers of a zone.

use std::thread::sleep;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use clap::ArgMatches;

use super::{text_list_option, text_option};
use crate::client;

/// Time for which an unanswered order is sent again.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after all control VMs were asked without an answer.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Gives an order, or lists the evacuated zones; returns whether a control VM confirmed it.
pub(super) fn run(matches: &ArgMatches) -> Result<bool> {
    match matches.subcommand() {
        Some(("start", sub)) => order(sub, "/-/Evacuations.Start/"),
        Some(("end", sub)) => order(sub, "/-/Evacuations.End/"),
        Some(("list", sub)) => Ok(list(sub)),
        _ => bail!("no subcommand of evacuate given"),
    }
}

/// Sends an order to one control VM after the other until one confirms or refuses it.
///
/// An order that no VM has confirmed may still take effect.
fn order(matches: &ArgMatches, path: &str) -> Result<bool> {
    let zone = text_option(matches, "zone")?;
    let path = format!("{path}{zone}");
    let controls = text_list_option(matches, "control");
    let deadline = Instant::now() + ORDER_TIMEOUT;
    while Instant::now() < deadline {
        for control in &controls {
            match client::control_call("POST", control, &path) {
                Ok((200, _)) => {
                    println!("{control}: confirmed");
                    return Ok(true);
                }
                Ok((status @ 400..=499, text)) => {
                    println!("{control}: {status} {text}");
                    return Ok(false);
                }
                Ok((status, text)) => eprintln!("{control}: {status} {text}"),
                Err(error) => eprintln!("{control}: {error}"),
            }
        }
        sleep(ROUND_PAUSE);
    }
    println!("not confirmed by any control VM");
    Ok(false)
}

/// Prints the evacuated zones as the first control VM that answers knows them.
fn list(matches: &ArgMatches) -> bool {
    for control in text_list_option(matches, "control") {
        match client::control_call("GET", &control, "/admin/evacuations") {
            Ok((200, text)) => {
                println!("{text}");
                return true;
            }
            Ok((status, text)) => eprintln!("{control}: {status} {text}"),
            Err(error) => eprintln!("{control}: {error}"),
        }
    }
    false
}
