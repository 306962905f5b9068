//! Soaks of the platform's roles, seed after seed.

use std::env;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use clap::ArgMatches;
use merlinrudder_fakes::soak::{self, SoakOptions};

use super::number_option;

/// Plays the seeds; returns whether no promise was broken.
pub(super) fn run(matches: &ArgMatches) -> Result<bool> {
    let own = env::current_exe().context("the path of this program")?;
    let program = own.with_file_name("merlinrudder");
    if !program.is_file() {
        bail!(
            "{} is missing; build the workspace first",
            program.display()
        );
    }
    let first: u64 = number_option(matches, "seed")?;
    let seeds: u64 = number_option(matches, "seeds")?;
    let time = Duration::from_secs(number_option(matches, "seconds")?);
    let mut kept = true;
    for seed in first..first.saturating_add(seeds) {
        let report = soak::run(
            &program,
            SoakOptions {
                seed,
                duration: time,
            },
        )?;
        println!("seed {seed}: {report}");
        for broken in &report.violations {
            println!("  {broken}");
        }
        print!("{}", report.logs);
        kept &= report.violations.is_empty();
    }
    Ok(kept)
}
