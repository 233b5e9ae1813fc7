use std::time::Duration;

use compio::time::timeout;
use googletest::prelude::*;
use jaylock_control::ConfigView;
use jaylock_rpc::v1::Ask;
use jaylock_share::SchedulerSettings;
use jaylock_tests::cases;

use crate::fleet::{Host, LIVENESS_TIMEOUT, ask, configuration, end, engine_report, pool, router};

cases! {
    async grants_a_slot_and_reuses_it_after_its_release => {
        let view = ConfigView::default();
        let host = Host::start("i1", &view, SchedulerSettings::default()).await;
        assert_that!(view.update(configuration(1, 1, &host)), eq(true));
        let chat = pool();
        let client = router("r1", &view);
        client.report_backend(engine_report("e1", 1));
        let first = timeout(LIVENESS_TIMEOUT, client.request_slot(&chat, ask("bench"))).await;
        let first = first.expect("a reply in time").expect("a grant");
        assert_that!(first.backend, eq("e1"));
        assert_that!(first.epoch, eq(1));
        let mut second = Box::pin(client.request_slot(&chat, ask("till")));
        let early = timeout(Duration::from_millis(200), &mut second).await;
        assert_that!(early.is_err(), eq(true));
        client.release_slot(&chat, end(first.ticket, 20));
        let second = timeout(LIVENESS_TIMEOUT, second).await.expect("a reply in time").expect("a grant");
        assert_that!(second.backend, eq("e1"));
        assert_that!(client.backend_verdict("e1").map(|v| v.refused), some(eq("")));
    };

    async encoded_names_and_addresses_are_restored_unchanged => {
        let view = ConfigView::default();
        let host = Host::start("i1", &view, SchedulerSettings::default()).await;
        assert_that!(view.update(configuration(1, 1, &host)), eq(true));
        let chat = pool();
        let client = router("r1", &view);
        client.report_backend(engine_report("e1", 8));
        let long = "00000000000000000000000000abcdef";
        let requested = [("bench", long), ("till", "short-name"), ("bench", "ABCDEF")];
        for (organisation, request) in requested {
            let ask = Ask { request: request.into(), ..ask(organisation) };
            let grant = timeout(LIVENESS_TIMEOUT, client.request_slot(&chat, ask)).await;
            let grant = grant.expect("a reply in time").expect("a grant");
            assert_that!(grant.address, eq("127.0.0.1:1"));
        }
        let decisions = host.decisions(&chat).await;
        let decoded = decisions.iter().map(|d| (d.organisation.as_str(), d.request.as_str()));
        assert_that!(decoded.collect::<Vec<_>>(), container_eq(requested));
    };
}
