//! Subcommand `check-config`: checks a configuration of the hosting platform before it is sent.

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use clap::ArgMatches;
use merlinrudder_platform::config_check::{Change, Finding, check, differences};
use serde_json::{Value, json};

use super::path_argument;

/// Prints the findings, and the differences from another version; returns whether nothing was found.
pub(super) fn run(matches: &ArgMatches) -> Result<bool> {
    let config = read_file(&path_argument(matches, "config")?)?;
    let findings = check(&config);
    let changes = match matches.get_one::<PathBuf>("against") {
        Some(path) => differences(&read_file(path)?, &config)?,
        None => Vec::new(),
    };
    if matches.get_flag("json") {
        println!("{:#}", to_json(&findings, &changes));
    } else {
        print_text(&findings, &changes);
    }
    Ok(findings.is_empty())
}

fn read_file(path: &Path) -> Result<Vec<u8>> {
    fs::read(path).with_context(|| format!("cannot read {}", path.display()))
}

fn to_json(findings: &[Finding], changes: &[Change]) -> Value {
    let findings = findings.iter().map(|finding| {
        json!({
            "kind": finding.kind.to_string(),
            "path": finding.path,
            "message": finding.message,
        })
    });
    let changes = changes.iter().map(
        |change| json!({ "path": change.path, "before": change.before, "after": change.after }),
    );
    let (findings, changes): (Vec<_>, Vec<_>) = (findings.collect(), changes.collect());
    json!({ "findings": findings, "changes": changes })
}

fn print_text(findings: &[Finding], changes: &[Change]) {
    for Finding {
        kind,
        path,
        message,
    } in findings
    {
        let separator = if path.is_empty() { "" } else { ": " };
        println!("{kind}: {path}{separator}{message}");
    }
    for change in changes {
        match (&change.before, &change.after) {
            (None, Some(after)) => println!("added: {}: {after}", change.path),
            (Some(before), None) => println!("removed: {}: {before}", change.path),
            (before, after) => {
                let shown = |value: &Option<Value>| value.clone().unwrap_or_default();
                println!(
                    "changed: {}: {} -> {}",
                    change.path,
                    shown(before),
                    shown(after)
                );
            }
        }
    }
}
