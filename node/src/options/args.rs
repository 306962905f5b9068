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
    /// Run one role on the users' platform.
    Role(Role),
    /// Check a settings file of the platform and stop.
    CheckNode(PathBuf),
}

/// A role that a process has on the users' platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Takes callers.
    Entry,
    /// Serves operators, backend servers and entry VMs.
    Control,
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
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("check-node")
                .about("Check a settings file of the platform and stop")
                .arg(settings.help("settings file that the platform wrote")),
        )
        .subcommand(Command::new("entry").about("Run an entry VM on the platform"))
        .subcommand(Command::new("control").about("Run a control VM on the platform"))
}

/// Reads what the parsed command line asks for.
#[must_use]
pub fn action(matches: &ArgMatches) -> Option<Action> {
    let (name, sub) = matches.subcommand()?;
    match name {
        "entry" => return Some(Action::Role(Role::Entry)),
        "control" => return Some(Action::Role(Role::Control)),
        _ => {}
    }
    let settings = sub.get_one::<PathBuf>("settings")?.clone();
    match name {
        "run" => Some(Action::Run(settings)),
        "check" => Some(Action::Check(settings)),
        "check-node" => Some(Action::CheckNode(settings)),
        _ => None,
    }
}
