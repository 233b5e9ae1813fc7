//! Streams of events: passed on whole, resumed, or cut so that nobody takes them for whole.

use googletest::prelude::*;
use jaylock_tests::cases;

use crate::bed::{Backend, Bed, Reply};

/// The events with these numbers, as a caller reads them.
fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    let events = numbers.map(|n| format!("id: {n}\ndata: piece {n}\n\n"));
    events.collect::<Vec<_>>().concat()
}

cases! {
    events_are_passed_on_in_order => {
        let bed = Bed::small();
        let _backend = Backend::start(&bed, "b1", |r| r.events(1..=5, Reply::LAST));
        let heard = bed.caller().at("POST", "/stream/1").send();
        assert_that!((heard.status(), heard.is_whole), eq((200, true)));
        assert_that!(heard.body, eq(&events(1..=5)));
        assert_that!(heard.answer.header("replica-seal"), some(eq("3e1b.07")));
    };
    a_broken_stream_goes_on_at_another_backend_server => {
        let bed = Bed::small();
        let reply = |r: &crate::bed::Received| match r.field("last-event-id") {
            "" => r.events(1..=3, "20\r\nid: 4\ndata: pie"),
            _ => r.events(4..=6, Reply::LAST),
        };
        let one = Backend::start(&bed, "b1", reply);
        let two = Backend::start(&bed, "b2", reply);
        let heard = bed.caller().at("POST", "/draft/1").send();
        assert_that!((heard.status(), heard.is_whole), eq((200, true)));
        assert_that!(heard.body, eq(&events(1..=6)));
        let mut ids: Vec<String> = [&one, &two]
            .iter()
            .flat_map(|b| b.received())
            .map(|r| r.field("last-event-id").to_owned())
            .collect();
        ids.sort();
        assert_that!(ids, elements_are![eq(""), eq("3")]);
    };
    events_that_come_again_are_dropped => {
        let bed = Bed::small();
        let reply = |r: &crate::bed::Received| match r.field("last-event-id") {
            "" => r.events(1..=3, "0"),
            _ => r.events(2..=5, Reply::LAST),
        };
        let _both = ["b1", "b2"].map(|id| Backend::start(&bed, id, reply));
        let heard = bed.caller().at("POST", "/draft/1").send();
        assert_that!((heard.is_whole, heard.body.as_str()), eq((true, events(1..=5).as_str())));
    };
    a_caller_may_go_on_after_a_number => {
        let bed = Bed::small();
        let backend = Backend::start(&bed, "b1", |r| r.events(13..=15, Reply::LAST));
        let heard = bed.caller().at("POST", "/draft/1").with("Last-Event-Id", "12").send();
        assert_that!(heard.body, eq(&events(13..=15)));
        assert_that!(backend.received()[0].field("last-event-id"), eq("12"));
    };
    a_stream_that_may_not_be_repeated_is_cut => {
        let bed = Bed::small();
        let one = Backend::start(&bed, "b1", |r| r.events(1..=3, "20\r\nid: 4\ndata: pie"));
        let two = Backend::start(&bed, "b2", |r| r.events(1..=3, "20\r\nid: 4\ndata: pie"));
        let heard = bed.caller().at("POST", "/stream/1").send();
        assert_that!((heard.status(), heard.is_whole), eq((200, false)));
        assert_that!(heard.body, eq(&events(1..=3)));
        assert_that!(one.received().len() + two.received().len(), eq(1));
    };
    a_stream_that_ends_within_an_event_is_not_whole => {
        let bed = Bed::small();
        let _backend = Backend::start(&bed, "b1", |r| r.events(1..=2, "5\r\nid: 3\r\n0\r\n\r\n"));
        let heard = bed.caller().at("POST", "/stream/1").send();
        assert_that!((heard.is_whole, heard.body.as_str()), eq((false, events(1..=2).as_str())));
    };
    a_stream_that_breaks_before_its_first_event_is_a_failure => {
        let bed = Bed::small();
        let _backend = Backend::start(&bed, "b1", |r| Reply {
            closes: true,
            ..r.raw("200 OK", "Transfer-Encoding: chunked\r\n\r\n")
        });
        assert_that!(bed.caller().at("POST", "/stream/1").send().status(), eq(502));
    };
}
