//! The tests of every part, and the macro that names their cases.

/// Names test cases: each becomes a test function of its own.
///
/// A synchronous case is `name => block;`, an asynchronous one `async name => block;` and runs on
/// a compio runtime of its own.
#[macro_export]
macro_rules! cases {
    () => {};
    (async $name:ident => $body:block; $($rest:tt)*) => {
        #[test]
        fn $name() {
            compio::runtime::Runtime::new().expect("a runtime").block_on(async $body);
        }
        $crate::cases!($($rest)*);
    };
    ($name:ident => $body:block; $($rest:tt)*) => {
        #[test]
        fn $name() $body
        $crate::cases!($($rest)*);
    };
}
