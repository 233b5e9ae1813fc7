use std::error::Error;
use std::str::FromStr;

use clap::{Arg, ArgMatches, Command};
use jaylock_rpc::v1;
use jaylock_rpc::v1::command::Body;

use crate::arguments::{id_argument, id_value};
use crate::change::{Edit, apply, edit, not_found};
use crate::error::Result;
use crate::output::{Cell, Listing, Output};
use crate::session::Session;

/// A kind of configuration entry that operators create, update, remove and list by id.
pub trait Resource: Clone + 'static {
    /// Type of the id.
    type Id: FromStr<Err: Error + Send + Sync> + ToString + Clone + Send + Sync + 'static;
    /// Name of the commands.
    const NAME: &'static str;
    /// Description for the help.
    const ABOUT: &'static str;
    /// Columns of the list.
    const COLUMNS: &'static [&'static str];

    /// All entries of this kind in a configuration.
    fn all(configuration: &v1::Configuration) -> &[Self];
    /// A new entry with an id and default values.
    fn new(id: String) -> Self;
    /// The id.
    fn id(&self) -> &str;
    /// The entry with the values from the command line.
    fn with_arguments(self, matches: &ArgMatches) -> Self;
    /// The row in the list.
    fn row(&self) -> Vec<Cell>;
    /// The change that creates or replaces the entry.
    fn put(self) -> Body;
    /// The change that removes the entry with an id.
    fn removal(id: String) -> Body;
}

/// Implements the methods of [`Resource`] that name a field or change of the configuration.
macro_rules! config_field {
    ($field:ident, $put:ident, $removal:ident) => {
        fn all(configuration: &::jaylock_rpc::v1::Configuration) -> &[Self] {
            &configuration.$field
        }

        fn id(&self) -> &str {
            &self.id
        }

        fn put(self) -> ::jaylock_rpc::v1::command::Body {
            ::jaylock_rpc::v1::command::Body::$put(self)
        }

        fn removal(id: String) -> ::jaylock_rpc::v1::command::Body {
            ::jaylock_rpc::v1::command::Body::$removal(id)
        }
    };
}

pub(crate) use config_field;

/// The commands create, update, remove and list.
pub fn command<T: Resource>(
    create: impl IntoIterator<Item = Arg>,
    update: impl IntoIterator<Item = Arg>,
) -> Command {
    let with_id = |name: &'static str| Command::new(name).arg(id_argument::<T::Id>());
    let create = with_id("create")
        .about("Creates one with a new id")
        .args(create);
    let update = with_id("update")
        .about("Changes the given values and leaves the others")
        .args(update);
    Command::new(T::NAME)
        .about(T::ABOUT)
        .subcommand_required(true)
        .subcommand(create)
        .subcommand(update)
        .subcommand(with_id("remove").about("Removes one"))
        .subcommand(Command::new("list").about("Lists all"))
}

/// Runs one of the commands.
pub async fn run<T: Resource>(session: &Session, matches: &ArgMatches) -> Result<Output> {
    match matches.subcommand() {
        Some(("create", submatches)) => {
            edit(
                session,
                |configuration| Ok(create_edit::<T>(configuration, submatches)),
                &[],
            )
            .await
        }
        Some(("update", submatches)) => {
            edit(
                session,
                |configuration| update_edit::<T>(configuration, submatches),
                &[],
            )
            .await
        }
        Some(("remove", submatches)) => {
            apply(session, T::removal(id_value::<T::Id>(submatches))).await
        }
        _ => list::<T>(session).await,
    }
}

/// Lists all entries in the newest configuration.
pub async fn list<T: Resource>(session: &Session) -> Result<Output> {
    let configuration = session.configuration().await?;
    Ok(Output::Listing(listing::<T>(&configuration)))
}

/// All entries in a configuration, as a table.
pub fn listing<T: Resource>(configuration: &v1::Configuration) -> Listing {
    let mut listing = Listing::new(T::COLUMNS);
    for resource in T::all(configuration) {
        listing.push(resource.row());
    }
    listing
}

/// The change that creates an entry; refused when the id is taken.
pub fn create_edit<T: Resource>(configuration: &v1::Configuration, matches: &ArgMatches) -> Edit {
    let id = id_value::<T::Id>(matches);
    let exists = T::all(configuration)
        .iter()
        .any(|resource| resource.id() == id);
    let refusal = exists.then(|| {
        let kind = T::NAME;
        format!("{kind} {id} exists already: choose another id or use the command update")
    });
    Edit {
        body: T::new(id).with_arguments(matches).put(),
        refusal,
    }
}

/// The change that updates an existing entry.
pub fn update_edit<T: Resource>(
    configuration: &v1::Configuration,
    matches: &ArgMatches,
) -> Result<Edit> {
    let id = id_value::<T::Id>(matches);
    let found = T::all(configuration)
        .iter()
        .find(|resource| resource.id() == id);
    let resource = found.ok_or_else(|| not_found(T::NAME, &id))?.clone();
    Ok(Edit {
        body: resource.with_arguments(matches).put(),
        refusal: None,
    })
}

/// Marks all options as required except one.
pub fn require_all_but<const N: usize>(options: [Arg; N], optional: &str) -> [Arg; N] {
    options.map(|option| {
        let is_required = option.get_id() != optional;
        option.required(is_required)
    })
}
