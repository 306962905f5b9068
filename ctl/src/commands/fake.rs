//! Stand-ins as processes of their own; they run until they are killed.

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

/// Time between two announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// Runs a stand-in.
pub(super) fn run(matches: &ArgMatches) -> Result<bool> {
    let address = match matches.subcommand() {
        Some(("engine", sub)) => engine(sub)?,
        Some(("app", sub)) => app(sub)?,
        Some(("weights", sub)) => weights(sub)?,
        _ => bail!("the stand-in is unknown"),
    };
    println!("{address}");
    loop {
        thread::park();
    }
}

fn engine(matches: &ArgMatches) -> Result<SocketAddr> {
    let config = EngineConfig {
        memory: number_option(matches, "memory")?,
        slots: number_option(matches, "slots")?,
        ..EngineConfig::default()
    };
    let engine = FakeEngine::spawn(EngineOptions {
        id: text_option(matches, "id")?.to_owned(),
        service: text_option(matches, "service")?.to_owned(),
        zone: text_option(matches, "zone")?.to_owned(),
        listen: listen(matches)?,
        config,
        speed: number_option(matches, "speed")?,
        report_lag: Duration::from_millis(number_option(matches, "lag-ms")?),
        checks_fencing: !matches.get_flag("ignores-fencing"),
        exits_on_crash: true,
        announce: announce(matches)?,
    })?;
    Ok(engine.address())
}

fn app(matches: &ArgMatches) -> Result<SocketAddr> {
    let app = FakeApp::spawn(AppOptions {
        id: text_option(matches, "id")?.to_owned(),
        service: text_option(matches, "service")?.to_owned(),
        zone: text_option(matches, "zone")?.to_owned(),
        listen: listen(matches)?,
        call_time: Duration::from_millis(number_option(matches, "call-ms")?),
        exits_on_crash: true,
        announce: announce(matches)?,
    })?;
    Ok(app.address())
}

fn weights(matches: &ArgMatches) -> Result<SocketAddr> {
    let weights = FakeWeights::spawn(WeightsOptions {
        listen: listen(matches)?,
        rate: number_option(matches, "rate")?,
        burst: number_option(matches, "burst")?,
    })?;
    Ok(weights.address())
}

fn announce(matches: &ArgMatches) -> Result<AnnounceOptions> {
    Ok(AnnounceOptions {
        vms: text_list_option(matches, "announce"),
        token: text_option(matches, "token")?.to_owned(),
        period: ANNOUNCE_PERIOD,
    })
}

fn listen(matches: &ArgMatches) -> Result<SocketAddr> {
    match matches.get_one::<SocketAddr>("listen") {
        Some(address) => Ok(*address),
        None => bail!("--listen is missing"),
    }
}
