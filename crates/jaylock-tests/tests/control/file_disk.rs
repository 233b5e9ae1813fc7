//! The files of a replica, on a machine that refuses what they need.

use compio::driver::ProactorBuilder;
use compio::runtime::{Runtime, RuntimeBuilder};
use googletest::prelude::*;
use jaylock_control::{Disk, FileDisk, FileName};
use jaylock_tests::cases;

/// A runtime that can't start the thread which a disk operation needs.
fn runtime_without_threads() -> Runtime {
    let mut driver = ProactorBuilder::new();
    driver.thread_pool_limit(0);
    let runtime = RuntimeBuilder::new().with_proactor(driver).build();
    runtime.expect("a runtime")
}

cases! {
    // Guards against a writer that ends by a panic, after which no change is ever acknowledged while the process runs.
    operation_without_a_thread_fails_and_succeeds_later => {
        let folder = tempfile::tempdir().expect("a folder");
        let runtime = Runtime::new().expect("a runtime");
        let disk = runtime.block_on(FileDisk::open(folder.path())).expect("a data folder");
        let append = || disk.append(FileName::Log, b"entry".to_vec());
        runtime.block_on(append()).expect("an append");
        runtime_without_threads().block_on(async {
            expect_that!(append().await, err(anything()));
            expect_that!(disk.replace(FileName::Vote, b"vote".to_vec()).await, err(anything()));
            expect_that!(disk.truncate(FileName::Log, 0).await, err(anything()));
            expect_that!(disk.read(FileName::Log).await, err(anything()));
            expect_that!(disk.read_at(FileName::Log, 0, 1).await, err(anything()));
        });
        runtime.block_on(append()).expect("an append");
        let content = runtime.block_on(disk.read(FileName::Log)).expect("a log");
        assert_that!(content, some(eq(b"entryentry")));
    };
}
