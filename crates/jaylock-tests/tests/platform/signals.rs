//! Signals whose default action ends or stops a process.

use googletest::prelude::*;
use jaylock_tests::cases;
use rustix::process::Signal;

use crate::harness::{FakeBackend, TestFleet, document, wait_until};

/// Signals that request nothing of an instance.
const UNUSED: [Signal; 15] = [
    Signal::USR1,
    Signal::USR2,
    Signal::ALARM,
    Signal::VTALARM,
    Signal::PROF,
    Signal::XCPU,
    Signal::XFSZ,
    Signal::PIPE,
    Signal::IO,
    Signal::POWER,
    Signal::STKFLT,
    Signal::TTIN,
    Signal::TTOU,
    Signal::URG,
    Signal::WINCH,
];
/// Series of reloads, and reloads that a series requests without a pause.
const SERIES: u64 = 100;
const SERIES_LENGTH: u64 = 200;

cases! {
    // Guards against an end by a signal that means nothing to an instance, as by SIGUSR1 or SIGXCPU.
    signals_without_a_meaning_neither_end_nor_stop_an_instance => {
        let mut fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        for signal in UNUSED {
            for at in 0..2 {
                fleet.process(at).send(signal);
            }
            assert_that!(fleet.put_document(0, &document(2)), eq(200), "{signal:?}");
            assert_that!(fleet.caller().send().status(), eq(200), "{signal:?}");
        }
        (0..2).for_each(|at| assert_that!(fleet.process(at).has_ended(), eq(false)));
    };
    // Guards against an end by a reload that is requested while the instance starts.
    hangup_during_the_start_reloads_the_settings => {
        let mut fleet = TestFleet::start(1, 0);
        fleet.configure(&document(1));
        fleet.kill(0);
        let start = fleet.start_stalled(0);
        fleet.process(0).reload();
        start.finish();
        wait_until("the settings are reloaded", || fleet.log(0).contains("settings reloaded"));
        wait_until("a change is acknowledged", || fleet.put_document(0, &document(2)) == 200);
    };
    // Guards against an end by the signal itself, which a service manager takes for a failure.
    async shutdown_requested_during_the_start_ends_it_with_success => {
        let mut fleet = TestFleet::start(1, 0);
        fleet.configure(&document(1));
        fleet.kill(0);
        let start = fleet.start_stalled(0);
        let process = fleet.take_process(0);
        process.request_shutdown();
        start.finish();
        let status = process.terminate(fleet.stop_time()).await;
        assert_that!(status.success(), eq(true));
    };
    // Guards against an end by a signal that arrives while the one before it is being handled.
    instance_serves_under_series_of_hangups => {
        let mut fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        for version in 2..SERIES + 2 {
            for at in 0..2 {
                (0..SERIES_LENGTH).for_each(|_| fleet.process(at).reload());
            }
            assert_that!(fleet.put_document(0, &document(version)), eq(200));
            assert_that!(fleet.caller().send().status(), eq(200));
        }
        (0..2).for_each(|at| assert_that!(fleet.process(at).has_ended(), eq(false)));
    };
}
