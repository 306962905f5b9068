//! Entry point of the merlinrudder server.

use std::process::ExitCode;

use anyhow::Result;
use merlinrudder_node::options::args::{Action, build_command, parse_action};
use merlinrudder_node::options::settings::Settings;
use merlinrudder_node::roles;
use merlinrudder_node::vm::RunningVm;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

fn main() -> ExitCode {
    let matches = build_command().get_matches();
    let Some(action) = parse_action(&matches) else {
        return ExitCode::from(2);
    };
    match run(action) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("merlinrudder: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(action: Action) -> Result<()> {
    match action {
        Action::Check(path) => {
            Settings::open(&path)?;
            println!("{}: the settings are valid", path.display());
            Ok(())
        }
        Action::CheckNode(path) => {
            merlinrudder_platform::settings::open(&path)?;
            println!("{}: the settings are valid", path.display());
            Ok(())
        }
        Action::Role(role, flags) => roles::run(role, flags),
        Action::Run(path) => {
            let settings = Settings::open(&path)?;
            let log = merlinrudder_node::logging::build(&settings.log, settings.vm.as_str());
            let mut signals = Signals::new([SIGTERM, SIGINT])?;
            let vm = RunningVm::spawn(&settings, &log)?;
            signals.forever().next();
            vm.stop();
            Ok(())
        }
    }
}
