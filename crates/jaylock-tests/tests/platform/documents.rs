//! Configuration documents: which ones are accepted, what is read back and how they take effect.

use googletest::prelude::*;
use jaylock_tests::cases;
use serde_json::{Value, json};

use crate::harness::{FakeBackend, KEY, OTHER_KEY, TestFleet, document, wait_until};

fn read(fleet: &TestFleet, at: usize) -> Option<Value> {
    let answer = fleet.read_document(at).filter(|a| a.status == 200)?;
    serde_json::from_str(&answer.body).ok()
}

cases! {
    returns_a_document_as_submitted => {
        let fleet = TestFleet::start(3, 1);
        fleet.configure(&document(7));
        for at in 0..3 {
            wait_until("the document is read", || read(&fleet, at) == Some(document(7)));
        }
    };
    keeps_the_highest_version_and_acknowledges_lower_ones => {
        let fleet = TestFleet::start(1, 1);
        fleet.configure(&document(7));
        assert_that!(fleet.put_document(0, &document(7)), eq(200));
        assert_that!(fleet.put_document(0, &document(3)), eq(200));
        assert_that!(read(&fleet, 0), some(eq(&document(7))));
        assert_that!(fleet.put_document(0, &document(8)), eq(200));
        assert_that!(read(&fleet, 0), some(eq(&document(8))));
    };
    ignores_other_content_under_the_active_version => {
        let fleet = TestFleet::start(1, 1);
        fleet.configure(&document(7));
        let mut other = document(7);
        other["routes"] = json!([]);
        fleet.put_document(0, &other);
        assert_that!(read(&fleet, 0), some(eq(&document(7))));
        assert_that!(fleet.caller().send().status(), not(eq(404)));
    };
    refuses_an_invalid_document_without_changes => {
        let fleet = TestFleet::minimal();
        let changed = |change: &dyn Fn(&mut Value)| {
            let mut document = document(9);
            change(&mut document);
            document
        };
        let invalid = [
            changed(&|d| d["routes"][0]["service"] = "nobody".into()),
            changed(&|d| d["routes"][0]["path_prefix"] = d["routes"][1]["path_prefix"].clone()),
            changed(&|d| d["routes"][0]["timeout_ms"] = 0.into()),
            changed(&|d| d["routes"][0]["timeout_ms"] = (-1).into()),
            changed(&|d| d["routes"][0]["path_prefix"] = "no-slash".into()),
            changed(&|d| d["routes"][0]["kind"] = "sometimes".into()),
            changed(&|d| d["routes"][0]["host"] = Value::Null),
            changed(&|d| {
                d["routes"][0]["service"] = Value::Null;
                d["routes"][0]["split"] = json!([{"service": "app", "weight": 0}]);
            }),
            changed(&|d| d["tenants"] = json!([
                {"name": "one", "api_keys": ["same"]}, {"name": "two", "api_keys": ["same"]},
            ])),
            changed(&|d| d["tenants"] = json!([
                {"name": "one", "api_keys": ["same"]}, {"name": "one", "api_keys": ["other", "same"]},
            ])),
            changed(&|d| d["version"] = "9".into()),
            changed(&|d| d["services"] = Value::Null),
        ];
        for document in &invalid {
            assert_that!(fleet.put_document(0, document), eq(400), "{document}");
        }
        for text in ["", "{", "[]", "null", "\u{0}"] {
            assert_that!(fleet.put_text(0, text), eq(400), "{text}");
        }
        let mut old = document(1);
        old["routes"][0]["timeout_ms"] = 0.into();
        assert_that!(fleet.put_document(0, &old), eq(400));
        assert_that!(read(&fleet, 0), some(eq(&document(1))));
    };
    key_that_one_organisation_lists_twice_is_refused => {
        let fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        let mut document = document(2);
        document["tenants"] = json!([
            {"name": "one", "api_keys": [OTHER_KEY, OTHER_KEY]}, {"name": "one", "api_keys": [KEY]},
        ]);
        fleet.configure(&document);
        for key in [KEY, OTHER_KEY] {
            wait_until("the key is valid", || fleet.caller().with("Key", key).send().status() == 200);
        }
    };
    refuses_a_removed_key => {
        let fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        let mut document = document(2);
        document["tenants"][0]["api_keys"] = json!([OTHER_KEY]);
        fleet.configure(&document);
        wait_until("the key is refused", || fleet.caller().with("Key", KEY).send().status() == 401);
        assert_that!(fleet.caller().with("Key", OTHER_KEY).send().status(), eq(200));
    };
    // Guards against routes that are open to everybody once the last key was taken away.
    refuses_every_key_under_an_empty_list_of_organisations => {
        let fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        assert_that!(fleet.caller().send().status(), eq(200));
        let mut none = document(2);
        none["tenants"] = json!([]);
        fleet.configure(&none);
        wait_until("the key is refused", || fleet.caller().send().status() == 401);
        assert_that!(fleet.caller().with("Key", "key-of-nobody").send().status(), eq(401));
        assert_that!(fleet.caller().without("Key").send().status(), eq(401));
        assert_that!(read(&fleet, 0), some(eq(&none)));
        let mut null = document(3);
        null["tenants"] = Value::Null;
        assert_that!(fleet.put_document(0, &null), eq(400));
    };
    requires_no_key_under_a_document_without_a_list_of_organisations => {
        let fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        let mut absent = document(2);
        absent.as_object_mut().expect("an object").remove("tenants");
        fleet.configure(&absent);
        wait_until("no key is required", || fleet.caller().without("Key").send().status() == 200);
        assert_that!(fleet.caller().send().status(), eq(200));
    };
    sends_requests_of_a_split_route_to_both_services => {
        let fleet = TestFleet::minimal();
        let backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        let mut document = document(2);
        document["services"] = json!([{"name": "app"}, {"name": "next"}]);
        document["routes"][1]["service"] = Value::Null;
        document["routes"][1]["split"] = json!([{"service": "app", "weight": 1}, {"service": "next", "weight": 1}]);
        fleet.configure(&document);
        // The other service has no backend server, so its share of the requests is refused.
        wait_until("both services were selected", || {
            let statuses: Vec<u16> = (0..6).map(|_| fleet.caller().send().status()).collect();
            statuses.contains(&200) && statuses.contains(&503)
        });
        assert_that!(backend.received(), not(is_empty()));
    };
    route_whose_host_has_a_port_is_never_found => {
        let fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        let mut document = document(2);
        for route in document["routes"].as_array_mut().expect("routes") {
            route["kind"] = "idempotent".into();
        }
        document["routes"][0]["host"] = "App.example:8080".into();
        document["routes"][2]["host"] = "[::1]:8080".into();
        document["routes"][3]["host"] = "[::1]".into();
        fleet.configure(&document);
        let status = |host, path| fleet.caller().request("POST", path).with("Host", host).send().status();
        wait_until("the route is active", || status("app.example:8080", "/once/1") == 200);
        assert_that!(status("[::1]:8080", "/stream/1"), eq(200));
        assert_that!(status("[::1]:9090", "/draft/1"), eq(200));
        assert_that!(status("APP.example:9090", "/look/1"), eq(200));
        assert_that!(status("app.example", "/once/1"), eq(404));
        assert_that!(status("app.example:9090", "/once/1"), eq(404));
    };
    selects_the_route_with_the_longest_prefix => {
        let fleet = TestFleet::minimal();
        let backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        let mut document = document(2);
        let mut longer = document["routes"][1].clone();
        longer["name"] = "longer".into();
        longer["path_prefix"] = "/look/private/".into();
        longer["public"] = true.into();
        document["routes"].as_array_mut().expect("routes").push(longer);
        fleet.configure(&document);
        let open = |path| fleet.caller().request("GET", path).without("Key").send().status();
        wait_until("the route is active", || open("/look/private/1") == 200);
        assert_that!(open("/look/1"), eq(401));
        assert_that!(open("/look/privately"), eq(401));
        assert_that!(backend.received(), not(is_empty()));
    };
}
