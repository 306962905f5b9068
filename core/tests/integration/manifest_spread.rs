//! Time and bytes in which confirmed manifests reach all entry VMs, at 7 to 330 VMs.

use std::time::Duration;

use crate::util::manifest_sim::{ManifestSim, Site, Spread, Storm};

/// A third of the shortest time in which operators expect a confirmed manifest in force.
const AIM: Duration = Duration::from_millis(2_500 / 3);
/// Bytes of a document with 14,000 routes.
const LARGE_DOCUMENT: f64 = 4.0 * 1024.0 * 1024.0;

const SMALL: Site = Site {
    entry_vms: 7,
    zones: 3,
    control_vms: 3,
    frozen: 0,
    entry_mbps: 1000.0,
    control_mbps: 1000.0,
    entry_share: 0.25,
};
const GROWN: Site = Site {
    entry_vms: 75,
    control_vms: 6,
    entry_mbps: 20.0,
    control_mbps: 170.0,
    entry_share: 0.12,
    ..SMALL
};
const LARGE: Site = Site {
    entry_vms: 195,
    zones: 5,
    control_vms: 5,
    ..GROWN
};
const LARGEST: Site = Site {
    entry_vms: 330,
    ..LARGE
};
const SITES: [Site; 4] = [SMALL, GROWN, LARGE, LARGEST];

fn play(site: Site, document_bytes: f64) -> Spread {
    let storm = Storm {
        manifests: 30,
        gap: Duration::from_millis(60),
        document_bytes,
    };
    ManifestSim::open(site, storm).run()
}

/// Leaves a bare quorum of the control VMs.
fn with_bare_quorum(site: Site) -> Site {
    Site {
        frozen: (site.control_vms - 1) / 2,
        ..site
    }
}

/// Guards against VMs that refuse callers by a manifest that was replaced seconds before.
#[test]
fn a_storm_of_large_manifests_is_in_force_within_a_third_of_the_bound() {
    for site in SITES {
        let spread = play(site, LARGE_DOCUMENT);
        assert!(spread.longest <= AIM, "{site:?}: {spread:?}");
    }
}

/// Guards against VMs that wait for frozen control VMs at each manifest of a storm.
#[test]
fn a_storm_is_in_force_in_time_with_a_bare_quorum_of_control_vms() {
    for site in SITES.map(with_bare_quorum) {
        let spread = play(site, LARGE_DOCUMENT);
        assert!(spread.longest <= AIM, "{site:?}: {spread:?}");
    }
}

/// Guards against whole documents for each changed route.
#[test]
fn bytes_of_a_changed_route_do_not_grow_with_its_document() {
    for site in SITES {
        let small = play(site, LARGE_DOCUMENT / 64.0);
        let large = play(site, LARGE_DOCUMENT);
        assert!(
            large.entry_bytes <= small.entry_bytes * 1.5,
            "{site:?}: {small:?}, {large:?}"
        );
    }
}
