use std::time::Duration;

use googletest::prelude::*;
use jaylock_standin::{
    Attempt, AttemptResult, CallerRequest, Outcome, RequestResult, RunRecord, RunStatus, sha256_hex,
};
use jaylock_tests::cases;

use crate::checker::History;

fn call(run: RunStatus, outcome: Outcome) -> RequestResult {
    let result = match outcome {
        Outcome::Served => AttemptResult::Complete,
        _ => AttemptResult::Refused {
            text: String::new(),
            retry_after: None,
        },
    };
    RequestResult {
        request: CallerRequest::Call {
            service: "caseapp".into(),
            path: "/refunds/1".into(),
            body: "refund".into(),
            key: "1".into(),
        },
        attempts: vec![Attempt {
            address: "127.0.0.1:1".parse().expect("an address"),
            status: Some(200),
            run,
            request_id: String::new(),
            result,
        }],
        outcome,
        total_time: Duration::ZERO,
    }
}

fn run() -> RunRecord {
    RunRecord {
        service: "caseapp-1".into(),
        method: "POST".into(),
        path: "/refunds/1".into(),
        request: "a".into(),
        key: "1".into(),
        organisation: "adala".into(),
        digest: sha256_hex(b"refund"),
    }
}

fn violations(result: RequestResult, calls: Vec<RunRecord>) -> Vec<String> {
    let history = History {
        results: vec![("adala", result)],
        calls,
        chats: Vec::new(),
    };
    history.violations()
}

cases! {
    accepts_a_consistent_history => {
        let served = call(RunStatus::Ran, Outcome::Served);
        expect_that!(violations(served, vec![run()]), is_empty());
        let refused = call(RunStatus::NotRun, Outcome::Refused);
        expect_that!(violations(refused, vec![]), is_empty());
        let unknown = call(RunStatus::Unknown, Outcome::Unknown);
        expect_that!(violations(unknown, vec![run()]), is_empty());
    };
    reports_a_second_run => {
        let served = call(RunStatus::Ran, Outcome::Served);
        let found = violations(served, vec![run(), run()]);
        expect_that!(found, elements_are![contains_substring("more than once")]);
    };
    reports_a_run_after_a_not_run_refusal => {
        let refused = call(RunStatus::NotRun, Outcome::Refused);
        let found = violations(refused, vec![run()]);
        expect_that!(found, elements_are![contains_substring("but the request ran")]);
    };
    reports_a_response_without_a_run => {
        let served = call(RunStatus::Ran, Outcome::Served);
        let found = violations(served, vec![]);
        expect_that!(found, elements_are![contains_substring("without a run")]);
    };
    reports_wrong_and_interrupted_responses => {
        let wrong = call(RunStatus::Ran, Outcome::Wrong);
        let found = violations(wrong, vec![run()]);
        expect_that!(found, elements_are![contains_substring("not the expected one")]);
        let mut lost = call(RunStatus::Missing, Outcome::GaveUp);
        lost.attempts[0].result = AttemptResult::Interrupted("silence".into());
        let found = violations(lost, vec![run()]);
        expect_that!(found, elements_are![contains_substring("without an explicit error")]);
    };
    reports_a_refusal_without_a_run_status => {
        let refused = call(RunStatus::Missing, Outcome::Refused);
        let found = violations(refused, vec![]);
        expect_that!(found, elements_are![contains_substring("has no run status")]);
    };
}
