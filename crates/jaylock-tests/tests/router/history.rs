//! History of concurrent callers over two routers and a service that fails in every way.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use jaylock_router::RouterSettings;
use jaylock_tests::seeded_config;
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, TestCaseError};
use proptest::prelude::{prop_assert, prop_assert_eq, prop_oneof, proptest};

use crate::backend::{Act, Backend, Seen, plain};
use crate::fleet::{Answer, Fleet};
use crate::port::FakeClaims;

/// What the service does with a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Deed {
    Answer,
    Decline,
    Break,
    Shorten,
    Hang,
    Cross,
}

/// One sending of a caller.
#[derive(Debug, Clone)]
struct Sending {
    key: usize,
    router: usize,
    delay: u64,
    /// Time after which the caller hangs up, in ms.
    patience: Option<u64>,
}

fn deed() -> impl Strategy<Value = Deed> {
    prop_oneof![
        3 => Just(Deed::Answer),
        1 => Just(Deed::Decline),
        1 => Just(Deed::Break),
        1 => Just(Deed::Shorten),
        1 => Just(Deed::Hang),
        1 => Just(Deed::Cross),
    ]
}

fn sending() -> impl Strategy<Value = Sending> {
    let patience = proptest::option::weighted(0.2, 1..60_u64);
    (0..3_usize, 0..2_usize, 0..60_u64, patience).prop_map(|(key, router, delay, patience)| {
        Sending {
            key,
            router,
            delay,
            patience,
        }
    })
}

/// A run that the service wrote down.
#[derive(Debug, Clone)]
struct Run {
    key: String,
    sending: String,
}

type Runs = Rc<RefCell<Vec<Run>>>;

/// An answer with the key and the number of its sending.
struct Heard {
    key: usize,
    sending: String,
    answer: Answer,
}

fn act(deed: Deed, seen: &Seen, runs: &Runs) -> Vec<Act> {
    if deed == Deed::Decline {
        let head = "HTTP/1.1 503 X\r\nx-not-run: true\r\ncontent-length: 0\r\n";
        return vec![Act::Send(format!(
            "{head}x-request-id: {}\r\n\r\n",
            seen.id()
        ))];
    }
    let key = seen.header("idempotency-key").to_owned();
    let text = format!("run {} of {key}", runs.borrow().len());
    let sending = seen.header("x-sending").to_owned();
    runs.borrow_mut().push(Run { key, sending });
    let Act::Send(whole) = plain(seen, 200, &text).remove(0) else {
        unreachable!()
    };
    let pause = Act::Wait(Duration::from_millis(5));
    match deed {
        Deed::Answer | Deed::Decline => vec![pause, Act::Send(whole)],
        Deed::Break => vec![pause, Act::Close],
        Deed::Shorten => vec![
            pause,
            Act::Send(whole[..whole.len() - 3].to_owned()),
            Act::Close,
        ],
        Deed::Hang => vec![Act::Hang],
        Deed::Cross => {
            let other = Seen {
                head: seen.head.replace(seen.id(), "other"),
                ..seen.clone()
            };
            plain(&other, 200, "another's")
        }
    }
}

async fn play(deeds: Vec<Deed>, sendings: Vec<Sending>) -> Result<(), TestCaseError> {
    let runs = Runs::default();
    let (noted, turn) = (runs.clone(), RefCell::new(deeds.into_iter().cycle()));
    let service = Backend::start(move |seen| {
        let deed = turn.borrow_mut().next().unwrap_or(Deed::Answer);
        act(deed, seen, &noted)
    })
    .await;
    let settings = RouterSettings {
        once_timeout: Duration::from_millis(100),
        ..RouterSettings::default()
    };
    let claims = FakeClaims::default();
    let (backends, mut fleets) = ([service.address], Vec::new());
    for _ in 0..2 {
        let fleet = Fleet::with_claims(&backends, settings.clone(), claims.clone());
        fleets.push(fleet.await);
    }
    let callers = sendings.iter().enumerate();
    let answers = join_all(callers.map(|(n, s)| send(&fleets[s.router], s, n))).await;
    let mut heard: Vec<Heard> = answers.into_iter().flatten().collect();
    compio::time::sleep(Duration::from_millis(150)).await;
    for key in 0..3 {
        let sending = Sending {
            key,
            router: 0,
            delay: 0,
            patience: None,
        };
        heard.extend(send(&fleets[0], &sending, heard.len() + 100).await);
    }
    check(&heard, &runs.borrow())
}

async fn send(fleet: &Fleet, sending: &Sending, number: usize) -> Option<Heard> {
    compio::time::sleep(Duration::from_millis(sending.delay)).await;
    let (key, number) = (format!("k{}", sending.key), number.to_string());
    let fields = [
        ("authorization", "Bearer key-1"),
        ("idempotency-key", key.as_str()),
        ("x-sending", number.as_str()),
    ];
    let asking = fleet.send("POST", "/services/caseapp/refund", &fields, "body");
    let limit = Duration::from_millis(sending.patience.unwrap_or(60_000));
    let answer = compio::time::timeout(limit, asking).await.ok()?;
    Some(Heard {
        key: sending.key,
        sending: number,
        answer,
    })
}

/// Holds every answer against the runs.
fn check(heard: &[Heard], runs: &[Run]) -> Result<(), TestCaseError> {
    for key in 0..3 {
        let name = format!("k{key}");
        let count = runs.iter().filter(|r| r.key == name).count();
        prop_assert!(count <= 1, "{name} ran {count} times");
        let own = heard.iter().filter(|h| h.key == key);
        let results = own.filter(|h| h.answer.run == "ran");
        let mut bodies: Vec<&str> = results.map(|h| h.answer.body.as_str()).collect();
        bodies.dedup();
        prop_assert!(bodies.len() <= 1, "{name} has answers {bodies:?}");
        for body in bodies {
            prop_assert!(body.ends_with(&format!(" of {name}")), "{name} got {body}");
            prop_assert_eq!(count, 1);
        }
    }
    for Heard {
        sending, answer, ..
    } in heard
    {
        let has_run = runs.iter().any(|r| r.sending == *sending);
        let word = answer.run.as_str();
        prop_assert!(!(word == "not-run" && has_run), "{answer:?} is untrue");
        prop_assert!(
            word != "ran" || answer.recorded || has_run,
            "{answer:?} is untrue"
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(seeded_config(24))]
    #[test]
    fn keyed_call_runs_at_most_once_and_has_one_answer(
        deeds in vec(deed(), 1..6),
        sendings in vec(sending(), 1..14),
    ) {
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(play(deeds, sendings))?;
    }
}
