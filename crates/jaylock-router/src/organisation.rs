use std::cell::{Cell, RefCell};

use http::{HeaderMap, header};
use jaylock_rpc::v1::Configuration;
use jaylock_types::{KeyHash, OrganisationId, Revision};

/// Lookup table of organisations by key hash, rebuilt when operators have changed the configuration.
#[derive(Default)]
pub struct Organisations {
    /// Revision of the configuration that the keys were built from.
    built_revision: Cell<Option<Revision>>,
    table: RefCell<Table>,
}

#[derive(Default)]
struct Table {
    organisations: Vec<OrganisationId>,
    /// Key hashes in order, with the indices of their organisations.
    keys: Vec<(KeyHash, usize)>,
}

impl Organisations {
    /// Returns the organisation whose key is in the headers of a request.
    pub fn find(
        &self,
        configuration: &Configuration,
        headers: &HeaderMap,
    ) -> Option<OrganisationId> {
        self.find_key(configuration, bearer_token(headers)?)
    }

    /// Returns the organisation that has a key.
    pub fn find_key(&self, configuration: &Configuration, key: &str) -> Option<OrganisationId> {
        let revision = Revision(configuration.revision);
        if self.built_revision.get() != Some(revision) {
            *self.table.borrow_mut() = Table::new(configuration);
            self.built_revision.set(Some(revision));
        }
        self.table.borrow().find(KeyHash::from_key(key))
    }
}

impl Table {
    fn new(configuration: &Configuration) -> Self {
        let mut table = Self::default();
        for organisation in &configuration.organisations {
            let Ok(id) = organisation.id.parse() else {
                continue;
            };
            let index = table.organisations.len();
            table.organisations.push(id);
            let hashes = organisation.key_hashes.iter();
            let hashes = hashes.filter_map(|hash| hash.as_ref().try_into().ok());
            table.keys.extend(hashes.map(|hash| (KeyHash(hash), index)));
        }
        table.keys.sort_unstable();
        table
    }

    fn find(&self, hash: KeyHash) -> Option<OrganisationId> {
        let search = self.keys.binary_search_by_key(&hash, |(key, _)| *key);
        let (_, index) = self.keys[search.ok()?];
        Some(self.organisations[index].clone())
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}
