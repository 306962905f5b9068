//! The `soak` subcommand: runs soak tests with consecutive seeds.

use std::env;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use clap::ArgMatches;
use merlinrudder_fakes::soak::{self, SoakOptions};

use super::number_option;

/// Runs a soak test per seed; returns whether none violated an invariant.
///
/// The node binary `merlinrudder` has to be in the same folder as this program.
pub(super) fn run(matches: &ArgMatches) -> Result<bool> {
    let own_path = env::current_exe().context("cannot determine the path of this program")?;
    let program = own_path.with_file_name("merlinrudder");
    if !program.is_file() {
        bail!(
            "{} is missing; build the workspace first",
            program.display()
        );
    }
    let first: u64 = number_option(matches, "seed")?;
    let seeds: u64 = number_option(matches, "seeds")?;
    let duration = Duration::from_secs(number_option(matches, "seconds")?);
    let culprits: usize = number_option(matches, "culprits")?;
    let parts: usize = number_option(matches, "parts")?;
    let silences = matches.get_flag("silences");
    let (limits, cuts) = (matches.get_flag("limits"), matches.get_flag("cuts"));
    let evacuations = matches.get_flag("evacuations");
    let entry_vms: u8 = number_option(matches, "entry-vms")?;
    let mut passed = true;
    for seed in first..first.saturating_add(seeds) {
        let options = SoakOptions {
            seed,
            duration,
            entry_vms,
            culprits,
            parts,
            silences,
            limits,
            cuts,
            evacuations,
        };
        let report = soak::run(&program, options)?;
        println!("seed {seed}: {report}");
        for violation in &report.violations {
            println!("  {violation}");
        }
        print!("{}", report.logs);
        passed &= report.violations.is_empty();
    }
    Ok(passed)
}
