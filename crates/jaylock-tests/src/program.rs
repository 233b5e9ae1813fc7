use std::env;
use std::path::PathBuf;

/// Returns the path of one of the workspace's programs, in the build folder of the running test.
///
/// # Panics
/// When the program has not been built.
#[must_use]
pub fn program_path(name: &str) -> PathBuf {
    let test = env::current_exe().expect("the path of the test");
    let folder = test.ancestors().nth(2).expect("the build folder");
    let path = folder.join(name);
    assert!(
        path.exists(),
        "{} is missing: run cargo build --workspace --bins",
        path.display()
    );
    path
}
