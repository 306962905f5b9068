//! The `merlinctl` program.
//!
//! Exit status: 0 for success, 1 for a negative result such as an invalid manifest, 2 for an error.

use std::process::ExitCode;

use merlinrudder_ctl::commands;
use merlinrudder_ctl::options::build_command;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    let matches = build_command().get_matches();
    match commands::run(&matches) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("merlinctl: {error:#}");
            ExitCode::from(2)
        }
    }
}
