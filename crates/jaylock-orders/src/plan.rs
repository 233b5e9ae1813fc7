use std::cmp::Reverse;

use jaylock_control::is_evacuated;
use jaylock_rpc::v1::backend_report::Kind;
use jaylock_rpc::v1::{BackendReport, Configuration, LoadedModel, Model, Order};
use jaylock_types::PoolId;

/// Next step for the engines of a pool.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Send the newest order again, because the engine does not report its models.
    Retry(Order),
    /// Issue a new order, whose fencing number is not assigned yet.
    Issue(Order),
}

/// Chooses the next step for a pool; returns `None` when every engine has the right models.
///
/// A version is loaded beside the models that an engine serves, and older versions are unloaded only
/// when all copies of the new one are announced, so no step unloads the last copy of a model. One step at
/// a time bounds the load on the weight store to that of one engine.
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
    retry_order(configuration, &usable)
        .or_else(|| add_model(configuration, pool, &usable))
        .or_else(|| add_adapter(configuration, pool, &usable))
        .or_else(|| drop_surplus(configuration, pool, &usable))
}

/// Whether an engine has loaded a model in a version.
#[must_use]
pub fn has_loaded(engine: &BackendReport, model: &str, version: &str) -> bool {
    engine
        .models
        .iter()
        .any(|m| m.model == model && m.version == version)
}

fn is_usable(configuration: &Configuration, engine: &BackendReport) -> bool {
    let drained = configuration
        .drains
        .binary_search_by(|d| d.backend.as_str().cmp(&engine.id));
    let is_evacuated = is_evacuated(configuration, &engine.domain);
    engine.kind() == Kind::Engine && !engine.leaving && drained.is_err() && !is_evacuated
}

fn retry_order(configuration: &Configuration, engines: &[&BackendReport]) -> Option<Step> {
    let is_outdated = |engine: &&&BackendReport| {
        newest_order(configuration, engine).is_some_and(|o| !matches_order(engine, o))
    };
    let engine = engines.iter().find(is_outdated)?;
    newest_order(configuration, engine)
        .cloned()
        .map(Step::Retry)
}

fn newest_order<'a>(configuration: &'a Configuration, engine: &BackendReport) -> Option<&'a Order> {
    let orders = &configuration.orders;
    let index = orders
        .binary_search_by(|o| o.backend.as_str().cmp(&engine.id))
        .ok()?;
    orders.get(index)
}

fn matches_order(engine: &BackendReport, order: &Order) -> bool {
    sorted_models(&engine.models) == sorted_models(&order.models)
}

fn sorted_models(models: &[LoadedModel]) -> Vec<LoadedModel> {
    let mut models = models.to_vec();
    for model in &mut models {
        model.adapters.sort_unstable();
    }
    models.sort_unstable_by(|a, b| (&a.model, &a.version).cmp(&(&b.model, &b.version)));
    models
}

fn wanted_models<'a>(
    configuration: &'a Configuration,
    pool: &PoolId,
) -> impl Iterator<Item = &'a Model> {
    let pool = pool.clone();
    let models = configuration.models.iter();
    models.filter(move |m| m.pool == pool.as_str() && m.copies > 0)
}

fn add_model(
    configuration: &Configuration,
    pool: &PoolId,
    engines: &[&BackendReport],
) -> Option<Step> {
    for model in wanted_models(configuration, pool) {
        let copies = engines
            .iter()
            .filter(|e| has_loaded(e, &model.id, &model.version))
            .count();
        if copies >= model.copies as usize {
            continue;
        }
        let candidates = engines
            .iter()
            .filter(|e| !has_loaded(e, &model.id, &model.version));
        // Of engines with equally many models, one that serves an older version has the fewest other
        // models that share its memory.
        let serves_older = |e: &BackendReport| e.models.iter().any(|m| m.model == model.id);
        let chosen = candidates.min_by_key(|e| (e.models.len(), Reverse(serves_older(e)), &e.id));
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
        let Some(model) = wanted_models(configuration, pool).find(|m| m.id == adapter.model) else {
            continue;
        };
        let has_adapter = |e: &BackendReport| {
            let loaded = e
                .models
                .iter()
                .find(|m| m.model == model.id && m.version == model.version);
            loaded.map(|m| m.adapters.contains(&adapter.id))
        };
        let copies = engines
            .iter()
            .filter(|e| has_adapter(e) == Some(true))
            .count();
        if copies >= adapter.copies as usize {
            continue;
        }
        let candidates = engines.iter().filter(|e| has_adapter(e) == Some(false));
        if let Some(engine) = candidates.min_by_key(|e| &e.id) {
            let mut models = engine.models.clone();
            let loaded = models
                .iter_mut()
                .find(|m| m.model == model.id && m.version == model.version);
            loaded?.adapters.push(adapter.id.clone());
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
    for model in wanted_models(configuration, pool) {
        let current = engines
            .iter()
            .filter(|e| has_loaded(e, &model.id, &model.version))
            .count();
        if current < model.copies as usize {
            continue;
        }
        let is_old = |m: &LoadedModel| m.model == model.id && m.version != model.version;
        let outdated = engines.iter().find(|e| e.models.iter().any(&is_old));
        if let Some(engine) = outdated {
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
