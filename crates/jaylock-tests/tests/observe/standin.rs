use googletest::prelude::*;
use jaylock_standin::{Answer, ChatRequest, Fault, Message};
use jaylock_tests::{cases, seeded_config};
use proptest::prelude::*;

cases! {
    answer_depends_only_on_the_prompt => {
        proptest!(seeded_config(64), |(prompt in "[a-z ]{0,40}", most in 1..20_u32)| {
            let prompt = format!("{prompt} len=12");
            let answer = Answer::of(&prompt, Some(most));
            prop_assert_eq!(&answer, &Answer::of(&prompt, Some(most)));
            prop_assert_eq!(answer.length(), most.min(12));
            let whole = Answer::of(&prompt, None).text();
            prop_assert!(whole.starts_with(&answer.text()));
            prop_assert_ne!(whole, Answer::of(&format!("{prompt} x"), None).text());
        });
    };
    reads_the_fault_from_the_prompt => {
        assert_that!(Fault::of("please crash"), some(eq(Fault::Crash)));
        assert_that!(Fault::of("len=9 break=3"), some(eq(Fault::Break(3))));
        assert_that!(Fault::of("a crashing noise breaks=3"), none());
    };
    prompts_with_a_common_prefix_share_its_hashes => {
        let request = |end: &str| ChatRequest {
            messages: vec![Message {
                role: "user".into(),
                content: "x".repeat(600) + end,
            }],
            ..ChatRequest::default()
        };
        let (one, other) = (request(&"a".repeat(300)), request(&"b".repeat(300)));
        assert_that!(one.prefixes().len(), eq(3));
        assert_that!(one.prefixes()[..2], eq(&other.prefixes()[..2]));
        assert_that!(one.prefixes()[2], not(eq(other.prefixes()[2])));
    };
}
