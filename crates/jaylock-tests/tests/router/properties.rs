//! Property tests of the event parser, the chunk validator, body memory and retry budgets.

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

/// A chunk that an engine or a faulty connection to it might send.
#[derive(Debug, Clone)]
struct SentChunk {
    is_own: bool,
    number: u64,
    is_last: bool,
}

impl SentChunk {
    fn event(&self) -> Event {
        let id = if self.is_own { "a1" } else { "other" };
        let reason = if self.is_last { "\"stop\"" } else { "null" };
        let choice = format!("{{\"index\":0,\"delta\":{{}},\"finish_reason\":{reason}}}");
        let data = format!("{{\"id\":\"{id}\",\"choices\":[{choice}]}}");
        Event {
            id: Some(self.number),
            data: Bytes::from(data),
            ..Event::default()
        }
    }
}

fn end_event() -> Event {
    Event {
        data: Bytes::from_static(b"[DONE]"),
        ..Event::default()
    }
}

fn sent_chunk() -> impl Strategy<Value = SentChunk> {
    (any::<bool>(), 0..6_u64, any::<bool>()).prop_map(|(is_own, number, is_last)| SentChunk {
        is_own,
        number,
        is_last,
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
    fn parses_the_same_events_for_any_split(
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
    fn accepts_only_own_chunks_in_order(chunks in vec(sent_chunk(), 0..40), last in 0..3_u64) {
        let mut validator = ChunkValidator::new("a1", last, false);
        let mut next = last + 1;
        let mut is_finished = false;
        for chunk in chunks {
            match validator.check(&chunk.event()) {
                ChunkCheck::Accept(accepted) => {
                    prop_assert!(chunk.is_own);
                    prop_assert_eq!(accepted.number, next);
                    next += 1;
                    is_finished |= chunk.is_last;
                }
                ChunkCheck::Discard => prop_assert!(!chunk.is_own || chunk.number < next),
                ChunkCheck::Invalid(_) => break,
                ChunkCheck::Complete => prop_assert!(false, "no end event was sent"),
            }
            let is_complete = validator.clone().check(&end_event()) == ChunkCheck::Complete;
            prop_assert_eq!(is_complete, is_finished);
        }
    }

    #[test]
    fn reserved_body_memory_stays_within_its_limits(steps in vec((0..3_usize, 0..400_usize, any::<bool>()), 0..80)) {
        let memory = BodyMemory::new(ByteSize(1000));
        let organisations = ["a", "b", "c"].map(|o| o.parse().expect("an organisation"));
        let mut reservations: Vec<(usize, usize, BodyReservation)> = Vec::new();
        for (owner, bytes, is_release) in steps {
            if is_release && !reservations.is_empty() {
                reservations.remove(0);
            }
            let total: usize = reservations.iter().map(|r| r.1).sum();
            let own: usize = reservations.iter().filter(|r| r.0 == owner).map(|r| r.1).sum();
            let reservation = memory.reserve(&organisations[owner], bytes);
            prop_assert_eq!(reservation.is_some(), total + bytes <= 1000 && own + bytes <= 250);
            reservations.extend(reservation.map(|reservation| (owner, bytes, reservation)));
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
        let deposited = requests * u64::from(permille) / 1000;
        prop_assert!(retries <= u64::from(burst) + deposited);
    }

    // Holds for fleets of any size, also when each router restarts once with a full balance.
    #[test]
    fn retries_of_all_routers_stay_within_the_fleet_budget(
        steps in vec((0..100_usize, 0..10_u8), 0..2000),
        routers in 1..100_usize,
        restarted in 0..100_usize,
    ) {
        let configuration = fleet_of(routers);
        let new_budget = || {
            let budget = FleetBudget::new(FLEET_BURST, 100);
            budget.update(&configuration);
            budget
        };
        let mut budgets: Vec<FleetBudget> = (0..routers).map(|_| new_budget()).collect();
        let (mut requests, mut retries) = (0_u64, 0_u64);
        for (at, (router, kind)) in steps.iter().enumerate() {
            let router = router % routers;
            if at == 1000 {
                for budget in budgets.iter_mut().take(restarted) {
                    *budget = new_budget();
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

/// Number of retries that all routers of a fleet may make at once.
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
fn allows_no_retry_before_the_number_of_routers_is_known() {
    let budget = FleetBudget::new(FLEET_BURST, 100);
    assert_that!(budget.try_withdraw("claims"), eq(false));
    budget.update(&fleet_of(8));
    assert_that!(budget.try_withdraw("records"), eq(true));
}

#[test]
fn budgets_of_organisations_are_independent() {
    let budget = RetryBudget::new(1, 0);
    assert_that!(budget.try_withdraw("one"), eq(true));
    assert_that!(budget.try_withdraw("one"), eq(false));
    assert_that!(budget.try_withdraw("two"), eq(true));
}
