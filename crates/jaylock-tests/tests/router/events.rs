//! Tests of reading the events in a backend server's response.

use std::io;

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::FutureExt;
use googletest::prelude::*;
use http_body_util::StreamBody;
use hyper::body::Frame;
use jaylock_router::{ChunkCheck, ChunkValidator, Event, EventSource, Events};
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
        let mut last_event = None;
        let events = source.next(&mut last_event).now_or_never().expect("events that have arrived");
        let text: String = (1..=4).map(event).collect();
        assert_that!(events.expect("a sound body"), some(eq(&Events { text: text.into(), count: 4, has_data: true, is_numbered: true })));
        assert_that!(last_event, some(eq(4)));
    };
    event_of_which_a_part_has_arrived_is_forwarded_incomplete => {
        let (sender, mut source) = source(vec![Ok(frame(&event(1))), Ok(frame("id: 2\nda"))]);
        source.read_arrived().now_or_never();
        let mut last_event = None;
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
        let mut last_event = None;
        let first = source.next(&mut last_event).now_or_never().expect("an event").expect("events first");
        assert_that!(first.map(|events| events.count), some(eq(1)));
        assert_that!(source.next(&mut last_event).now_or_never().expect("an end").is_err(), eq(true));
    };
    stream_that_ends_within_an_event_looks_complete => {
        for text in ["id: 2\ndata: wo", "id: 2\ndata: word\n"] {
            let (sender, mut source) = source(vec![Ok(frame(&event(1))), Ok(frame(text))]);
            drop(sender);
            source.read_arrived().now_or_never();
            let mut last_event = None;
            let first = source.next(&mut last_event).now_or_never().expect("an event");
            assert_that!(first.expect("events first").map(|events| events.count), some(eq(1)));
            assert_that!(source.next(&mut last_event).now_or_never().expect("an end").is_err(), eq(true));
        }
    };
    // Guards against a stream without its first event, where the backend server counts from 0.
    event_with_the_number_0_is_forwarded => {
        let (_sender, mut source) = source((0..=2).map(|id| Ok(frame(&event(id)))).collect());
        source.read_arrived().now_or_never();
        let mut last_event = None;
        let events = source.next(&mut last_event).now_or_never().expect("events").expect("a sound body");
        let text: String = (0..=2).map(event).collect();
        assert_that!(events, some(eq(&Events { text: text.into(), count: 3, has_data: true, is_numbered: true })));
        assert_that!(last_event, some(eq(2)));
    };
    event_0_is_repeated_for_a_caller_that_has_it => {
        let (_sender, mut source) = source((0..=2).map(|id| Ok(frame(&event(id)))).collect());
        source.read_arrived().now_or_never();
        let events = source.next(&mut Some(0)).now_or_never().expect("events").expect("a sound body");
        let text: String = (1..=2).map(event).collect();
        assert_that!(events, some(eq(&Events { text: text.into(), count: 2, has_data: true, is_numbered: true })));
    };
    numbers_may_begin_anywhere_and_have_gaps => {
        let (_sender, mut source) = source([7, 9, 40].map(|id| Ok(frame(&event(id)))).into());
        source.read_arrived().now_or_never();
        let events = source.next(&mut None).now_or_never().expect("events").expect("a sound body");
        assert_that!(events.map(|events| events.count), some(eq(3)));
    };
    event_without_a_number_is_told_apart_from_a_comment => {
        let told = |text: &str| {
            let (_sender, mut source) = source(vec![Ok(frame(&event(0))), Ok(frame(text))]);
            source.read_arrived().now_or_never();
            let events = source.next(&mut None).now_or_never().expect("events").expect("a sound body");
            events.map(|events| events.is_numbered)
        };
        assert_that!(told(": still at work\n\n"), some(eq(true)));
        assert_that!(told("data: word\n\n"), some(eq(false)));
    };
    piece_of_an_engine_with_the_number_0_is_not_dropped_silently => {
        let piece = |number| Event {
            id: Some(number),
            data: r#"{"id":"attempt","choices":[{"delta":{"content":"word"}}]}"#.into(),
            ..Event::default()
        };
        let mut validator = ChunkValidator::new("attempt", 0, false);
        assert_that!(ChunkValidator::check(&mut validator, &piece(0)), matches_pattern!(ChunkCheck::Invalid(_)));
        assert_that!(ChunkValidator::check(&mut validator, &piece(1)), matches_pattern!(ChunkCheck::Accept(_)));
    };
}
