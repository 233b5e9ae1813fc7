use clap::{Arg, ArgMatches, Command};
use jaylock_rpc::v1;
use jaylock_rpc::v1::command::Body;
use jaylock_types::{AdapterId, ModelId, VersionId};

use crate::arguments::{name, name_option, named, noun_command, number, number_option};
use crate::change::{Edit, absent, apply, edit};
use crate::failure::Result;
use crate::output::{Listing, Output};
use crate::session::Session;

/// Name of the commands on adapters.
pub const NOUN: &str = "adapter";

/// The commands on adapters.
pub fn command() -> Command {
    let create = options().map(|option| {
        let obligatory = option.get_id() != "copies";
        option.required(obligatory)
    });
    noun_command::<AdapterId>(NOUN, "Adapters on top of models", create, options())
}

/// Runs one of the commands.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    match matches.subcommand() {
        Some(("create", chosen)) => edit(session, |config| Ok(create(config, chosen))).await,
        Some(("update", chosen)) => edit(session, |config| update(config, chosen)).await,
        Some(("remove", chosen)) => {
            apply(session, Body::RemoveAdapter(name::<AdapterId>(chosen))).await
        }
        _ => session
            .configuration()
            .await
            .map(|config| Output::Listing(listing(&config))),
    }
}

/// The adapters of a configuration.
pub fn listing(config: &v1::Configuration) -> Listing {
    let mut listing = Listing::new(&["id", "model", "version", "copies"]);
    for adapter in &config.adapters {
        listing.push(vec![
            adapter.id.as_str().into(),
            adapter.model.as_str().into(),
            adapter.version.as_str().into(),
            adapter.copies.into(),
        ]);
    }
    listing
}

fn create(config: &v1::Configuration, matches: &ArgMatches) -> Edit {
    let id = name::<AdapterId>(matches);
    let exists = config.adapters.iter().any(|a| a.id == id);
    let adapter = changed(
        matches,
        v1::Adapter {
            id: id.clone(),
            ..Default::default()
        },
    );
    Edit::create(Body::PutAdapter(adapter), NOUN, &id, exists)
}

fn update(config: &v1::Configuration, matches: &ArgMatches) -> Result<Edit> {
    let id = name::<AdapterId>(matches);
    let known = config.adapters.iter().find(|a| a.id == id);
    let adapter = known.ok_or_else(|| absent(NOUN, &id))?.clone();
    Ok(Edit::update(Body::PutAdapter(changed(matches, adapter))))
}

fn changed(matches: &ArgMatches, adapter: v1::Adapter) -> v1::Adapter {
    v1::Adapter {
        model: named::<ModelId>(matches, "model").unwrap_or(adapter.model),
        version: named::<VersionId>(matches, "version").unwrap_or(adapter.version),
        copies: number(matches, "copies").unwrap_or(adapter.copies),
        ..adapter
    }
}

fn options() -> [Arg; 3] {
    [
        name_option::<ModelId>("model", "Model that it stands on"),
        name_option::<VersionId>("version", "Version that the engines load"),
        number_option("copies", "Engines that hold it; 0 leaves them as they are"),
    ]
}
