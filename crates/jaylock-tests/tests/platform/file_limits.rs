//! Limits that the kernel sets on the size of the files of a process.

use googletest::prelude::*;
use jaylock_tests::cases;

use crate::harness::{TestFleet, document, wait_until};

/// Size that the log of a replica exceeds after some changes, in bytes.
const SMALL_FILE: u64 = 32 << 10;
/// Instances with disks.
const CONTROL_COUNT: usize = 3;

/// Submits documents of ascending versions.
struct Editor {
    version: u64,
}

impl Editor {
    fn new(fleet: &TestFleet) -> Self {
        fleet.configure(&document(1));
        Self { version: 1 }
    }

    /// Submits the next document; returns whether it was acknowledged.
    fn submit(&mut self, fleet: &TestFleet, at: usize) -> bool {
        self.version += 1;
        fleet.put_document(at, &document(self.version)) == 200
    }

    /// Submits documents until one is not acknowledged.
    fn submit_until_refused(&mut self, fleet: &TestFleet, at: usize) {
        wait_until("a change is refused", || !self.submit(fleet, at));
    }

    /// Submits documents until one is acknowledged, and checks that each instance returns it.
    fn submit_until_confirmed(&mut self, fleet: &TestFleet, at: usize) {
        wait_until("a change is acknowledged", || self.submit(fleet, at));
        self.expect_newest(fleet);
    }

    fn expect_newest(&self, fleet: &TestFleet) {
        let newest = document(self.version).to_string();
        for at in 0..fleet.control_count() {
            wait_until("the document is read back", || {
                fleet
                    .read_document(at)
                    .is_some_and(|a| a.status == 200 && a.body == newest)
            });
        }
    }
}

cases! {
    // Guards against an end by SIGXFSZ at an append beyond a limit that is set on the running process.
    file_size_limit_on_a_running_instance_fails_its_changes_and_does_not_end_it => {
        let mut fleet = TestFleet::start(1, 1);
        let mut editor = Editor::new(&fleet);
        fleet.process(0).limit_files(Some(SMALL_FILE));
        editor.submit_until_refused(&fleet, 0);
        assert_that!(fleet.process(0).has_ended(), eq(false));
        fleet.process(0).limit_files(None);
        editor.submit_until_confirmed(&fleet, 0);
    };
    // Guards against three ends by SIGXFSZ, after which no group is left to confirm a change.
    file_size_limits_in_turn_lose_no_change_and_end_no_instance => {
        let mut fleet = TestFleet::start(CONTROL_COUNT, 1);
        let mut editor = Editor::new(&fleet);
        for at in 0..CONTROL_COUNT {
            fleet.process(at).limit_files(Some(0));
            editor.submit_until_confirmed(&fleet, (at + 1) % CONTROL_COUNT);
            assert_that!(fleet.process(at).has_ended(), eq(false));
            fleet.process(at).limit_files(None);
            editor.submit_until_confirmed(&fleet, at);
        }
        (0..CONTROL_COUNT).for_each(|at| fleet.kill(at));
        (0..CONTROL_COUNT).for_each(|at| fleet.start_instance(at, false));
        editor.expect_newest(&fleet);
    };
    // Guards against an end at each start while the limit is below the size of the log.
    starts_again_with_a_log_beyond_the_file_size_limit => {
        let mut fleet = TestFleet::start(1, 1);
        let mut editor = Editor::new(&fleet);
        for _ in 0..20 {
            assert_that!(editor.submit(&fleet, 0), eq(true));
        }
        fleet.kill(0);
        fleet.start_limited(0, false, 1);
        wait_until("the instance answers", || fleet.read_document(0).is_some());
        editor.submit_until_refused(&fleet, 0);
        assert_that!(fleet.process(0).has_ended(), eq(false));
        fleet.process(0).limit_files(None);
        editor.submit_until_confirmed(&fleet, 0);
    };
    // Guards against a first start that ends because nothing can be written yet.
    first_start_under_a_file_size_limit_serves_when_it_is_lifted => {
        let mut fleet = TestFleet::start(1, 0);
        fleet.configure(&document(1));
        fleet.kill(0);
        fleet.lose_disk(0);
        fleet.start_limited(0, true, 0);
        wait_until("the instance answers", || fleet.read_document(0).is_some());
        assert_that!(fleet.put_document(0, &document(1)), eq(503));
        fleet.process(0).limit_files(None);
        Editor::new(&fleet).submit_until_confirmed(&fleet, 0);
    };
}
