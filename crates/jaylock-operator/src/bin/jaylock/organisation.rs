use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command};
use jaylock_rpc::v1;
use jaylock_rpc::v1::command::Body;
use jaylock_types::OrganisationId;

use crate::arguments::{name, noun_command, number, number_option};
use crate::change::{Edit, absent, apply, edit_with};
use crate::failure::Result;
use crate::keys::{self, Keys};
use crate::output::{Cell, Listing, Output};
use crate::session::Session;

/// Name of the commands on organisations.
pub const NOUN: &str = "organisation";

/// The commands on organisations.
pub fn command() -> Command {
    let about = "Customers whose callers share the fleet";
    let ending = key_option("remove-key").help("Key of its callers that ends; repeatable");
    let update = options().into_iter().chain([ending]);
    noun_command::<OrganisationId>(NOUN, about, options(), update)
}

/// Runs one of the commands.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    match matches.subcommand() {
        Some(("create", chosen)) => {
            put(session, chosen, |config, keys| {
                Ok(create(config, chosen, keys))
            })
            .await
        }
        Some(("update", chosen)) => {
            put(session, chosen, |config, keys| update(config, chosen, keys)).await
        }
        Some(("remove", chosen)) => {
            let id = name::<OrganisationId>(chosen);
            apply(session, Body::RemoveOrganisation(id)).await
        }
        _ => session
            .configuration()
            .await
            .map(|config| Output::Listing(listing(&config))),
    }
}

/// The organisations of a configuration.
pub fn listing(config: &v1::Configuration) -> Listing {
    let mut listing = Listing::new(&["id", "weight", "keys", "queue_limit"]);
    for organisation in &config.organisations {
        listing.push(vec![
            organisation.id.as_str().into(),
            organisation.weight.into(),
            Cell::Number(organisation.key_hashes.len() as u64),
            organisation.queue_limit.into(),
        ]);
    }
    listing
}

async fn put(
    session: &Session,
    matches: &ArgMatches,
    plan: impl Fn(&v1::Configuration, &Keys) -> Result<Edit>,
) -> Result<Output> {
    keys::check_resend(matches, session.command_id.as_ref())?;
    let keys = Keys::from_matches(matches);
    let made = keys.made.as_deref().map(|key| ("key", key.into()));
    let more: Vec<_> = made.into_iter().collect();
    let outcome = edit_with(session, |config| plan(config, &keys), &more).await;
    outcome.map_err(|failure| keys.explain(failure))
}

fn create(config: &v1::Configuration, matches: &ArgMatches, keys: &Keys) -> Edit {
    let id = name::<OrganisationId>(matches);
    let exists = config.organisations.iter().any(|o| o.id == id);
    let organisation = v1::Organisation {
        id: id.clone(),
        weight: number(matches, "weight").unwrap_or(1),
        key_hashes: keys.hashes.clone(),
        queue_limit: number(matches, "queue-limit").unwrap_or_default(),
    };
    Edit::create(Body::PutOrganisation(organisation), NOUN, &id, exists)
}

fn update(config: &v1::Configuration, matches: &ArgMatches, keys: &Keys) -> Result<Edit> {
    let id = name::<OrganisationId>(matches);
    let known = config.organisations.iter().find(|o| o.id == id);
    let mut organisation = known.ok_or_else(|| absent(NOUN, &id))?.clone();
    organisation.weight = number(matches, "weight").unwrap_or(organisation.weight);
    let limit = number(matches, "queue-limit");
    organisation.queue_limit = limit.unwrap_or(organisation.queue_limit);
    let removed = matches.get_many::<String>("remove-key").unwrap_or_default();
    let removed: Vec<_> = removed.map(|key| keys::hash(key)).collect();
    let hashes = &mut organisation.key_hashes;
    hashes.extend(keys.hashes.iter().cloned());
    hashes.retain(|hash| !removed.contains(hash));
    hashes.sort();
    hashes.dedup();
    Ok(Edit::update(Body::PutOrganisation(organisation)))
}

fn options() -> [Arg; 4] {
    [
        number_option(
            "weight",
            "Share of capacity relative to the others, 1 by default",
        ),
        number_option(
            "queue-limit",
            "Requests that may wait in a pool; 0 takes the default",
        ),
        key_option("key").help("Key of its callers; only its hash is sent; repeatable"),
        Arg::new("new-key")
            .long("new-key")
            .action(ArgAction::SetTrue)
            .help("Makes a key and prints it this once"),
    ]
}

fn key_option(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("KEY")
        .action(ArgAction::Append)
        .value_parser(ValueParser::new(keys::check))
}
