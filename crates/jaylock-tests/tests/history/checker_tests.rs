use std::time::Duration;

use googletest::prelude::*;
use jaylock_standin::{Account, Attempt, AttemptEnd, Errand, Outcome, RunClaim, RunNote, digest};
use jaylock_tests::cases;

use crate::checker::History;

fn call(run: RunClaim, outcome: Outcome) -> Account {
    let end = match outcome {
        Outcome::Served => AttemptEnd::Whole,
        _ => AttemptEnd::Refused {
            text: String::new(),
            retry_after: None,
        },
    };
    Account {
        errand: Errand::Call {
            service: "caseapp".into(),
            path: "/refunds/1".into(),
            body: "refund".into(),
            key: "1".into(),
        },
        attempts: vec![Attempt {
            address: "127.0.0.1:1".parse().expect("an address"),
            status: Some(200),
            run,
            request: String::new(),
            end,
        }],
        outcome,
        took: Duration::ZERO,
    }
}

fn run() -> RunNote {
    RunNote {
        service: "caseapp-1".into(),
        method: "POST".into(),
        path: "/refunds/1".into(),
        request: "a".into(),
        key: "1".into(),
        organisation: "adala".into(),
        digest: digest(b"refund"),
    }
}

fn violations(account: Account, calls: Vec<RunNote>) -> Vec<String> {
    let history = History {
        accounts: vec![("adala", account)],
        calls,
        chats: Vec::new(),
    };
    history.violations()
}

cases! {
    accepts_a_consistent_history => {
        let served = call(RunClaim::Ran, Outcome::Served);
        expect_that!(violations(served, vec![run()]), is_empty());
        let refused = call(RunClaim::NotRun, Outcome::Refused);
        expect_that!(violations(refused, vec![]), is_empty());
        let unknown = call(RunClaim::Unknown, Outcome::Unknown);
        expect_that!(violations(unknown, vec![run()]), is_empty());
    };
    reports_a_second_run => {
        let served = call(RunClaim::Ran, Outcome::Served);
        let found = violations(served, vec![run(), run()]);
        expect_that!(found, elements_are![contains_substring("more than once")]);
    };
    reports_a_run_after_a_not_run_refusal => {
        let refused = call(RunClaim::NotRun, Outcome::Refused);
        let found = violations(refused, vec![run()]);
        expect_that!(found, elements_are![contains_substring("but it ran")]);
    };
    reports_a_response_without_a_run => {
        let served = call(RunClaim::Ran, Outcome::Served);
        let found = violations(served, vec![]);
        expect_that!(found, elements_are![contains_substring("without a run")]);
    };
    reports_wrong_and_aborted_responses => {
        let wrong = call(RunClaim::Ran, Outcome::Wrong);
        let found = violations(wrong, vec![run()]);
        expect_that!(found, elements_are![contains_substring("not its own")]);
        let mut lost = call(RunClaim::Missing, Outcome::GaveUp);
        lost.attempts[0].end = AttemptEnd::Cut("silence".into());
        let found = violations(lost, vec![run()]);
        expect_that!(found, elements_are![contains_substring("without an explicit error")]);
    };
    reports_a_refusal_without_a_run_claim => {
        let refused = call(RunClaim::Missing, Outcome::Refused);
        let found = violations(refused, vec![]);
        expect_that!(found, elements_are![contains_substring("does not say")]);
    };
}
