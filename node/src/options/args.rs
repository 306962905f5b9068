//! The command line of the server.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, crate_version, value_parser};

/// What the command line asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Run the VM.
    Run(PathBuf),
    /// Check the settings and stop.
    Check(PathBuf),
}

/// Builds the command line.
#[must_use]
pub fn build_command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("INI file with the settings of this VM");
    Command::new("merlinrudder")
        .version(crate_version!())
        .about("Serving layer for language-model prompts of very unlike lengths")
        .subcommand_required(true)
        .subcommand(
            Command::new("run")
                .about("Run this VM")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("check")
                .about("Check the settings and stop")
                .arg(settings),
        )
}

/// Reads what the parsed command line asks for.
#[must_use]
pub fn action(matches: &ArgMatches) -> Option<Action> {
    let (name, sub) = matches.subcommand()?;
    let settings = sub.get_one::<PathBuf>("settings")?.clone();
    match name {
        "run" => Some(Action::Run(settings)),
        "check" => Some(Action::Check(settings)),
        _ => None,
    }
}
