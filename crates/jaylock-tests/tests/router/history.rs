//! Property test of concurrent callers with two routers and a service with all kinds of faults.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use jaylock_router::RouterSettings;
use jaylock_tests::seeded_config;
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, TestCaseError};
use proptest::prelude::{prop_assert, prop_assert_eq, prop_oneof, proptest};

use crate::backend::{Backend, Received, Step, plain_response};
use crate::fakes::FakeCommandLog;
use crate::harness::{CallerResponse, TestRouter};

/// Behaviour of the service for one call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    Respond,
    Decline,
    Disconnect,
    Truncate,
    Stall,
    Mismatch,
    /// Writes a refusal that names no call once more on a kept connection, before the response.
    RepeatRefusal,
    /// Writes a response that names no call once more on a kept connection, before the response.
    RepeatResponse,
}

/// One call, which may be a retry with the same key.
#[derive(Debug, Clone)]
struct Call {
    key: usize,
    router: usize,
    /// Time before the call is sent, in ms.
    delay: u64,
    /// Time after which the caller disconnects, in ms.
    timeout: Option<u64>,
}

fn behaviour() -> impl Strategy<Value = Behaviour> {
    prop_oneof![
        3 => Just(Behaviour::Respond),
        1 => Just(Behaviour::Decline),
        1 => Just(Behaviour::Disconnect),
        1 => Just(Behaviour::Truncate),
        1 => Just(Behaviour::Stall),
        1 => Just(Behaviour::Mismatch),
        1 => Just(Behaviour::RepeatRefusal),
        1 => Just(Behaviour::RepeatResponse),
    ]
}

fn call() -> impl Strategy<Value = Call> {
    let timeout = proptest::option::weighted(0.2, 1..60_u64);
    (0..3_usize, 0..2_usize, 0..60_u64, timeout).prop_map(|(key, router, delay, timeout)| Call {
        key,
        router,
        delay,
        timeout,
    })
}

/// A run that the service recorded.
#[derive(Debug, Clone)]
struct Run {
    key: String,
    call: String,
}

type Runs = Rc<RefCell<Vec<Run>>>;

/// A response with the key and the number of its call.
struct KeyedResponse {
    key: usize,
    call: String,
    response: CallerResponse,
}

fn steps(behaviour: Behaviour, received: &Received, is_kept: bool, runs: &Runs) -> Vec<Step> {
    if behaviour == Behaviour::Decline {
        let head = "HTTP/1.1 503 X\r\nx-not-run: true\r\ncontent-length: 0\r\n";
        return vec![Step::Send(format!(
            "{head}x-request-id: {}\r\n\r\n",
            received.id()
        ))];
    }
    let key = received.header("idempotency-key").to_owned();
    let text = format!("run {} of {key}", runs.borrow().len());
    let call = received.header("x-call").to_owned();
    runs.borrow_mut().push(Run { key, call });
    let Step::Send(complete) = plain_response(received, 200, &text).remove(0) else {
        unreachable!()
    };
    let pause = Step::Wait(Duration::from_millis(5));
    match behaviour {
        Behaviour::RepeatRefusal if is_kept => {
            let refusal = "HTTP/1.1 503 X\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n";
            vec![Step::Send(refusal.to_owned()), pause, Step::Send(complete)]
        }
        Behaviour::RepeatResponse if is_kept => {
            let earlier = "HTTP/1.1 200 X\r\ncontent-length: 7\r\n\r\nearlier";
            vec![Step::Send(earlier.to_owned()), pause, Step::Send(complete)]
        }
        Behaviour::Respond
        | Behaviour::Decline
        | Behaviour::RepeatRefusal
        | Behaviour::RepeatResponse => vec![pause, Step::Send(complete)],
        Behaviour::Disconnect => vec![pause, Step::Close],
        Behaviour::Truncate => vec![
            pause,
            Step::Send(complete[..complete.len() - 3].to_owned()),
            Step::Close,
        ],
        Behaviour::Stall => vec![Step::AwaitDisconnect],
        Behaviour::Mismatch => {
            let other = Received {
                head: received.head.replace(received.id(), "other"),
                ..received.clone()
            };
            plain_response(&other, 200, "another's")
        }
    }
}

