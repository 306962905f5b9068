//! Logs: short sentences, one fixed prefix for each part, human or JSON lines.

use std::fmt::Arguments;

use slog::{Drain, Level, Logger, o};

use crate::options::settings::{LogFormat, LogSettings};

/// Records that wait to be written before further ones are dropped and counted.
const CHANNEL_RECORDS: usize = 8192;

/// Builds the root logger; records go to standard error.
pub fn build(settings: &LogSettings, vm: &str) -> Logger {
    match settings.format {
        LogFormat::Human => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator)
                .use_utc_timestamp()
                .build();
            finish(drain.fuse(), settings.level, vm)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr());
            finish(std::sync::Mutex::new(drain).fuse(), settings.level, vm)
        }
    }
}

/// Builds the root logger of a role: JSON lines on standard output, dropped and counted past a bound.
pub fn build_role(vm: &str, role: &'static str) -> Logger {
    let drain = slog_json::Json::default(std::io::stdout());
    let drain = std::sync::Mutex::new(drain).fuse();
    finish(drain, Level::Info, vm).new(o!("role" => role))
}

fn finish<D>(drain: D, level: Level, vm: &str) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let asynchronous = slog_async::Async::new(drain)
        .chan_size(CHANNEL_RECORDS)
        .build()
        .fuse();
    let filtered = slog::LevelFilter::new(asynchronous, level).fuse();
    Logger::root(filtered, o!("vm" => vm.to_owned()))
}

/// A logger for tests that drops everything.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Logs a broken invariant and stops the process: its state cannot be trusted any more.
pub fn stop_process(log: &Logger, reason: Arguments<'_>) -> ! {
    slog::crit!(log, "{}", reason);
    // Gives the log thread time to write the line.
    std::thread::sleep(std::time::Duration::from_millis(100));
    std::process::exit(70)
}
