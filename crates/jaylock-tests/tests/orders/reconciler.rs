use googletest::prelude::*;
use jaylock_orders::{OrderReconciler, ReconcilerSettings};
use jaylock_rpc::v1::Order;
use jaylock_tests::cases;

use crate::fakes::{FakeEngine, Fleet, POOL, loaded, model};

/// More looks than any of these cases needs.
const MOST_LOOKS: usize = 20;

cases! {
    async an_engine_that_checks_ends_with_the_newest_order => {
        expect_that!(after_a_late_order(true).await, eq(&vec![loaded("dossier", "2")]));
    };

    async an_engine_that_ignores_numbers_ends_with_the_newest_order => {
        expect_that!(after_a_late_order(false).await, eq(&vec![loaded("dossier", "2")]));
    };

    async a_restarted_engine_gets_the_newest_order_again => {
        let fleet = Fleet::new(vec![FakeEngine::default()]);
        fleet.configure(vec![model("dossier", "1", 1)], vec![]);
        settle(&fleet).await;
        fleet.restart(0);
        settle(&fleet).await;
        expect_that!(fleet.engines()[0].models, eq(&vec![loaded("dossier", "1")]));
    };

    async fencing_numbers_only_grow => {
        let fleet = Fleet::new(vec![FakeEngine::default(); 3]);
        let mut last = 0;
        for version in ["1", "2", "3"] {
            fleet.configure(vec![model("dossier", version, 2)], vec![]);
            for order in settle(&fleet).await {
                expect_that!(order.fence, gt(last));
                last = order.fence;
            }
        }
    };
}

/// Models of an engine to which the first order of all arrives last.
async fn after_a_late_order(checks: bool) -> Vec<jaylock_rpc::v1::LoadedModel> {
    let fleet = Fleet::new(vec![FakeEngine {
        checks,
        ..FakeEngine::default()
    }]);
    fleet.configure(vec![model("dossier", "1", 1)], vec![]);
    let orders = settle(&fleet).await;
    fleet.configure(vec![model("dossier", "2", 1)], vec![]);
    settle(&fleet).await;
    let refused = fleet.deliver(0, &orders[0]).is_err();
    expect_that!(refused, eq(checks));
    let newest = fleet.view().current().orders[0].clone();
    let repeated = settle(&fleet).await;
    expect_that!(repeated.iter().all(|o| *o == newest), eq(true));
    fleet.engines()[0].models.clone()
}

/// Takes steps until none is left and returns the orders that were sent.
async fn settle(fleet: &Fleet) -> Vec<Order> {
    let pool = POOL.parse().expect("a pool name");
    let (view, settings) = (fleet.view(), ReconcilerSettings::default());
    let reconciler =
        OrderReconciler::new(view, fleet.clone(), fleet.clone(), fleet.clone(), settings);
    let mut orders = Vec::new();
    for _ in 0..MOST_LOOKS {
        match reconciler
            .reconcile(&pool)
            .await
            .expect("every newest order is taken")
        {
            Some(order) => orders.push(order),
            None => return orders,
        }
    }
    panic!("the plan does not settle")
}
