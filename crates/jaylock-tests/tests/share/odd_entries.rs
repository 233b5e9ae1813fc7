//! Reports that stand for entries of another writer, beside those of sound backend servers.

use googletest::prelude::*;
use jaylock_control::ConfigView;
use jaylock_rpc::v1::{BackendReport, Configuration, Service};
use jaylock_tests::cases;

use crate::fleet::{engine_report, router};

/// Pools that no configuration names.
const UNNAMED_POOLS: usize = 1000;
/// The most of them whose reports may be kept.
const MAX_KEPT: usize = 64;

/// A configuration that names the pool "chat".
fn configuration_of_chat(index: u64) -> Configuration {
    let chat = Service {
        id: "chat".into(),
        ..Service::default()
    };
    Configuration {
        index,
        services: vec![chat],
        ..Configuration::default()
    }
}

cases! {
    async reports_of_unnamed_pools_ask_for_schedulers_without_bound => {
        let view = ConfigView::default();
        let client = router("r1", &view);
        let odd = (0..UNNAMED_POOLS).map(|number| BackendReport {
            pool: format!("unnamed-{number}"),
            ..engine_report("odd", 8)
        });
        odd.for_each(|report| client.report_backend(report));
        assert_that!(client.unserved_pools().len(), le(MAX_KEPT));
        assert!(view.update(configuration_of_chat(1)));
        assert_that!(client.unserved_pools(), is_empty());
        client.report_backend(engine_report("e1", 8));
        let unserved = client.unserved_pools();
        assert_that!(unserved.iter().map(ToString::to_string).collect::<Vec<_>>(), elements_are![eq("chat")]);
    };
}
