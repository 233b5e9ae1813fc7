//! Random sequences of documents, valid and not, against a model of the newest one.

use googletest::prelude::*;
use jaylock_tests::cases;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::harness::{FakeBackend, KEY, OTHER_KEY, TestFleet, wait_until};

/// Steps of one sequence.
const STEPS: usize = 40;
/// Steps between two checks of what the router serves.
const CHECK_INTERVAL: usize = 8;
/// Sequences of a run; the environment variable `JAYLOCK_SEEDS` sets another number.
const SEEDS: u64 = 2;
/// Hosts and prefixes from which the routes of a document are drawn.
const PLACES: [(&str, &str); 6] = [
    ("a.example", "/"),
    ("a.example", "/x/"),
    ("a.example", "/x/y/"),
    ("b.example", "/x/"),
    ("b.example", "/x//"),
    ("b.example:81", "/x/"),
];
const SERVICES: [&str; 2] = ["app", "next"];

/// What an operator knows of a fleet: the newest document that was acknowledged.
struct Model {
    rng: SmallRng,
    fleet: TestFleet,
    newest: Value,
    /// An older document that was acknowledged.
    older: Value,
}

impl Model {
    fn start(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let first = valid_document(&mut rng, 1);
        let fleet = TestFleet::start(1, 1);
        fleet.configure(&first);
        Self {
            rng,
            fleet,
            newest: first.clone(),
            older: first,
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..12) {
            0..4 => self.put_newer(),
            4 => self.expect_no_change(&self.newest.to_string(), 200..300),
            5 => self.expect_no_change(&self.older.to_string(), 200..300),
            6 => {
                let version = self.newest["version"].as_u64().expect("a number");
                let other = valid_document(&mut self.rng, version);
                self.expect_no_change(&other.to_string(), 200..300);
            }
            7 => self.restart(),
            _ => {
                let version = self.rng.random_range(1..1000);
                let document = valid_document(&mut self.rng, version);
                let text = invalid_text(&mut self.rng, document);
                self.expect_no_change(&text, 400..500);
            }
        }
    }

    fn put_newer(&mut self) {
        let version = self.newest["version"].as_u64().expect("a number");
        let version = version + self.rng.random_range(1..4);
        let next = valid_document(&mut self.rng, version);
        assert_that!(self.fleet.put_document(0, &next), eq(200), "{next}");
        self.older = std::mem::replace(&mut self.newest, next);
        self.expect_newest();
    }

    fn expect_no_change(&self, text: &str, statuses: std::ops::Range<u16>) {
        let status = self.fleet.put_text(0, text);
        assert!(statuses.contains(&status), "status {status} for {text}");
        self.expect_newest();
    }

    fn restart(&mut self) {
        self.fleet.kill(0);
        self.fleet.start_instance(0, false);
        wait_until("the document is read", || {
            self.fleet.read_document(0).is_some_and(|a| a.status == 200)
        });
        self.expect_newest();
    }

    fn expect_newest(&self) {
        let read = self.fleet.read_document(0).map(|answer| answer.body);
        assert_that!(read, some(eq(&self.newest.to_string())));
    }

    /// Waits until the router serves each place as the newest document says.
    fn expect_served(&self) {
        for (host, prefix) in PLACES {
            for key in [None, Some(KEY)] {
                let expected = expected_services(&self.newest, host, prefix, key);
                let what = format!("{host}{prefix} with {key:?} as in {}", self.newest);
                wait_until(&what, || self.serves(host, prefix, key, &expected));
            }
        }
    }

    fn serves(&self, host: &str, prefix: &str, key: Option<&str>, expected: &Expected) -> bool {
        let caller = self.fleet.caller().request("GET", &format!("{prefix}1"));
        let caller = caller.with("Host", host).without("Key");
        let response = match key {
            Some(key) => caller.with("Key", key).send(),
            None => caller.send(),
        };
        match expected {
            Expected::Status(status) => response.status() == *status,
            Expected::Services(services) => {
                response.status() == 200 && services.contains(&response.body)
            }
        }
    }
}

/// How a request must be answered.
enum Expected {
    Status(u16),
    Services(Vec<String>),
}

fn expected_services(document: &Value, host: &str, prefix: &str, key: Option<&str>) -> Expected {
    let text = |route: &Value, field: &str| route[field].as_str().map(String::from);
    let Some(route) = find_route(document, host, prefix) else {
        return Expected::Status(404);
    };
    let is_open = route["public"] == true || document.get("tenants").is_none();
    let tenants = document["tenants"].as_array().into_iter().flatten();
    let mut keys = tenants.flat_map(|t| t["api_keys"].as_array().into_iter().flatten());
    if !is_open && !keys.any(|known| known.as_str() == key && key.is_some()) {
        return Expected::Status(401);
    }
    let parts = route["split"].as_array().into_iter().flatten();
    let parts = parts.filter(|part| part["weight"].as_u64() > Some(0));
    let split = parts.filter_map(|part| text(part, "service"));
    Expected::Services(split.chain(text(route, "service")).collect())
}

