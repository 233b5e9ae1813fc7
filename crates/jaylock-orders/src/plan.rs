use std::cmp::Reverse;

use jaylock_rpc::v1::backend_report::Kind;
use jaylock_rpc::v1::{BackendReport, Configuration, LoadedModel, Model, Order};
use jaylock_types::PoolId;

/// What to do next for the engines of a pool.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// The engine does not show the newest order: send it once more.
    Repeat(Order),
    /// Make a new order; its fencing number is still to come.
    Issue(Order),
}

/// Chooses the next step for a pool, or nothing when every engine holds what it should.
///
/// A version is loaded beside what an engine serves, and older versions go only when every wanted copy of
/// the new one is announced; so no step takes away the last copy of a model. One step at a time keeps the
/// load on the weight store within one engine's.
#[must_use]
pub fn next_step(
    configuration: &Configuration,
    pool: &PoolId,
    engines: &[BackendReport],
) -> Option<Step> {
    let usable: Vec<&BackendReport> = engines
        .iter()
        .filter(|e| is_usable(configuration, e))
        .collect();
    repeat(configuration, &usable)
        .or_else(|| add_model(configuration, pool, &usable))
        .or_else(|| add_adapter(configuration, pool, &usable))
        .or_else(|| drop_surplus(configuration, pool, &usable))
}

/// Whether an engine holds a model in a version.
#[must_use]
pub fn holds(engine: &BackendReport, model: &str, version: &str) -> bool {
    engine
        .models
        .iter()
        .any(|m| m.model == model && m.version == version)
}

fn is_usable(configuration: &Configuration, engine: &BackendReport) -> bool {
    let drained = configuration
        .drains
        .binary_search_by(|d| d.backend.as_str().cmp(&engine.id));
    engine.kind() == Kind::Engine && !engine.leaving && drained.is_err()
}

fn repeat(configuration: &Configuration, engines: &[&BackendReport]) -> Option<Step> {
    let missed = |engine: &&&BackendReport| {
        newest_order(configuration, engine).is_some_and(|o| !shows(engine, o))
    };
    let engine = engines.iter().find(missed)?;
    newest_order(configuration, engine)
        .cloned()
        .map(Step::Repeat)
}

fn newest_order<'a>(configuration: &'a Configuration, engine: &BackendReport) -> Option<&'a Order> {
    let orders = &configuration.orders;
    let found = orders
        .binary_search_by(|o| o.backend.as_str().cmp(&engine.id))
        .ok()?;
    orders.get(found)
}

fn shows(engine: &BackendReport, order: &Order) -> bool {
    sorted(&engine.models) == sorted(&order.models)
}

fn sorted(models: &[LoadedModel]) -> Vec<LoadedModel> {
    let mut models = models.to_vec();
    for model in &mut models {
        model.adapters.sort_unstable();
    }
    models.sort_unstable_by(|a, b| (&a.model, &a.version).cmp(&(&b.model, &b.version)));
    models
}

fn wanted<'a>(configuration: &'a Configuration, pool: &PoolId) -> impl Iterator<Item = &'a Model> {
    let pool = pool.clone();
    let models = configuration.models.iter();
    models.filter(move |m| m.pool == pool.as_str() && m.copies > 0)
}

fn add_model(
    configuration: &Configuration,
    pool: &PoolId,
    engines: &[&BackendReport],
) -> Option<Step> {
    for model in wanted(configuration, pool) {
        let copies = engines
            .iter()
            .filter(|e| holds(e, &model.id, &model.version))
            .count();
        if copies >= model.copies as usize {
            continue;
        }
        let spare = engines
            .iter()
            .filter(|e| !holds(e, &model.id, &model.version));
        // An engine that serves an older version has the fewest other models to share its memory with.
        let serves_older = |e: &BackendReport| e.models.iter().any(|m| m.model == model.id);
        let chosen = spare.min_by_key(|e| (e.models.len(), Reverse(serves_older(e)), &e.id));
        if let Some(engine) = chosen {
            let mut models = engine.models.clone();
            models.push(LoadedModel {
                model: model.id.clone(),
                version: model.version.clone(),
                adapters: Vec::new(),
            });
            return Some(issue(engine, models));
        }
    }
    None
}

fn add_adapter(
    configuration: &Configuration,
    pool: &PoolId,
    engines: &[&BackendReport],
) -> Option<Step> {
    for adapter in &configuration.adapters {
        let Some(model) = wanted(configuration, pool).find(|m| m.id == adapter.model) else {
            continue;
        };
        let has = |e: &BackendReport| {
            let at = e
                .models
                .iter()
                .find(|m| m.model == model.id && m.version == model.version);
            at.map(|m| m.adapters.contains(&adapter.id))
        };
        let copies = engines.iter().filter(|e| has(e) == Some(true)).count();
        if copies >= adapter.copies as usize {
            continue;
        }
        let spare = engines.iter().filter(|e| has(e) == Some(false));
        if let Some(engine) = spare.min_by_key(|e| &e.id) {
            let mut models = engine.models.clone();
            let at = models
                .iter_mut()
                .find(|m| m.model == model.id && m.version == model.version);
            at?.adapters.push(adapter.id.clone());
            return Some(issue(engine, models));
        }
    }
    None
}

fn drop_surplus(
    configuration: &Configuration,
    pool: &PoolId,
    engines: &[&BackendReport],
) -> Option<Step> {
    for model in wanted(configuration, pool) {
        let current = engines
            .iter()
            .filter(|e| holds(e, &model.id, &model.version))
            .count();
        if current < model.copies as usize {
            continue;
        }
        let is_old = |m: &LoadedModel| m.model == model.id && m.version != model.version;
        let old = engines.iter().find(|e| e.models.iter().any(&is_old));
        if let Some(engine) = old {
            let models = engine
                .models
                .iter()
                .filter(|m| !is_old(m))
                .cloned()
                .collect();
            return Some(issue(engine, models));
        }
    }
    None
}

fn issue(engine: &BackendReport, models: Vec<LoadedModel>) -> Step {
    Step::Issue(Order {
        backend: engine.id.clone(),
        fence: 0,
        models,
    })
}
