use clap::{ArgMatches, Command};
use jaylock_rpc::v1::{Adapter, Model};
use jaylock_types::{AdapterId, ModelId, PoolId, VersionId};

use crate::arguments::{id_option, number_option, number_value, option_value};
use crate::output::Cell;
use crate::resource::{self, Resource, config_field, require_all_but};

/// A resource that engines load in a version and that belongs to a parent, such as a pool.
pub trait Loadable: Resource {
    /// Name and help of the option with the parent.
    const PARENT: (&'static str, &'static str);

    /// The option with the id of the parent.
    fn parent_option() -> clap::Arg;
}

/// The commands for models or adapters.
pub fn command<T: Loadable>() -> Command {
    let options = || {
        [
            T::parent_option(),
            id_option::<VersionId>("version", "Version that the engines load"),
            number_option(
                "copies",
                "Number of engines that load it; 0 leaves the engines unchanged",
            ),
        ]
    };
    resource::command::<T>(require_all_but(options(), "copies"), options())
}

/// Implements [`Loadable`] for a type, given its names and the field and type of its parent.
macro_rules! loadable {
    ($type:ident: $id:ty, $name:literal, $about:literal, $parent:ident: $parent_id:ty, $help:literal,
        $field:ident, $put:ident, $removal:ident) => {
        impl Resource for $type {
            type Id = $id;
            const NAME: &'static str = $name;
            const ABOUT: &'static str = $about;
            const COLUMNS: &'static [&'static str] =
                &["id", stringify!($parent), "version", "copies"];

            config_field!($field, $put, $removal);

            fn new(id: String) -> Self {
                Self {
                    id,
                    ..Self::default()
                }
            }

            fn with_arguments(self, matches: &ArgMatches) -> Self {
                Self {
                    $parent: option_value::<$parent_id>(matches, stringify!($parent))
                        .unwrap_or(self.$parent),
                    version: option_value::<VersionId>(matches, "version").unwrap_or(self.version),
                    copies: number_value(matches, "copies").unwrap_or(self.copies),
                    ..self
                }
            }

            fn row(&self) -> Vec<Cell> {
                vec![
                    self.id.as_str().into(),
                    self.$parent.as_str().into(),
                    self.version.as_str().into(),
                    self.copies.into(),
                ]
            }
        }

        impl Loadable for $type {
            const PARENT: (&'static str, &'static str) = (stringify!($parent), $help);

            fn parent_option() -> clap::Arg {
                id_option::<$parent_id>(Self::PARENT.0, Self::PARENT.1)
            }
        }
    };
}

loadable!(Model: ModelId, "model", "Models, each in one version",
    pool: PoolId, "Pool whose engines serve it", models, PutModel, RemoveModel);
loadable!(Adapter: AdapterId, "adapter", "Adapters of models",
    model: ModelId, "Model that it extends", adapters, PutAdapter, RemoveAdapter);
