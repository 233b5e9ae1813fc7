//! Tests of reading the events in a backend server's response.

use std::io;

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::FutureExt;
use googletest::prelude::*;
use http_body_util::StreamBody;
use hyper::body::Frame;
use jaylock_router::{EventSource, Events};
use jaylock_tests::cases;

type Part = std::result::Result<Frame<Bytes>, io::Error>;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: word\n\n")
}

/// A source whose parts have all arrived, and whose body has ended if no sender is returned.
fn source(
    parts: Vec<Part>,
) -> (
    mpsc::UnboundedSender<Part>,
    EventSource<StreamBody<mpsc::UnboundedReceiver<Part>>>,
) {
    let (sender, receiver) = mpsc::unbounded();
    for part in parts {
        sender.unbounded_send(part).expect("an open channel");
    }
    (sender, EventSource::new(StreamBody::new(receiver)))
}

fn frame(text: &str) -> Frame<Bytes> {
    Frame::data(Bytes::copy_from_slice(text.as_bytes()))
}

fn lost() -> Part {
    Err(io::Error::from(io::ErrorKind::ConnectionReset))
}

cases! {
    events_that_have_arrived_are_forwarded_one_by_one_under_overload => {
        let (_sender, mut source) = source((1..=4).map(|id| Ok(frame(&event(id)))).collect());
        source.read_arrived().now_or_never();
        let mut last_event = 0;
        let events = source.next(&mut last_event).now_or_never().expect("events that have arrived");
        let text: String = (1..=4).map(event).collect();
        assert_that!(events.expect("a sound body"), some(eq(&Events { text: text.into(), count: 4 })));
        assert_that!(last_event, eq(4));
    };
    event_of_which_a_part_has_arrived_is_forwarded_incomplete => {
        let (sender, mut source) = source(vec![Ok(frame(&event(1))), Ok(frame("id: 2\nda"))]);
        source.read_arrived().now_or_never();
        let mut last_event = 0;
        let first = source.next(&mut last_event).now_or_never().expect("an event").expect("a sound body");
        assert_that!(first.map(|events| events.count), some(eq(1)));
        assert_that!(source.next(&mut last_event).now_or_never().is_none(), eq(true));
        sender.unbounded_send(Ok(frame("ta: word\n\n"))).expect("an open channel");
        let second = source.next(&mut last_event).now_or_never().expect("an event").expect("a sound body");
        assert_that!(second.map(|events| events.text), some(eq(&Bytes::from(event(2)))));
    };
    events_before_a_lost_connection_are_discarded_with_it => {
        let (_sender, mut source) = source(vec![Ok(frame(&event(1))), lost()]);
        source.read_arrived().now_or_never();
        let mut last_event = 0;
        let first = source.next(&mut last_event).now_or_never().expect("an event").expect("events first");
        assert_that!(first.map(|events| events.count), some(eq(1)));
        assert_that!(source.next(&mut last_event).now_or_never().expect("an end").is_err(), eq(true));
    };
    stream_that_ends_within_an_event_looks_complete => {
        for text in ["id: 2\ndata: wo", "id: 2\ndata: word\n"] {
            let (sender, mut source) = source(vec![Ok(frame(&event(1))), Ok(frame(text))]);
            drop(sender);
            source.read_arrived().now_or_never();
            let mut last_event = 0;
            let first = source.next(&mut last_event).now_or_never().expect("an event");
            assert_that!(first.expect("events first").map(|events| events.count), some(eq(1)));
            assert_that!(source.next(&mut last_event).now_or_never().expect("an end").is_err(), eq(true));
        }
    };
}