async fn run(behaviours: Vec<Behaviour>, calls: Vec<Call>) -> Result<(), TestCaseError> {
    let runs = Runs::default();
    let (service_runs, cycle) = (runs.clone(), RefCell::new(behaviours.into_iter().cycle()));
    let used = RefCell::new(Vec::new());
    let service = Backend::start(move |received| {
        let behaviour = cycle.borrow_mut().next().unwrap_or(Behaviour::Respond);
        let is_kept = used.borrow().contains(&received.connection);
        used.borrow_mut().push(received.connection);
        steps(behaviour, received, is_kept, &service_runs)
    })
    .await;
    let settings = RouterSettings {
        once_timeout: Duration::from_millis(100),
        ..RouterSettings::default()
    };
    let command_log = FakeCommandLog::default();
    let (backends, mut routers) = ([service.address], Vec::new());
    for _ in 0..2 {
        let router = TestRouter::with_command_log(&backends, settings.clone(), command_log.clone());
        routers.push(router.await);
    }
    let callers = calls.iter().enumerate();
    let outcomes = join_all(callers.map(|(n, call)| send(&routers[call.router], call, n))).await;
    let mut responses: Vec<KeyedResponse> = outcomes.into_iter().flatten().collect();
    compio::time::sleep(Duration::from_millis(150)).await;
    for key in 0..3 {
        let call = Call {
            key,
            router: 0,
            delay: 0,
            timeout: None,
        };
        responses.extend(send(&routers[0], &call, responses.len() + 100).await);
    }
    check(&responses, &runs.borrow())
}

async fn send(router: &TestRouter, call: &Call, number: usize) -> Option<KeyedResponse> {
    compio::time::sleep(Duration::from_millis(call.delay)).await;
    let (key, number) = (format!("k{}", call.key), number.to_string());
    let headers = [
        ("authorization", "Bearer key-1"),
        ("idempotency-key", key.as_str()),
        ("x-call", number.as_str()),
    ];
    let sending = router.send("POST", "/services/caseapp/refund", &headers, "body");
    let timeout = Duration::from_millis(call.timeout.unwrap_or(60_000));
    let response = compio::time::timeout(timeout, sending).await.ok()?;
    Some(KeyedResponse {
        key: call.key,
        call: number,
        response,
    })
}

/// Checks every response against the recorded runs.
fn check(responses: &[KeyedResponse], runs: &[Run]) -> Result<(), TestCaseError> {
    for key in 0..3 {
        let name = format!("k{key}");
        let count = runs.iter().filter(|r| r.key == name).count();
        prop_assert!(count <= 1, "{name} ran {count} times");
        let own = responses.iter().filter(|r| r.key == key);
        let results = own.filter(|r| r.response.run == "ran");
        let mut bodies: Vec<&str> = results.map(|r| r.response.body.as_str()).collect();
        bodies.dedup();
        prop_assert!(bodies.len() <= 1, "{name} has responses {bodies:?}");
        for body in bodies {
            prop_assert!(body.ends_with(&format!(" of {name}")), "{name} got {body}");
            prop_assert_eq!(count, 1);
        }
    }
    for KeyedResponse { call, response, .. } in responses {
        let has_run = runs.iter().any(|r| r.call == *call);
        let run_status = response.run.as_str();
        prop_assert!(
            !(run_status == "not-run" && has_run),
            "{response:?} has a wrong run status"
        );
        prop_assert!(
            run_status != "ran" || response.is_recorded || has_run,
            "{response:?} has a wrong run status"
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(seeded_config(24))]
    #[test]
    fn call_with_a_key_runs_at_most_once_and_has_one_response(
        behaviours in vec(behaviour(), 1..6),
        calls in vec(call(), 1..14),
    ) {
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(run(behaviours, calls))?;
    }
}
