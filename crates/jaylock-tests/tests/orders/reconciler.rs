use googletest::prelude::*;
use jaylock_orders::{OrderReconciler, ReconcilerSettings};
use jaylock_rpc::v1::Order;
use jaylock_tests::cases;

use crate::fakes::{FakeEngine, FakeFleet, POOL, loaded, model};

/// Upper bound on the steps of any of these cases.
const MAX_STEPS: usize = 20;

cases! {
    async engine_with_fence_checks_ends_with_the_newest_order => {
        expect_that!(models_after_a_late_order(true).await, eq(&vec![loaded("dossier", "2")]));
    };

    async engine_without_fence_checks_ends_with_the_newest_order => {
        expect_that!(models_after_a_late_order(false).await, eq(&vec![loaded("dossier", "2")]));
    };

    async retries_the_newest_order_at_a_restarted_engine => {
        let fleet = FakeFleet::new(vec![FakeEngine::default()]);
        fleet.configure(vec![model("dossier", "1", 1)], vec![]);
        reconcile_all(&fleet).await;
        fleet.restart(0);
        reconcile_all(&fleet).await;
        expect_that!(fleet.engines()[0].models, eq(&vec![loaded("dossier", "1")]));
    };

    async fencing_numbers_increase => {
        let fleet = FakeFleet::new(vec![FakeEngine::default(); 3]);
        let mut last = 0;
        for version in ["1", "2", "3"] {
            fleet.configure(vec![model("dossier", version, 2)], vec![]);
            for order in reconcile_all(&fleet).await {
                expect_that!(order.fence, gt(last));
                last = order.fence;
            }
        }
    };
}

/// Returns the models of an engine that receives the first order last.
async fn models_after_a_late_order(checks_fence: bool) -> Vec<jaylock_rpc::v1::LoadedModel> {
    let fleet = FakeFleet::new(vec![FakeEngine {
        checks_fence,
        ..FakeEngine::default()
    }]);
    fleet.configure(vec![model("dossier", "1", 1)], vec![]);
    let orders = reconcile_all(&fleet).await;
    fleet.configure(vec![model("dossier", "2", 1)], vec![]);
    reconcile_all(&fleet).await;
    let refused = fleet.deliver(0, &orders[0]).is_err();
    expect_that!(refused, eq(checks_fence));
    let newest = fleet.view().current().orders[0].clone();
    let repeated = reconcile_all(&fleet).await;
    expect_that!(repeated.iter().all(|o| *o == newest), eq(true));
    fleet.engines()[0].models.clone()
}

/// Reconciles until no step is left and returns the orders that were sent.
async fn reconcile_all(fleet: &FakeFleet) -> Vec<Order> {
    let pool = POOL.parse().expect("a pool name");
    let (view, settings) = (fleet.view(), ReconcilerSettings::default());
    let reconciler =
        OrderReconciler::new(view, fleet.clone(), fleet.clone(), fleet.clone(), settings);
    let mut orders = Vec::new();
    for _ in 0..MAX_STEPS {
        match reconciler
            .reconcile(&pool)
            .await
            .expect("the newest order is accepted")
        {
            Some(order) => orders.push(order),
            None => return orders,
        }
    }
    panic!("the plan does not converge")
}
