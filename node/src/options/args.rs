//! Command line of the server.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, crate_version, value_parser};

/// Action selected by the subcommand; paths name the settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Run a whole VM, with an INI settings file, until it is told to stop.
    Run(PathBuf),
    /// Check an INI settings file.
    Check(PathBuf),
    /// Run one role on the hosting platform, which writes the settings file.
    Role(Role, RoleFlags),
    /// Check a settings file written by the hosting platform.
    CheckNode(PathBuf),
}

/// Role of a process on the hosting platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Accepts callers and forwards their requests to backend servers.
    Entry,
    /// Keeps the control log and serves operators, backend servers and entry VMs.
    Control,
}

/// Parts of a role that are off unless its command line asks for them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RoleFlags {
    /// Whether entry VMs learn the capacity of backend servers from their answers.
    pub learn_capacity: bool,
}

/// Builds the parser of the command line.
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
        .about("Serving layer for language-model prompts of widely varying lengths")
        .subcommand_required(true)
        .subcommand(
            Command::new("run")
                .about("Run this VM")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("check")
                .about("Check the settings and exit")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("check-node")
                .about("Check a settings file of the platform and exit")
                .arg(settings.help("settings file that the platform wrote")),
        )
        .subcommand(
            Command::new("entry")
                .about("Run an entry VM on the platform")
                .arg(
                    Arg::new("learn-capacity")
                        .long("learn-capacity")
                        .action(ArgAction::SetTrue)
                        .help("learn how much load each backend server takes well"),
                ),
        )
        .subcommand(Command::new("control").about("Run a control VM on the platform"))
}

/// Returns the selected action; `None` if there is no known subcommand.
#[must_use]
pub fn parse_action(matches: &ArgMatches) -> Option<Action> {
    let (name, sub) = matches.subcommand()?;
    match name {
        "entry" => {
            let flags = RoleFlags {
                learn_capacity: sub.get_flag("learn-capacity"),
            };
            return Some(Action::Role(Role::Entry, flags));
        }
        "control" => return Some(Action::Role(Role::Control, RoleFlags::default())),
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
