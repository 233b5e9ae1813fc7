use bytes::Bytes;
use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command};
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Configuration, Organisation};
use jaylock_types::OrganisationId;

use crate::arguments::{number_option, number_value};
use crate::change::edit;
use crate::error::Result;
use crate::keys::{self, NEW_KEY};
use crate::output::{Cell, Output};
use crate::resource::{self, Resource, config_field, create_edit, update_edit};
use crate::session::Session;

/// The commands for organisations.
pub fn command() -> Command {
    let removed_key = key_option("remove-key").help("API key of its callers to remove; repeatable");
    let update = options().into_iter().chain([removed_key]);
    resource::command::<Organisation>(options(), update)
}

/// Runs one of the commands.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<Output> {
    let Some((command, submatches)) = matches.subcommand() else {
        return resource::list::<Organisation>(session).await;
    };
    let is_key_requested = matches!(command, "create" | "update") && submatches.get_flag(NEW_KEY);
    if !is_key_requested {
        return resource::run::<Organisation>(session, matches).await;
    }
    keys::check_command_id(session.command_id.as_ref())?;
    let key = keys::generate();
    let compute = |configuration: &Configuration| {
        let mut edit = match command {
            "create" => create_edit::<Organisation>(configuration, submatches),
            _ => update_edit::<Organisation>(configuration, submatches)?,
        };
        if let Body::PutOrganisation(organisation) = &mut edit.body {
            insert_sorted(&mut organisation.key_hashes, keys::hash(&key));
        }
        Ok(edit)
    };
    let outcome = edit(session, compute, &[("key", key.as_str().into())]).await;
    outcome.map_err(|error| keys::with_key_option(error, &key))
}

impl Resource for Organisation {
    type Id = OrganisationId;
    const NAME: &'static str = "organisation";
    const ABOUT: &'static str = "Customers whose callers share the fleet";
    const COLUMNS: &'static [&'static str] = &["id", "weight", "keys", "queue_limit"];

    config_field!(organisations, PutOrganisation, RemoveOrganisation);

    fn new(id: String) -> Self {
        Self {
            id,
            weight: 1,
            ..Self::default()
        }
    }

    fn with_arguments(mut self, matches: &ArgMatches) -> Self {
        self.weight = number_value(matches, "weight").unwrap_or(self.weight);
        self.queue_limit = number_value(matches, "queue-limit").unwrap_or(self.queue_limit);
        for hash in hashes(matches, "key") {
            insert_sorted(&mut self.key_hashes, hash);
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

/// Hashes of the keys in an option; none when the command has no such option.
fn hashes(matches: &ArgMatches, option: &str) -> impl Iterator<Item = Bytes> {
    let given = matches.try_get_many::<String>(option).ok().flatten();
    given.unwrap_or_default().map(|key| keys::hash(key))
}

/// Inserts a hash into a sorted list unless the list contains it.
fn insert_sorted(hashes: &mut Vec<Bytes>, hash: Bytes) {
    if let Err(index) = hashes.binary_search(&hash) {
        hashes.insert(index, hash);
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
            "Maximum number of waiting requests in a pool; 0 for the default",
        ),
        key_option("key").help("API key of its callers, sent as a hash only; repeatable"),
        Arg::new(NEW_KEY)
            .long(NEW_KEY)
            .action(ArgAction::SetTrue)
            .help("Generates an API key and prints it once"),
    ]
}

fn key_option(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("KEY")
        .action(ArgAction::Append)
        .value_parser(ValueParser::new(keys::check))
}
