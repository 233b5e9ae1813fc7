use googletest::prelude::*;
use jaylock_standin::{ChatRequest, Fault, GeneratedText, Message};
use jaylock_tests::{cases, seeded_config};
use proptest::prelude::*;

cases! {
    answer_depends_only_on_the_prompt => {
        proptest!(seeded_config(64), |(prompt in "[a-z ]{0,40}", max in 1..20_u32)| {
            let prompt = format!("{prompt} len=12");
            let answer = GeneratedText::from_prompt(&prompt, Some(max));
            prop_assert_eq!(&answer, &GeneratedText::from_prompt(&prompt, Some(max)));
            prop_assert_eq!(answer.length(), max.min(12));
            let whole = GeneratedText::from_prompt(&prompt, None).text();
            prop_assert!(whole.starts_with(&answer.text()));
            prop_assert_ne!(whole, GeneratedText::from_prompt(&format!("{prompt} x"), None).text());
        });
    };
    reads_the_fault_from_the_prompt => {
        assert_that!(Fault::from_text("please crash"), some(eq(Fault::Crash)));
        assert_that!(Fault::from_text("len=9 break=3"), some(eq(Fault::Disconnect(3))));
        assert_that!(Fault::from_text("a crashing noise breaks=3"), none());
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
        assert_that!(one.prefix_hashes().len(), eq(3));
        assert_that!(one.prefix_hashes()[..2], eq(&other.prefix_hashes()[..2]));
        assert_that!(one.prefix_hashes()[2], not(eq(other.prefix_hashes()[2])));
    };
}
