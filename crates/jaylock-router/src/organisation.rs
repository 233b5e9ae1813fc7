use std::cell::{Cell, RefCell};
use std::rc::Rc;

use http::{HeaderMap, header};
use jaylock_control::ConfigView;
use jaylock_rpc::v1::Configuration;
use jaylock_types::{Index, KeyHash, OrganisationId};

/// Lookup table of organisations by key hash, rebuilt when the configuration changes.
#[derive(Default)]
pub struct Organisations {
    /// Index of the configuration that the keys were built from.
    built_index: Cell<Option<Index>>,
    /// Key hashes in order, with their organisations.
    keys: RefCell<Vec<(KeyHash, OrganisationId)>>,
}

impl Organisations {
    /// Returns the organisation whose key is in the headers of a request.
    pub fn find(&self, view: &ConfigView, headers: &HeaderMap) -> Option<OrganisationId> {
        let key = bearer_token(headers)?;
        self.rebuild_if_changed(view);
        let keys = self.keys.borrow();
        let position = keys
            .binary_search_by_key(&KeyHash::from_key(key), |e| e.0)
            .ok()?;
        Some(keys[position].1.clone())
    }

    fn rebuild_if_changed(&self, view: &ConfigView) {
        if self.built_index.get() == Some(view.index()) {
            return;
        }
        let current: Rc<Configuration> = view.current();
        let mut keys = Vec::new();
        for organisation in &current.organisations {
            let Ok(id) = organisation.id.parse::<OrganisationId>() else {
                continue;
            };
            let hashes = organisation.key_hashes.iter();
            let hashes = hashes.filter_map(|h| <[u8; 32]>::try_from(h.as_slice()).ok());
            keys.extend(hashes.map(|h| (KeyHash(h), id.clone())));
        }
        keys.sort_unstable();
        *self.keys.borrow_mut() = keys;
        self.built_index.set(Some(Index(current.index)));
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}
