use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command};
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Configuration, Organisation};
use jaylock_types::OrganisationId;

use crate::arguments::{number, number_option};
use crate::change::edit;
use crate::failure::Result;
use crate::keys::{self, NEW_KEY};
use crate::output::{Cell, Output};
use crate::resource::{self, Resource, created, held, updated};
use crate::session::Session;

/// The commands on organisations.
pub fn command() -> Command {
    let ending = key_option("remove-key").help("Key of its callers that ends; repeatable");
    let update = options().into_iter().chain([ending]);
    resource::command::<Organisation>(options(), update)
}

/// Runs one of the commands.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    let Some((verb, chosen)) = matches.subcommand() else {
        return resource::list::<Organisation>(session).await;
    };
    let is_asked = matches!(verb, "create" | "update") && chosen.get_flag(NEW_KEY);
    if !is_asked {
        return resource::run::<Organisation>(session, matches).await;
    }
    keys::check_resend(session.command_id.as_ref())?;
    let key = keys::random();
    let plan = |config: &Configuration| {
        let mut edit = match verb {
            "create" => created::<Organisation>(config, chosen),
            _ => updated::<Organisation>(config, chosen)?,
        };
        if let Body::PutOrganisation(organisation) = &mut edit.body {
            add(&mut organisation.key_hashes, keys::hash(&key));
        }
        Ok(edit)
    };
    let outcome = edit(session, plan, &[("key", key.as_str().into())]).await;
    outcome.map_err(|failure| keys::explain(failure, &key))
}

impl Resource for Organisation {
    type Id = OrganisationId;
    const NOUN: &'static str = "organisation";
    const ABOUT: &'static str = "Customers whose callers share the fleet";
    const COLUMNS: &'static [&'static str] = &["id", "weight", "keys", "queue_limit"];

    held!(organisations, PutOrganisation, RemoveOrganisation);

    fn new(id: String) -> Self {
        Self {
            id,
            weight: 1,
            ..Self::default()
        }
    }

    fn changed(mut self, matches: &ArgMatches) -> Self {
        self.weight = number(matches, "weight").unwrap_or(self.weight);
        self.queue_limit = number(matches, "queue-limit").unwrap_or(self.queue_limit);
        for hash in hashes(matches, "key") {
            add(&mut self.key_hashes, hash);
        }
        let removed: Vec<_> = hashes(matches, "remove-key").collect();
        self.key_hashes.retain(|hash| !removed.contains(hash));
        self
    }

    fn row(&self) -> Vec<Cell> {
        vec![
            self.id.as_str().into(),
            self.weight.into(),
            Cell::Number(self.key_hashes.len() as u64),
            self.queue_limit.into(),
        ]
    }
}

/// Hashes of the keys that an option gives; none when the command has no such option.
fn hashes(matches: &ArgMatches, option: &str) -> impl Iterator<Item = Vec<u8>> {
    let given = matches.try_get_many::<String>(option).ok().flatten();
    given.unwrap_or_default().map(|key| keys::hash(key))
}

/// Adds a hash to a sorted list, once.
fn add(hashes: &mut Vec<Vec<u8>>, hash: Vec<u8>) {
    if let Err(at) = hashes.binary_search(&hash) {
        hashes.insert(at, hash);
    }
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
        Arg::new(NEW_KEY)
            .long(NEW_KEY)
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
