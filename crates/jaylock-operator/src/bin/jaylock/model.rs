use clap::{Arg, ArgMatches, Command};
use jaylock_rpc::v1;
use jaylock_rpc::v1::command::Body;
use jaylock_types::{ModelId, PoolId, VersionId};

use crate::arguments::{name, name_option, named, noun_command, number, number_option};
use crate::change::{Edit, absent, apply, edit};
use crate::failure::Result;
use crate::output::{Listing, Output};
use crate::session::Session;

/// Name of the commands on models.
pub const NOUN: &str = "model";

/// The commands on models.
pub fn command() -> Command {
    let create = options().map(|option| {
        let obligatory = option.get_id() != "copies";
        option.required(obligatory)
    });
    noun_command::<ModelId>(NOUN, "Models, each in one version", create, options())
}

/// Runs one of the commands.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    match matches.subcommand() {
        Some(("create", chosen)) => edit(session, |config| Ok(create(config, chosen))).await,
        Some(("update", chosen)) => edit(session, |config| update(config, chosen)).await,
        Some(("remove", chosen)) => {
            apply(session, Body::RemoveModel(name::<ModelId>(chosen))).await
        }
        _ => session
            .configuration()
            .await
            .map(|config| Output::Listing(listing(&config))),
    }
}

/// The models of a configuration.
pub fn listing(config: &v1::Configuration) -> Listing {
    let mut listing = Listing::new(&["id", "version", "pool", "copies"]);
    for model in &config.models {
        listing.push(vec![
            model.id.as_str().into(),
            model.version.as_str().into(),
            model.pool.as_str().into(),
            model.copies.into(),
        ]);
    }
    listing
}

fn create(config: &v1::Configuration, matches: &ArgMatches) -> Edit {
    let id = name::<ModelId>(matches);
    let exists = config.models.iter().any(|m| m.id == id);
    let model = changed(
        matches,
        v1::Model {
            id: id.clone(),
            ..Default::default()
        },
    );
    Edit::create(Body::PutModel(model), NOUN, &id, exists)
}

fn update(config: &v1::Configuration, matches: &ArgMatches) -> Result<Edit> {
    let id = name::<ModelId>(matches);
    let known = config.models.iter().find(|m| m.id == id);
    let model = known.ok_or_else(|| absent(NOUN, &id))?.clone();
    Ok(Edit::update(Body::PutModel(changed(matches, model))))
}

fn changed(matches: &ArgMatches, model: v1::Model) -> v1::Model {
    v1::Model {
        version: named::<VersionId>(matches, "version").unwrap_or(model.version),
        pool: named::<PoolId>(matches, "pool").unwrap_or(model.pool),
        copies: number(matches, "copies").unwrap_or(model.copies),
        ..model
    }
}

fn options() -> [Arg; 3] {
    [
        name_option::<VersionId>("version", "Version that the engines load"),
        name_option::<PoolId>("pool", "Pool whose engines serve it"),
        number_option("copies", "Engines that hold it; 0 leaves them as they are"),
    ]
}
