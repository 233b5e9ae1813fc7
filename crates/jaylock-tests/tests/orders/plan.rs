use googletest::prelude::*;
use jaylock_orders::{Step, has_loaded, next_step};
use jaylock_rpc::v1::{Adapter, BackendReport, Configuration, Evacuation};
use jaylock_tests::{cases, seeded_config};
use jaylock_types::PoolId;
use proptest::prelude::*;

use crate::fakes::{FakeEngine, FakeFleet, POOL, loaded, model};

/// Upper bound on the steps of any plan for the generated fleets.
const MAX_STEPS: usize = 200;

cases! {
    loads_a_new_version_beside_the_old_one => {
        let fleet = FakeFleet::new(vec![engine_with("dossier", "1")]);
        fleet.configure(vec![model("dossier", "2", 1)], vec![]);
        let models = vec![loaded("dossier", "1"), loaded("dossier", "2")];
        let Some(Step::Issue(order)) = step(&fleet) else {
            panic!("an order is due")
        };
        expect_that!(order.models, eq(&models));
    };

    sends_no_order_to_a_leaving_engine => {
        let fleet = FakeFleet::new(vec![FakeEngine::default()]);
        fleet.configure(vec![model("dossier", "1", 1)], vec![]);
        let leaving = fleet.reports().into_iter().map(|r| BackendReport { leaving: true, ..r });
        let engines: Vec<_> = leaving.collect();
        expect_that!(next_step(&fleet.view().current(), &pool(), &engines), none());
    };

    // Guards against orders that are sent to engines of a domain to which nothing may be sent.
    sends_an_order_to_an_engine_of_an_evacuated_domain => {
        let fleet = FakeFleet::new(vec![FakeEngine::default()]);
        fleet.configure(vec![model("dossier", "1", 1)], vec![]);
        let entry = |since_ms| Evacuation { domain: fleet.reports()[0].domain.clone(), since_ms, ..Evacuation::default() };
        let steps = [1, 0].map(|since_ms| {
            let evacuations = vec![entry(since_ms)];
            let configuration = Configuration { evacuations, ..(*fleet.view().current()).clone() };
            next_step(&configuration, &pool(), &fleet.reports()).is_some()
        });
        expect_that!(steps, eq([false, true]));
    };

    ignores_models_with_zero_copies => {
        let fleet = FakeFleet::new(vec![engine_with("dossier", "1")]);
        fleet.configure(vec![model("dossier", "2", 0)], vec![]);
        expect_that!(step(&fleet), none());
    };
}

proptest! {
    #![proptest_config(seeded_config(64))]

    /// From any initial state, the plan loads every wanted copy, and no step unloads the last copy of a
    /// served model.
    #[test]
    fn plans_converge_and_never_unload_the_last_copy(
        start in prop::collection::vec(prop::collection::vec((0..3_u8, 0..3_u8), 0..3), 1..6),
        wanted in prop::collection::vec((0..3_u8, 0..4_u32), 3),
        adapter_copies in 0..3_u32,
    ) {
        let engines = start.iter().map(|models| engine(models)).collect();
        let fleet = FakeFleet::new(engines);
        let models = wanted.iter().enumerate();
        let models: Vec<_> = models
            .map(|(at, (version, copies))| model(&name(at), &version.to_string(), *copies))
            .collect();
        let adapter = Adapter {
            id: "binder".into(),
            model: name(0),
            version: "1".into(),
            copies: adapter_copies,
        };
        fleet.configure(models.clone(), vec![adapter]);
        let served: Vec<_> = models.iter().filter(|m| count(&fleet, &m.id) > 0).collect();
        for _ in 0..MAX_STEPS {
            let Some(step) = step(&fleet) else { break };
            apply(&fleet, step);
            for model in &served {
                prop_assert!(count(&fleet, &model.id) > 0, "{} lost its last copy", model.id);
            }
        }
        prop_assert_eq!(step(&fleet), None);
        for model in &models {
            let reports = fleet.reports();
            let copies = reports.iter().filter(|r| has_loaded(r, &model.id, &model.version)).count();
            let possible = reports.len().min(model.copies as usize);
            prop_assert!(copies >= possible, "{} has {copies} of {possible}", model.id);
        }
    }
}

fn pool() -> PoolId {
    POOL.parse().expect("a pool name")
}

fn step(fleet: &FakeFleet) -> Option<Step> {
    next_step(&fleet.view().current(), &pool(), &fleet.reports())
}

fn apply(fleet: &FakeFleet, step: Step) {
    let (Step::Issue(order) | Step::Retry(order)) = step;
    let at = fleet.reports().iter().position(|r| r.id == order.backend);
    fleet
        .deliver(at.expect("a known engine"), &order)
        .expect("the newest order is accepted");
}

fn count(fleet: &FakeFleet, model: &str) -> usize {
    fleet
        .reports()
        .iter()
        .filter(|r| r.models.iter().any(|m| m.model == model))
        .count()
}

fn name(at: usize) -> String {
    format!("model-{at}")
}

fn engine(models: &[(u8, u8)]) -> FakeEngine {
    let mut models: Vec<_> = models
        .iter()
        .map(|(at, version)| loaded(&name(usize::from(*at)), &version.to_string()))
        .collect();
    models.sort_unstable_by(|a, b| (&a.model, &a.version).cmp(&(&b.model, &b.version)));
    models.dedup();
    FakeEngine {
        models,
        ..FakeEngine::default()
    }
}

fn engine_with(model: &str, version: &str) -> FakeEngine {
    FakeEngine {
        models: vec![loaded(model, version)],
        ..FakeEngine::default()
    }
}
