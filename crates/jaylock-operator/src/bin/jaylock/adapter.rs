use clap::{Arg, ArgMatches, Command};
use jaylock_rpc::v1::Adapter;
use jaylock_types::{AdapterId, ModelId, VersionId};

use crate::arguments::{name_option, named, number, number_option};
use crate::output::Cell;
use crate::resource::{self, Resource, held, obligatory};

/// The commands on adapters.
pub fn command() -> Command {
    resource::command::<Adapter>(obligatory(options(), "copies"), options())
}

impl Resource for Adapter {
    type Id = AdapterId;
    const NOUN: &'static str = "adapter";
    const ABOUT: &'static str = "Adapters on top of models";
    const COLUMNS: &'static [&'static str] = &["id", "model", "version", "copies"];

    held!(adapters, PutAdapter, RemoveAdapter);

    fn new(id: String) -> Self {
        Self {
            id,
            ..Self::default()
        }
    }

    fn changed(self, matches: &ArgMatches) -> Self {
        Self {
            model: named::<ModelId>(matches, "model").unwrap_or(self.model),
            version: named::<VersionId>(matches, "version").unwrap_or(self.version),
            copies: number(matches, "copies").unwrap_or(self.copies),
            ..self
        }
    }

    fn row(&self) -> Vec<Cell> {
        vec![
            self.id.as_str().into(),
            self.model.as_str().into(),
            self.version.as_str().into(),
            self.copies.into(),
        ]
    }
}

fn options() -> [Arg; 3] {
    [
        name_option::<ModelId>("model", "Model that it stands on"),
        name_option::<VersionId>("version", "Version that the engines load"),
        number_option("copies", "Engines that hold it; 0 leaves them as they are"),
    ]
}
