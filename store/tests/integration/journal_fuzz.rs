//! Property test of damaged journals.
//!
//! A truncated journal yields a prefix of the appended records. A journal with a changed byte
//! yields a prefix or an error, but never a record that was not appended.

use std::fs;

use merlinrudder_store::DataFolder;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

const CASES: u32 = 300;

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn a_damaged_journal_gives_a_prefix_or_an_error() {
    let records = vec(vec(any::<u8>(), 0..60), 1..8);
    let input = (records, any::<u16>(), any::<u8>(), any::<bool>());
    let result = runner().run(&input, |(records, at, mask, cut)| {
        let folder = tempfile::tempdir()?;
        let (mut data, _) = DataFolder::open(folder.path()).map_err(fail)?;
        data.journal.append(&records).map_err(fail)?;
        drop(data);
        let path = folder.path().join("journal-0000000000000001");
        let mut bytes = fs::read(&path)?;
        let at = usize::from(at) % bytes.len();
        if cut {
            bytes.truncate(at);
        } else {
            bytes[at] ^= mask;
        }
        fs::write(&path, bytes)?;
        match DataFolder::open(folder.path()) {
            Ok((_, recovered)) if records.starts_with(&recovered.payloads) => Ok(()),
            Ok((_, recovered)) => Err(TestCaseError::fail(format!(
                "{:?} was never appended",
                recovered.payloads
            ))),
            Err(_) if cut => Err(TestCaseError::fail("a truncated journal was rejected")),
            Err(_) => Ok(()),
        }
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

fn fail(error: impl std::fmt::Display) -> TestCaseError {
    TestCaseError::fail(error.to_string())
}
