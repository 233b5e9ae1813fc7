use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde_json::{Value, json};

use crate::harness::document;

/// Routes that documents add and remove.
pub const ROUTES: [&str; 6] = ["/a/", "/b/", "/c/", "/d/", "/e/", "/bulk7/"];
/// Keys that documents add and remove.
pub const KEYS: [&str; 4] = [
    "first-added-key",
    "second-added-key",
    "third-added-key",
    "fourth-added-key",
];
/// Routes that a large document adds.
const BULK_COUNT: usize = 350;
/// Changes of one kind in a document.
const MAX_CHANGES: usize = 2;

/// A valid document and what it adds to the first one.
#[derive(Debug, Clone)]
pub struct Draft {
    pub version: u64,
    /// Added routes, sorted.
    pub routes: Vec<&'static str>,
    /// Added keys, sorted.
    pub keys: Vec<&'static str>,
    pub is_large: bool,
    pub timeout_ms: u64,
}

impl Draft {
    /// The document that adds nothing.
    pub fn first(version: u64) -> Self {
        Self {
            version,
            routes: Vec::new(),
            keys: Vec::new(),
            is_large: false,
            timeout_ms: 4000,
        }
    }

    /// Draws the document of a version from the one before.
    pub fn draw_next(&self, version: u64, rng: &mut SmallRng) -> Self {
        let mut next = Self {
            version,
            timeout_ms: rng.random_range(3500..4500),
            ..self.clone()
        };
        for _ in 0..rng.random_range(0..=MAX_CHANGES) {
            toggle(&mut next.routes, &ROUTES[..5], rng);
        }
        for _ in 0..rng.random_range(0..MAX_CHANGES) {
            toggle(&mut next.keys, &KEYS, rng);
        }
        if rng.random_ratio(1, 6) {
            next.is_large = !next.is_large;
        }
        next
    }

    /// Whether a route is in the document.
    pub fn has_route(&self, prefix: &str) -> bool {
        match prefix {
            "/look/" => true,
            "/bulk7/" => self.is_large,
            _ => self.routes.binary_search(&prefix).is_ok(),
        }
    }

    /// Whether a key is in the document.
    pub fn has_key(&self, key: &str) -> bool {
        key == crate::harness::KEY || self.keys.binary_search(&key).is_ok()
    }

    /// Number of added routes.
    pub fn added_count(&self) -> usize {
        self.routes.len() + if self.is_large { BULK_COUNT } else { 0 }
    }

    /// Returns the document.
    pub fn document(&self) -> Value {
        let mut document = document(self.version);
        let look = document["routes"][1].clone();
        let routes = document["routes"].as_array_mut().expect("routes");
        let bulk = (0..BULK_COUNT).map(|n| format!("/bulk{n}/"));
        let bulk = bulk.filter(|_| self.is_large);
        for prefix in self.routes.iter().map(ToString::to_string).chain(bulk) {
            let mut route = look.clone();
            route["name"] = format!("r{prefix}").into();
            route["path_prefix"] = prefix.into();
            routes.push(route);
        }
        for route in routes {
            route["timeout_ms"] = self.timeout_ms.into();
        }
        let keys = document["tenants"][0]["api_keys"].as_array_mut();
        keys.expect("keys")
            .extend(self.keys.iter().map(|key| json!(key)));
        document
    }

    /// Returns the text of the document.
    pub fn text(&self) -> String {
        self.document().to_string()
    }

    /// Draws a document of this version that is invalid.
    pub fn draw_invalid(&self, rng: &mut SmallRng) -> String {
        let mut document = self.document();
        match rng.random_range(0..6) {
            0 => document["routes"][0]["service"] = "nobody".into(),
            1 => document["routes"][1]["path_prefix"] = "/once/".into(),
            2 => document["routes"][0]["timeout_ms"] = 0.into(),
            3 => document["services"] = json!([]),
            4 => {
                document["tenants"] = json!([
                    {"name": "one", "api_keys": ["same"]}, {"name": "two", "api_keys": ["same"]},
                ]);
            }
            _ => {
                let text = document.to_string();
                return text[..text.len() / 2].to_owned();
            }
        }
        document.to_string()
    }

    /// Returns a valid document of this version with other content.
    pub fn other_content(&self) -> String {
        let mut document = self.document();
        for route in document["routes"].as_array_mut().expect("routes") {
            route["timeout_ms"] = (self.timeout_ms + 5000).into();
        }
        document["routes"][3]["path_prefix"] = "/never/".into();
        document.to_string()
    }
}

/// Adds or removes one of these names.
fn toggle(names: &mut Vec<&'static str>, all: &[&'static str], rng: &mut SmallRng) {
    let name = all.choose(rng).expect("a name");
    match names.binary_search(name) {
        Ok(position) => drop(names.remove(position)),
        Err(position) => names.insert(position, name),
    }
}
