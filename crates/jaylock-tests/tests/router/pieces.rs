//! Properties of the pieces: the event parser, the piece checker, the retry budget.

use bytes::Bytes;
use googletest::prelude::*;
use jaylock_router::{
    BodyMemory, BodyReservation, ChunkCheck, ChunkValidator, Event, EventParser, FleetBudget,
    RetryBudget,
};
use jaylock_rpc::v1::{Configuration, Instance};
use jaylock_tests::seeded_config;
use jaylock_types::ByteSize;
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest};

/// A piece as an engine or a faulty path to it might send it.
#[derive(Debug, Clone)]
struct Sent {
    own: bool,
    number: u64,
    last: bool,
}

impl Sent {
    fn event(&self) -> Event {
        let id = if self.own { "a1" } else { "other" };
        let reason = if self.last { "\"stop\"" } else { "null" };
        let choice = format!("{{\"index\":0,\"delta\":{{}},\"finish_reason\":{reason}}}");
        let data = format!("{{\"id\":\"{id}\",\"choices\":[{choice}]}}");
        Event {
            id: Some(self.number),
            data: Bytes::from(data),
            ..Event::default()
        }
    }
}

fn end() -> Event {
    Event {
        data: Bytes::from_static(b"[DONE]"),
        ..Event::default()
    }
}

fn sent() -> impl Strategy<Value = Sent> {
    (any::<bool>(), 0..6_u64, any::<bool>()).prop_map(|(own, number, last)| Sent {
        own,
        number,
        last,
    })
}

fn event() -> impl Strategy<Value = (Option<u64>, String, Vec<String>)> {
    let line = "[ -~]{0,12}";
    (
        proptest::option::of(any::<u64>()),
        "[a-z]{0,5}",
        vec(line, 1..3),
    )
}

proptest! {
    #![proptest_config(seeded_config(256))]

    #[test]
    fn parser_finds_the_same_events_wherever_the_bytes_are_cut(
        events in vec(event(), 0..6),
        cuts in vec(1..9_usize, 0..200),
        ending in prop_oneof![Just("\n"), Just("\r\n")],
    ) {
        let mut text = String::new();
        let mut expected = Vec::new();
        for (id, kind, lines) in events {
            let mut block = vec![": comment".to_owned(), format!("event: {kind}")];
            block.extend(id.map(|id| format!("id: {id}")));
            block.extend(lines.iter().map(|line| format!("data: {line}")));
            text.push_str(&block.join(ending));
            text.push_str(ending);
            text.push_str(ending);
            expected.push(Event { id, kind, data: lines.join("\n").into() });
        }
        let mut parser = EventParser::default();
        let mut found = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (now, later) = rest.split_at(cut.min(rest.len()));
            parser.feed(now);
            found.extend(std::iter::from_fn(|| parser.next_event()));
            rest = later;
        }
        prop_assert_eq!(found, expected);
        prop_assert_eq!(parser.pending(), 0);
    }

    #[test]
    fn only_own_pieces_pass_and_only_in_order(pieces in vec(sent(), 0..40), last in 0..3_u64) {
        let mut checker = ChunkValidator::new("a1", last, false);
        let mut next = last + 1;
        let mut finished = false;
        for piece in pieces {
            match checker.check(&piece.event()) {
                ChunkCheck::Accept(passed) => {
                    prop_assert!(piece.own);
                    prop_assert_eq!(passed.number, next);
                    next += 1;
                    finished |= piece.last;
                }
                ChunkCheck::Discard => prop_assert!(!piece.own || piece.number < next),
                ChunkCheck::Invalid(_) => break,
                ChunkCheck::Complete => prop_assert!(false, "no end was sent"),
            }
            let is_whole = checker.clone().check(&end()) == ChunkCheck::Complete;
            prop_assert_eq!(is_whole, finished);
        }
    }

    #[test]
    fn bodies_stay_within_their_bound(steps in vec((0..3_usize, 0..400_usize, any::<bool>()), 0..80)) {
        let memory = BodyMemory::new(ByteSize(1000));
        let names = ["a", "b", "c"].map(|o| o.parse().expect("an organisation"));
        let mut rooms: Vec<(usize, usize, BodyReservation)> = Vec::new();
        for (owner, bytes, leaves) in steps {
            if leaves && !rooms.is_empty() {
                rooms.remove(0);
            }
            let total: usize = rooms.iter().map(|r| r.1).sum();
            let own: usize = rooms.iter().filter(|r| r.0 == owner).map(|r| r.1).sum();
            let room = memory.reserve(&names[owner], bytes);
            prop_assert_eq!(room.is_some(), total + bytes <= 1000 && own + bytes <= 250);
            rooms.extend(room.map(|room| (owner, bytes, room)));
        }
    }

    #[test]
    fn retries_stay_within_the_budget(
        steps in vec(any::<bool>(), 0..300),
        burst in 0..10_u32,
        permille in 0..1000_u32,
    ) {
        let budget = RetryBudget::new(burst, permille);

        let (mut requests, mut retries) = (0_u64, 0_u64);
        for is_request in steps {
            if is_request {
                requests += 1;
                budget.deposit("shop");
            } else {
                retries += u64::from(budget.try_withdraw("shop"));
            }
        }
        let earned = requests * u64::from(permille) / 1000;
        prop_assert!(retries <= u64::from(burst) + earned);
    }

    // Each router may start anew once; the routers of a fleet of any size keep within what all may spend.
    #[test]
    fn retries_of_all_routers_stay_within_the_fleet_s_budget(
        steps in vec((0..100_usize, 0..10_u8), 0..2000),
        routers in 1..100_usize,
        restarted in 0..100_usize,
    ) {
        let configuration = fleet_of(routers);
        let started = || {
            let budget = FleetBudget::new(FLEET_BURST, 100);
            budget.update(&configuration);
            budget
        };
        let mut budgets: Vec<FleetBudget> = (0..routers).map(|_| started()).collect();
        let (mut requests, mut retries) = (0_u64, 0_u64);
        for (at, (router, kind)) in steps.iter().enumerate() {
            let router = router % routers;
            if at == 1000 {
                for budget in budgets.iter_mut().take(restarted) {
                    *budget = started();
                }
            }
            if *kind < 5 {
                requests += 1;
                budgets[router].deposit("claims");
            } else {
                retries += u64::from(budgets[router].try_withdraw("claims"));
            }
        }
        prop_assert!(retries <= u64::from(FLEET_BURST) + requests / 5);
    }
}

/// Retries that all routers of a fleet may make at once.
const FLEET_BURST: u32 = 192;

fn fleet_of(routers: usize) -> Configuration {
    let instance = |at: usize| Instance {
        id: format!("r{at}"),
        caller_address: format!("10.0.0.{at}:80"),
        ..Instance::default()
    };
    Configuration {
        index: 1,
        instances: (0..routers).map(instance).collect(),
        ..Configuration::default()
    }
}

#[test]
fn a_router_that_knows_no_fleet_makes_no_retry_at_once() {
    let budget = FleetBudget::new(FLEET_BURST, 100);
    assert_that!(budget.try_withdraw("claims"), eq(false));
    budget.update(&fleet_of(8));
    assert_that!(budget.try_withdraw("records"), eq(true));
}

#[test]
fn one_organisation_does_not_spend_the_budget_of_another() {
    let budget = RetryBudget::new(1, 0);
    assert_that!(budget.try_withdraw("one"), eq(true));
    assert_that!(budget.try_withdraw("one"), eq(false));
    assert_that!(budget.try_withdraw("two"), eq(true));
}
