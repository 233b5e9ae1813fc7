use std::error::Error;
use std::str::FromStr;

use clap::{Arg, ArgMatches, Command};
use jaylock_rpc::v1;
use jaylock_rpc::v1::command::Body;

use crate::arguments::{name, name_argument};
use crate::change::{Edit, absent, apply, edit};
use crate::failure::Result;
use crate::output::{Cell, Listing, Output};
use crate::session::Session;

/// Something that operators name, create, change, remove and list.
pub trait Resource: Clone + 'static {
    /// What its name looks like.
    type Id: FromStr<Err: Error + Send + Sync> + ToString + Clone + Send + Sync + 'static;
    /// Name of its commands.
    const NOUN: &'static str;
    /// What it is, for the help.
    const ABOUT: &'static str;
    /// Columns of its list.
    const COLUMNS: &'static [&'static str];

    /// All that the configuration holds.
    fn all(config: &v1::Configuration) -> &[Self];
    /// One that has nothing but a name.
    fn new(id: String) -> Self;
    /// Its name.
    fn id(&self) -> &str;
    /// The same with what the command line gives.
    fn changed(self, matches: &ArgMatches) -> Self;
    /// Its row in the list.
    fn row(&self) -> Vec<Cell>;
    /// The change that puts it in place.
    fn put(self) -> Body;
    /// The change that removes it.
    fn removal(id: String) -> Body;
}

/// Where the configuration holds a resource, and the changes that put and remove it.
macro_rules! held {
    ($field:ident, $put:ident, $removal:ident) => {
        fn all(config: &::jaylock_rpc::v1::Configuration) -> &[Self] {
            &config.$field
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

pub(crate) use held;

/// The commands create, update, remove and list.
pub fn command<T: Resource>(
    create: impl IntoIterator<Item = Arg>,
    update: impl IntoIterator<Item = Arg>,
) -> Command {
    let named = |name: &'static str| Command::new(name).arg(name_argument::<T::Id>());
    let create = named("create")
        .about("Adds one under a new name")
        .args(create);
    let update = named("update")
        .about("Changes what is given and leaves the rest")
        .args(update);
    Command::new(T::NOUN)
        .about(T::ABOUT)
        .subcommand_required(true)
        .subcommand(create)
        .subcommand(update)
        .subcommand(named("remove").about("Removes it"))
        .subcommand(Command::new("list").about("Lists all"))
}

/// Runs one of the commands.
pub async fn run<T: Resource>(session: &Session, matches: &ArgMatches) -> Result<Output> {
    match matches.subcommand() {
        Some(("create", chosen)) => {
            edit(session, |config| Ok(created::<T>(config, chosen)), &[]).await
        }
        Some(("update", chosen)) => edit(session, |config| updated::<T>(config, chosen), &[]).await,
        Some(("remove", chosen)) => apply(session, T::removal(name::<T::Id>(chosen))).await,
        _ => list::<T>(session).await,
    }
}

/// Lists all that the newest configuration holds.
pub async fn list<T: Resource>(session: &Session) -> Result<Output> {
    let config = session.configuration().await?;
    Ok(Output::Listing(listing::<T>(&config)))
}

/// All that a configuration holds.
pub fn listing<T: Resource>(config: &v1::Configuration) -> Listing {
    let mut listing = Listing::new(T::COLUMNS);
    for resource in T::all(config) {
        listing.push(resource.row());
    }
    listing
}

/// The change that adds a resource; it objects when there is one of that name.
pub fn created<T: Resource>(config: &v1::Configuration, matches: &ArgMatches) -> Edit {
    let id = name::<T::Id>(matches);
    let exists = T::all(config).iter().any(|resource| resource.id() == id);
    let objection = exists.then(|| {
        let noun = T::NOUN;
        format!("{noun} {id} exists already: choose another name, or change it with update")
    });
    Edit {
        body: T::new(id).changed(matches).put(),
        objection,
    }
}

/// The change of a resource that is there.
pub fn updated<T: Resource>(config: &v1::Configuration, matches: &ArgMatches) -> Result<Edit> {
    let id = name::<T::Id>(matches);
    let known = T::all(config).iter().find(|resource| resource.id() == id);
    let resource = known.ok_or_else(|| absent(T::NOUN, &id))?.clone();
    Ok(Edit {
        body: resource.changed(matches).put(),
        objection: None,
    })
}

/// Marks options as obligatory, but for one.
pub fn obligatory<const N: usize>(options: [Arg; N], but: &str) -> [Arg; N] {
    options.map(|option| {
        let needed = option.get_id() != but;
        option.required(needed)
    })
}