/// The route with the longest prefix among those of the host, or else of the host without its port.
fn find_route<'a>(document: &'a Value, host: &str, prefix: &str) -> Option<&'a Value> {
    let routes = document["routes"].as_array().expect("routes").iter();
    let matching = routes.filter(|r| {
        let own = r["path_prefix"].as_str().expect("a prefix");
        r["host"] == host && prefix.starts_with(own)
    });
    let longest = matching.max_by_key(|r| r["path_prefix"].as_str().map(str::len));
    longest.or_else(|| find_route(document, host.strip_suffix(":81")?, prefix))
}

/// A document that breaks none of the platform's rules.
fn valid_document(rng: &mut SmallRng, version: u64) -> Value {
    let mut places = PLACES.to_vec();
    places.shuffle(rng);
    places.truncate(rng.random_range(0..=PLACES.len()));
    let routes: Vec<Value> = places
        .iter()
        .map(|place| valid_route(rng, *place))
        .collect();
    let services = SERVICES.map(
        |name| json!({"name": name, "health_path": "/health", "max_conns": 100, "tls": false}),
    );
    let mut document = json!({"version": version, "routes": routes, "services": services});
    let keys: &[&[&str]] = &[&[], &[KEY], &[OTHER_KEY, OTHER_KEY], &[KEY, OTHER_KEY]];
    match rng.random_range(0..4) {
        0 => {}
        1 => document["tenants"] = json!([]),
        2 => document["tenants"] = json!([{"name": "one", "api_keys": keys.choose(rng)}]),
        _ => {
            document["tenants"] = json!([
                {"name": "one", "api_keys": ["key-of-one"], "priority": 0},
                {"name": "two", "api_keys": keys.choose(rng), "priority": null},
            ]);
        }
    }
    let limits = [
        json!({}),
        json!({"max_body_bytes": 0}),
        json!({"max_body_bytes": 65536, "tokens_per_s": 0}),
    ];
    if rng.random() {
        document["limits"] = limits.choose(rng).expect("limits").clone();
    }
    document
}

fn valid_route(rng: &mut SmallRng, (host, prefix): (&str, &str)) -> Value {
    let kinds = ["idempotent", "non_idempotent"];
    let mut route = json!({
        "name": format!("r{}", rng.random_range(0..3)), "host": host, "path_prefix": prefix,
        "kind": kinds.choose(rng), "timeout_ms": rng.random_range(3000..60_000), "public": rng.random::<bool>(),
    });
    if rng.random() {
        route["service"] = SERVICES.choose(rng).copied().into();
    } else {
        let weights = [rng.random_range(0..3), rng.random_range(1..4)];
        let part = |at: usize| json!({"service": SERVICES[at], "weight": weights[at]});
        route["split"] = json!([part(0), part(1)]);
    }
    let optional = [
        ("slo_ms", json!(0)),
        ("slo_ms", json!(800.5)),
        ("max_attempts", json!(0)),
        ("max_attempts", json!(2)),
        ("priority", json!(3)),
    ];
    for (name, value) in optional.choose_multiple(rng, 2) {
        route[*name] = value.clone();
    }
    route
}

/// The text of a document that breaks one of the platform's rules.
fn invalid_text(rng: &mut SmallRng, mut document: Value) -> String {
    let route = valid_route(rng, ("c.example", "/x/"));
    let routes = document["routes"].as_array_mut().expect("routes");
    routes.push(route.clone());
    let last = routes.last_mut().expect("a route");
    match rng.random_range(0..10) {
        0 => last["service"] = "nobody".into(),
        1 => routes.push(route),
        2 => {
            last["service"] = Value::Null;
            last["split"] =
                json!([{"service": "app", "weight": 0}, {"service": "next", "weight": 0}]);
        }
        3 => last["timeout_ms"] = 0.into(),
        4 => {
            document["tenants"] = json!([
                {"name": "one", "api_keys": ["shared"]}, {"name": "two", "api_keys": [KEY, "shared"]},
            ]);
        }
        5 => *last = json!(["r", "c.example", "/x/", "idempotent", 4000, 0, 0, 0, "app"]),
        6 => {
            let fields = ["name", "host", "path_prefix", "kind", "timeout_ms"];
            let field = fields.choose(rng).expect("a field");
            last.as_object_mut().expect("a route").remove(*field);
        }
        7 => last["public"] = "no".into(),
        8 => document["services"] = json!({}),
        _ => {
            let text = document.to_string();
            return text[..rng.random_range(0..text.len())].to_owned();
        }
    }
    document.to_string()
}

fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("JAYLOCK_SEEDS").ok();
    0..count.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

cases! {
    document_that_is_read_or_served_differs_from_the_newest_acknowledged_one => {
        for seed in seeds() {
            println!("seed {seed}");
            let mut model = Model::start(seed);
            let _backends = SERVICES.map(|service| {
                FakeBackend::start_version(&model.fleet, service, (service, "v1"), move |r| r.respond("200 OK", service))
            });
            for step in 1..=STEPS {
                model.step();
                if step % CHECK_INTERVAL == 0 {
                    model.expect_served();
                }
            }
        }
    };
}
