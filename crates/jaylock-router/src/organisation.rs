use std::cell::{Cell, RefCell};
use std::rc::Rc;

use http::{HeaderMap, header};
use jaylock_control::ConfigView;
use jaylock_rpc::v1::Configuration;
use jaylock_types::{Index, KeyHash, OrganisationId};

/// Finds organisations by the hash of a caller's key; follows the configuration.
#[derive(Default)]
pub struct Organisations {
    built: Cell<Option<Index>>,
    keys: RefCell<Vec<(KeyHash, OrganisationId)>>,
}

impl Organisations {
    /// The organisation whose key stands in the head of a request.
    pub fn find(&self, view: &ConfigView, headers: &HeaderMap) -> Option<OrganisationId> {
        let key = bearer(headers)?;
        self.rebuild(view);
        let keys = self.keys.borrow();
        let at = keys
            .binary_search_by_key(&KeyHash::from_key(key), |e| e.0)
            .ok()?;
        Some(keys[at].1.clone())
    }

    fn rebuild(&self, view: &ConfigView) {
        if self.built.get() == Some(view.index()) {
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
        self.built.set(Some(Index(current.index)));
    }
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}
