//! The `fake` subcommand: runs a fake engine, application or weight store until it is killed.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use anyhow::{Result, bail};
use clap::ArgMatches;
use merlinrudder_fakes::announcer::AnnounceOptions;
use merlinrudder_fakes::app::{AppOptions, FakeApp};
use merlinrudder_fakes::engine::model::EngineConfig;
use merlinrudder_fakes::engine::{EngineOptions, FakeEngine};
use merlinrudder_fakes::weights::{FakeWeights, WeightsOptions};

use super::{number_option, text_list_option, text_option};

/// Interval between two announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// Starts a fake, prints its address and runs until the process is killed.
pub(super) fn run(matches: &ArgMatches) -> Result<bool> {
    let address = match matches.subcommand() {
        Some(("engine", sub)) => spawn_engine(sub)?,
        Some(("app", sub)) => spawn_app(sub)?,
        Some(("weights", sub)) => spawn_weights(sub)?,
        _ => bail!("unknown kind of fake"),
    };
    println!("{address}");
    loop {
        thread::park();
    }
}

fn spawn_engine(matches: &ArgMatches) -> Result<SocketAddr> {
    let config = EngineConfig {
        memory: number_option(matches, "memory")?,
        slots: number_option(matches, "slots")?,
        ..EngineConfig::default()
    };
    let engine = FakeEngine::spawn(EngineOptions {
        id: text_option(matches, "id")?.to_owned(),
        service: text_option(matches, "service")?.to_owned(),
        zone: text_option(matches, "zone")?.to_owned(),
        listen: listen_address(matches)?,
        config,
        speed: number_option(matches, "speed")?,
        report_lag: Duration::from_millis(number_option(matches, "lag-ms")?),
        checks_fencing: !matches.get_flag("ignores-fencing"),
        exits_on_crash: true,
        announce: announce_options(matches)?,
    })?;
    Ok(engine.address())
}

fn spawn_app(matches: &ArgMatches) -> Result<SocketAddr> {
    let app = FakeApp::spawn(AppOptions {
        id: text_option(matches, "id")?.to_owned(),
        service: text_option(matches, "service")?.to_owned(),
        zone: text_option(matches, "zone")?.to_owned(),
        listen: listen_address(matches)?,
        call_time: Duration::from_millis(number_option(matches, "call-ms")?),
        exits_on_crash: true,
        announce: announce_options(matches)?,
    })?;
    Ok(app.address())
}

fn spawn_weights(matches: &ArgMatches) -> Result<SocketAddr> {
    let weights = FakeWeights::spawn(WeightsOptions {
        listen: listen_address(matches)?,
        rate: number_option(matches, "rate")?,
        burst: number_option(matches, "burst")?,
    })?;
    Ok(weights.address())
}

fn announce_options(matches: &ArgMatches) -> Result<AnnounceOptions> {
    Ok(AnnounceOptions {
        vms: text_list_option(matches, "announce"),
        token: text_option(matches, "token")?.to_owned(),
        period: ANNOUNCE_PERIOD,
    })
}

fn listen_address(matches: &ArgMatches) -> Result<SocketAddr> {
    match matches.get_one::<SocketAddr>("listen") {
        Some(address) => Ok(*address),
        None => bail!("--listen is missing"),
    }
}
