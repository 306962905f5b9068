//! Times of the steps that bring a newer manifest into force, for logs and metrics.

use std::collections::BTreeMap;
use std::time::Duration;

use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;

/// Numbers whose first advertisement is remembered; the oldest are forgotten.
const MAX_HEARD: usize = 256;

/// When newer manifests were heard of, and when which VM was asked for one.
#[derive(Debug, Default)]
pub(super) struct ManifestWatch {
    /// First advertisement of each number above the one in force; at most `MAX_HEARD`.
    heard: BTreeMap<u64, Moment>,
    /// VM that was asked last, and when.
    asked: Option<(VmId, Moment)>,
}

/// What came before a manifest was put in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct WaitForManifest {
    /// Time since the oldest number that it replaces, or its own, was heard of.
    pub(super) time: Duration,
    /// Numbers that were heard of and are skipped.
    pub(super) overtaken: usize,
}

impl ManifestWatch {
    /// Records that a number above the one in force was advertised.
    pub(super) fn heard(&mut self, now: Moment, number: u64) {
        self.heard.entry(number).or_insert(now);
        if self.heard.len() > MAX_HEARD {
            self.heard.pop_first();
        }
    }

    /// Records that a VM is asked for a newer manifest.
    pub(super) fn asked(&mut self, now: Moment, vm: &VmId) {
        self.asked = Some((vm.clone(), now));
    }

    /// Returns when a VM was asked, if it was the last one.
    pub(super) fn asked_at(&self, vm: &VmId) -> Option<Moment> {
        let asked = self.asked.as_ref().filter(|(asked, _)| asked == vm);
        asked.map(|(_, at)| *at)
    }

    /// Records that a manifest is in force, and forgets the numbers up to its own.
    pub(super) fn in_force(&mut self, now: Moment, number: u64) -> WaitForManifest {
        let newer = self.heard.split_off(&number.saturating_add(1));
        let replaced = std::mem::replace(&mut self.heard, newer);
        let overtaken = replaced.keys().filter(|heard| **heard < number).count();
        let first = replaced.into_values().min();
        let time = first.map_or(Duration::ZERO, |first| now.since(first));
        WaitForManifest { time, overtaken }
    }
}
