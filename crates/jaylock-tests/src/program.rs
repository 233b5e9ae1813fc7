use std::env;
use std::path::PathBuf;

/// Path of one of the project's programs, built beside the running test.
///
/// # Panics
/// When it has not been built.
#[must_use]
pub fn program_path(name: &str) -> PathBuf {
    let test = env::current_exe().expect("the test's own path");
    let folder = test.ancestors().nth(2).expect("the build folder");
    let path = folder.join(name);
    assert!(
        path.exists(),
        "{} is missing: run cargo build --workspace --bins",
        path.display()
    );
    path
}
