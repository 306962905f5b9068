//! The sample manifests are valid, and invalid ones are rejected with every invalid field.

use std::fs;
use std::path::PathBuf;

use merlinrudder_core::manifest::{ManifestNumber, Policy};
use merlinrudder_core::names::{CustomerName, ServiceName};
use merlinrudder_wire::manifest::parse_manifest;
use serde_json::{Value, json};

fn samples_dir() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../sample_configs")
}

#[test]
fn sample_manifests_are_valid() {
    for name in ["norrbok", "cscva"] {
        let bytes = fs::read(samples_dir().join(name).join("manifest.json")).expect("sample file");
        let manifest = parse_manifest(&bytes).expect("valid manifest");
        assert_eq!(manifest.number, ManifestNumber(1));
        assert_eq!((manifest.services.len(), manifest.customers.len()), (2, 10));
    }
}

#[test]
fn preset_sets_the_policy() {
    let bytes = fs::read(samples_dir().join("cscva/manifest.json")).expect("sample file");
    assert_eq!(
        parse_manifest(&bytes).expect("valid manifest").policy,
        Policy::SHORT_SLOWDOWN
    );
}

/// Guards against a customer that may use every service once its last one is taken away.
#[test]
fn a_customer_without_listed_services_may_use_none() {
    let bytes = fs::read(samples_dir().join("cscva/manifest.json")).expect("sample file");
    let mut document: Value = serde_json::from_slice(&bytes).expect("JSON");
    let names: Vec<_> = document["services"]
        .as_array()
        .expect("a list of services")
        .iter()
        .map(|service| service["name"].as_str().expect("a name").to_owned())
        .collect();
    let mut usable = |listed: Option<Value>| {
        let customer = document["customers"][0]
            .as_object_mut()
            .expect("a customer");
        match listed {
            Some(listed) => customer.insert("services".to_owned(), listed),
            None => customer.remove("services"),
        };
        let customer = CustomerName::from(customer["name"].as_str().expect("a name"));
        let manifest = parse_manifest(document.to_string().as_bytes()).expect("valid manifest");
        let services = names.iter().map(|name| ServiceName::from(name.as_str()));
        let rule = &manifest.customers[&customer];
        services.filter(|service| rule.may_use(service)).count()
    };
    assert_eq!(usable(None), 2);
    assert_eq!(usable(Some(json!([names[0]]))), 1);
    assert_eq!(usable(Some(json!([]))), 0);
}

#[test]
fn invalid_samples_report_every_invalid_field() {
    let folder = samples_dir().join("invalid");
    let mut checked = 0;
    for entry in fs::read_dir(folder).expect("folder of invalid samples") {
        let path = entry.expect("directory entry").path();
        if path.extension().is_none_or(|extension| extension != "json") {
            continue;
        }
        checked += 1;
        let error =
            parse_manifest(&fs::read(&path).expect("sample file")).expect_err("invalid manifest");
        let expected = fs::read_to_string(path.with_extension("faults")).expect("expected fields");
        let fields: Vec<_> = error
            .faults
            .iter()
            .map(|fault| fault.field.as_str())
            .collect();
        assert_eq!(
            fields,
            expected.lines().collect::<Vec<_>>(),
            "{}: {error}",
            path.display()
        );
    }
    assert!(checked >= 3, "at least 3 invalid samples, found {checked}");
}
