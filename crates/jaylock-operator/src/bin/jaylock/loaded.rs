use clap::{ArgMatches, Command};
use jaylock_rpc::v1::{Adapter, Model};
use jaylock_types::{AdapterId, ModelId, PoolId, VersionId};

use crate::arguments::{name_option, named, number, number_option};
use crate::output::Cell;
use crate::resource::{self, Resource, held, obligatory};

/// Something that engines load in a version, and where it belongs.
pub trait Loaded: Resource {
    /// Name of the option that tells where it belongs, and its help.
    const PLACE: (&'static str, &'static str);

    /// The option that tells where it belongs.
    fn place_option() -> clap::Arg;
}

/// The commands on models or adapters.
pub fn command<T: Loaded>() -> Command {
    let options = || {
        [
            T::place_option(),
            name_option::<VersionId>("version", "Version that the engines load"),
            number_option("copies", "Engines that hold it; 0 leaves them as they are"),
        ]
    };
    resource::command::<T>(obligatory(options(), "copies"), options())
}

/// A type that engines load: its names, and the field and the type of where it belongs.
macro_rules! loaded {
    ($type:ident: $id:ty, $noun:literal, $about:literal, $place:ident: $place_id:ty, $help:literal,
        $field:ident, $put:ident, $removal:ident) => {
        impl Resource for $type {
            type Id = $id;
            const NOUN: &'static str = $noun;
            const ABOUT: &'static str = $about;
            const COLUMNS: &'static [&'static str] =
                &["id", stringify!($place), "version", "copies"];

            held!($field, $put, $removal);

            fn new(id: String) -> Self {
                Self {
                    id,
                    ..Self::default()
                }
            }

            fn changed(self, matches: &ArgMatches) -> Self {
                Self {
                    $place: named::<$place_id>(matches, stringify!($place)).unwrap_or(self.$place),
                    version: named::<VersionId>(matches, "version").unwrap_or(self.version),
                    copies: number(matches, "copies").unwrap_or(self.copies),
                    ..self
                }
            }

            fn row(&self) -> Vec<Cell> {
                vec![
                    self.id.as_str().into(),
                    self.$place.as_str().into(),
                    self.version.as_str().into(),
                    self.copies.into(),
                ]
            }
        }

        impl Loaded for $type {
            const PLACE: (&'static str, &'static str) = (stringify!($place), $help);

            fn place_option() -> clap::Arg {
                name_option::<$place_id>(Self::PLACE.0, Self::PLACE.1)
            }
        }
    };
}

loaded!(Model: ModelId, "model", "Models, each in one version",
    pool: PoolId, "Pool whose engines serve it", models, PutModel, RemoveModel);
loaded!(Adapter: AdapterId, "adapter", "Adapters on top of models",
    model: ModelId, "Model that it stands on", adapters, PutAdapter, RemoveAdapter);
