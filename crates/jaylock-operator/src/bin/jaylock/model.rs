use clap::{Arg, ArgMatches, Command};
use jaylock_rpc::v1::Model;
use jaylock_types::{ModelId, PoolId, VersionId};

use crate::arguments::{name_option, named, number, number_option};
use crate::output::Cell;
use crate::resource::{self, Resource, held, obligatory};

/// The commands on models.
pub fn command() -> Command {
    resource::command::<Model>(obligatory(options(), "copies"), options())
}

impl Resource for Model {
    type Id = ModelId;
    const NOUN: &'static str = "model";
    const ABOUT: &'static str = "Models, each in one version";
    const COLUMNS: &'static [&'static str] = &["id", "version", "pool", "copies"];

    held!(models, PutModel, RemoveModel);

    fn new(id: String) -> Self {
        Self {
            id,
            ..Self::default()
        }
    }

    fn changed(self, matches: &ArgMatches) -> Self {
        Self {
            version: named::<VersionId>(matches, "version").unwrap_or(self.version),
            pool: named::<PoolId>(matches, "pool").unwrap_or(self.pool),
            copies: number(matches, "copies").unwrap_or(self.copies),
            ..self
        }
    }

    fn row(&self) -> Vec<Cell> {
        vec![
            self.id.as_str().into(),
            self.version.as_str().into(),
            self.pool.as_str().into(),
            self.copies.into(),
        ]
    }
}

fn options() -> [Arg; 3] {
    [
        name_option::<VersionId>("version", "Version that the engines load"),
        name_option::<PoolId>("pool", "Pool whose engines serve it"),
        number_option("copies", "Engines that hold it; 0 leaves them as they are"),
    ]
}
