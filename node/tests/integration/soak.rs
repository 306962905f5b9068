//! A short soak of the programs with a fixed seed; `merlinctl soak` plays longer ones.

use std::path::Path;
use std::time::Duration;

use merlinrudder_fakes::soak::{SoakOptions, run};

const TIME: Duration = Duration::from_secs(12);

fn soak(seed: u64) {
    let program = Path::new(env!("CARGO_BIN_EXE_merlinrudder"));
    let time = TIME;
    let report = run(
        program,
        SoakOptions {
            seed,
            duration: time,
        },
    )
    .expect("a soak");
    assert!(
        report.violations.is_empty(),
        "{:#?}\n{}",
        report.violations,
        report.logs
    );
    assert!(report.served > 0 && report.faults > 0, "{report}");
}

#[test]
fn no_promise_is_broken_in_a_short_soak() {
    soak(1);
}
