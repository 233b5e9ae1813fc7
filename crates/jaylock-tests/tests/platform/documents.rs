//! Whole configurations: which are taken, what is read back, and what they change.

use googletest::prelude::*;
use jaylock_tests::cases;
use serde_json::{Value, json};

use crate::bed::{Backend, Bed, KEY, OTHER_KEY, document, wait_until};

fn read(bed: &Bed, at: usize) -> Option<Value> {
    let answer = bed.read(at).filter(|a| a.status == 200)?;
    serde_json::from_str(&answer.body).ok()
}

cases! {
    a_document_is_read_back_as_it_was_sent => {
        let bed = Bed::start(3, 1);
        bed.configure(&document(7));
        for at in 0..3 {
            wait_until("the document is read", || read(&bed, at) == Some(document(7)));
        }
    };
    the_highest_version_wins_and_lower_ones_are_acknowledged => {
        let bed = Bed::start(1, 1);
        bed.configure(&document(7));
        assert_that!(bed.put(0, &document(7)), eq(200));
        assert_that!(bed.put(0, &document(3)), eq(200));
        assert_that!(read(&bed, 0), some(eq(&document(7))));
        assert_that!(bed.put(0, &document(8)), eq(200));
        assert_that!(read(&bed, 0), some(eq(&document(8))));
    };
    other_content_under_the_version_held_is_not_obeyed => {
        let bed = Bed::start(1, 1);
        bed.configure(&document(7));
        let mut other = document(7);
        other["routes"] = json!([]);
        bed.put(0, &other);
        assert_that!(read(&bed, 0), some(eq(&document(7))));
        assert_that!(bed.caller().send().status(), not(eq(404)));
    };
    an_invalid_document_is_refused_and_changes_nothing => {
        let bed = Bed::small();
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
            changed(&|d| d["version"] = "9".into()),
            changed(&|d| d["services"] = Value::Null),
        ];
        for document in &invalid {
            assert_that!(bed.put(0, document), eq(400), "{document}");
        }
        for text in ["", "{", "[]", "null", "\u{0}"] {
            assert_that!(bed.put_text(0, text), eq(400), "{text}");
        }
        let mut old = document(1);
        old["routes"][0]["timeout_ms"] = 0.into();
        assert_that!(bed.put(0, &old), eq(400));
        assert_that!(read(&bed, 0), some(eq(&document(1))));
    };
    a_key_that_is_taken_away_is_refused => {
        let bed = Bed::small();
        let _backend = Backend::start(&bed, "b1", |r| r.answer("200 OK", "done"));
        let mut document = document(2);
        document["tenants"][0]["api_keys"] = json!([OTHER_KEY]);
        bed.configure(&document);
        wait_until("the key is refused", || bed.caller().with("Key", KEY).send().status() == 401);
        assert_that!(bed.caller().with("Key", OTHER_KEY).send().status(), eq(200));
    };
    a_split_route_goes_to_both_services => {
        let bed = Bed::small();
        let backend = Backend::start(&bed, "b1", |r| r.answer("200 OK", "done"));
        let mut document = document(2);
        document["services"] = json!([{"name": "app"}, {"name": "next"}]);
        document["routes"][1]["service"] = Value::Null;
        document["routes"][1]["split"] = json!([{"service": "app", "weight": 1}, {"service": "next", "weight": 1}]);
        bed.configure(&document);
        // Nothing serves the other service, so its part is refused.
        wait_until("both were chosen", || {
            let statuses: Vec<u16> = (0..6).map(|_| bed.caller().send().status()).collect();
            statuses.contains(&200) && statuses.contains(&503)
        });
        assert_that!(backend.received(), not(is_empty()));
    };
    the_longest_prefix_counts => {
        let bed = Bed::small();
        let backend = Backend::start(&bed, "b1", |r| r.answer("200 OK", "done"));
        let mut document = document(2);
        let mut longer = document["routes"][1].clone();
        longer["name"] = "longer".into();
        longer["path_prefix"] = "/look/private/".into();
        longer["public"] = true.into();
        document["routes"].as_array_mut().expect("routes").push(longer);
        bed.configure(&document);
        let open = |path| bed.caller().at("GET", path).without("Key").send().status();
        wait_until("the route is there", || open("/look/private/1") == 200);
        assert_that!(open("/look/1"), eq(401));
        assert_that!(open("/look/privately"), eq(401));
        assert_that!(backend.received(), not(is_empty()));
    };
}
