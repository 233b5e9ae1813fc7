use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_types::RequestId;

use crate::fixtures::observer;

cases! {
    returns_the_steps_of_a_request_in_order => {
        let observer = observer("a", 1);
        let (one, other) = (RequestId::random(), RequestId::random());
        observer.record_step(&one, "admitted");
        observer.record_step(&other, "refused");
        observer.record_step(&one, "granted");
        let texts: Vec<String> = observer.trace(&one).into_iter().map(|s| s.text).collect();
        assert_that!(texts, elements_are![eq("admitted"), eq("granted")]);
    };
    drops_the_oldest_requests_and_the_middle_steps => {
        let observer = observer("a", 1);
        let first = RequestId::random();
        for number in 0..100 {
            observer.record_step(&first, format!("step {number}"));
        }
        let steps = observer.trace(&first);
        assert_that!(steps.len(), eq(24));
        assert_that!(steps[0].text, eq("step 0"));
        assert_that!(steps[23].text, eq("step 99"));
        for _ in 0..1024 {
            observer.record_step(&RequestId::random(), "admitted");
        }
        assert_that!(observer.trace(&first), is_empty());
    };
}
