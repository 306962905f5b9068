//! Loggers: human-readable or JSON lines; key `part` names the part of the server.

use std::fmt::Arguments;

use slog::{Drain, Level, Logger, o};

use crate::options::settings::{LogFormat, LogSettings};

/// Records that may wait to be written; further ones are dropped and counted.
const MAX_QUEUED_RECORDS: usize = 8192;

/// Builds the root logger, which writes to standard error.
pub fn build(settings: &LogSettings, vm: &str) -> Logger {
    match settings.format {
        LogFormat::Human => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator)
                .use_utc_timestamp()
                .build();
            build_root(drain.fuse(), settings.level, vm)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr());
            build_root(std::sync::Mutex::new(drain).fuse(), settings.level, vm)
        }
    }
}

/// Builds the root logger of a role, which writes JSON lines to standard output.
///
/// Level is info and higher. Records beyond `MAX_QUEUED_RECORDS` are dropped and counted.
pub fn build_role(vm: &str, role: &'static str) -> Logger {
    let drain = slog_json::Json::default(std::io::stdout());
    let drain = std::sync::Mutex::new(drain).fuse();
    build_root(drain, Level::Info, vm).new(o!("role" => role))
}

fn build_root<D>(drain: D, level: Level, vm: &str) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let asynchronous = slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_RECORDS)
        .build()
        .fuse();
    let filtered = slog::LevelFilter::new(asynchronous, level).fuse();
    Logger::root(filtered, o!("vm" => vm.to_owned()))
}

/// Builds a logger for tests that discards every record.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Logs a fatal error and exits with status 70.
///
/// For broken invariants, after which the state of the process cannot be trusted.
pub fn stop_process(log: &Logger, reason: Arguments<'_>) -> ! {
    slog::crit!(log, "{}", reason);
    // Gives the logging thread time to write the record.
    std::thread::sleep(std::time::Duration::from_millis(100));
    std::process::exit(70)
}
