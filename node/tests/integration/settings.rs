//! The sample settings are valid, and every fault of invalid ones is reported.
//!
//! A report names the section and the key.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use merlinrudder_node::options::settings::Settings;

fn samples() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../sample_configs")
}

/// Copies a sample to a temporary folder that has the key files it names.
fn copy_with_keys(sample: &Path) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let keys = folder.path().join("keys");
    fs::create_dir(&keys).expect("the key folder is created");
    fs::write(keys.join("authority.pem"), "").expect("a key file is written");
    for number in 1..=6 {
        for extension in ["pem", "key"] {
            fs::write(keys.join(format!("vm-{number}.{extension}")), "")
                .expect("a key file is written");
        }
    }
    let path = folder.path().join("settings.ini");
    fs::copy(sample, &path).expect("the sample is copied");
    (folder, path)
}

#[test]
fn the_sample_settings_of_both_deployments_are_valid() {
    for deployment in ["norrbok", "cscva"] {
        for number in 1..=6 {
            let sample = samples().join(deployment).join(format!("vm-{number}.ini"));
            let (_folder, path) = copy_with_keys(&sample);
            let settings = Settings::open(&path).expect("a valid sample");
            assert_eq!(settings.peers.len(), 5);
            assert_eq!(settings.data_folder.is_some(), number <= 3);
        }
    }
}

#[test]
fn the_check_command_reports_every_fault_with_section_and_key() {
    let sample = samples().join("invalid/settings_many.ini");
    let (_folder, path) = copy_with_keys(&sample);
    let output = Command::new(env!("CARGO_BIN_EXE_merlinrudder"))
        .args(["check", "--settings"])
        .arg(&path)
        .output()
        .expect("the server starts");
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr);
    let expected =
        fs::read_to_string(sample.with_extension("faults")).expect("the list of expected faults");
    let reported: Vec<_> = stderr
        .lines()
        .filter(|line| line.contains(".ini: ["))
        .collect();
    assert_eq!(reported.len(), expected.lines().count(), "{stderr}");
    for (line, key) in reported.iter().zip(expected.lines()) {
        assert!(line.contains(key), "{line} does not report {key}");
    }
}

#[test]
fn the_error_names_a_missing_settings_file() {
    let error =
        Settings::open(Path::new("/nowhere/settings.ini")).expect_err("the file does not exist");
    assert!(format!("{error:#}").contains("/nowhere/settings.ini"));
}
