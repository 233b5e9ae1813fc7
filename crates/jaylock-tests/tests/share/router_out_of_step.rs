//! Tests of routers that are cut off or stand still while backend servers of new software versions join.

mod cut_pool;

use std::time::Duration;

use googletest::prelude::*;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::refusal::Reason;
use jaylock_rpc::v1::{Ask, Grant};
use jaylock_tests::cases;

use self::cut_pool::CutPool;
use crate::stream_origins::{STREAM_COUNT, begin, report, take_up, take_up_unnamed};

/// Time after which a router without a scheduler grants its own slots, and longer.
const ALONE: Duration = Duration::from_secs(1);
/// Time in which a message arrives.
const MESSAGE_TIME: Duration = Duration::from_millis(200);
/// Slots of each backend server.
const SLOTS: usize = 64;
/// Time for which a router stands still.
const PAUSE: Duration = Duration::from_secs(3);
/// Time for which callers take streams up, and longer.
const RETENTION: Duration = Duration::from_secs(62);
/// The router that gets out of step.
const CUT: usize = 0;
/// A router that is in touch all the time.
const OTHER: usize = 1;

/// Version at which a request runs, or why it is refused; `None` while it waits.
type Outcomes = Option<std::result::Result<String, Reason>>;

fn version(result: Option<std::result::Result<Grant, Reason>>) -> Outcomes {
    result.map(|granted| granted.map(|grant| grant.software))
}

/// A pool whose scheduler granted a stream a slot of v2, which its router did not learn, so that it runs at v1.
fn pool_with_a_lost_grant() -> (CutPool, Grant) {
    let mut pool = CutPool::new();
    pool.start(OTHER, report("b0", "v1"));
    pool.start(OTHER, report("b1", "v2"));
    pool.wait(ALONE);
    let mut fillers = Vec::new();
    for n in 0..SLOTS {
        let avoid = vec!["b1".into()];
        let request = begin(&format!("filler-{n}"));
        let filler = pool.ask(OTHER, Ask { avoid, ..request });
        fillers.push(filler.expect("a reply").expect("a grant"));
    }
    let waiting = pool.send(CUT, begin("stream"));
    pool.pause(CUT);
    pool.wait(MESSAGE_TIME);
    pool.cut(CUT);
    pool.resume(CUT);
    pool.wait(ALONE);
    for filler in &fillers[..2] {
        pool.end(OTHER, filler, Outcome::Complete);
    }
    let begun = waiting.reply().expect("a reply").expect("a grant");
    assert_that!(begun.software, eq("v1"));
    (pool, begun)
}

cases! {
    stream_of_a_new_version_goes_on_at_the_only_version_that_a_cut_router_knows => {
        let mut pool = CutPool::new();
        pool.start(OTHER, report("b0", "v1"));
        pool.wait(ALONE);
        pool.cut(CUT);
        pool.start(OTHER, report("b1", "v2"));
        pool.wait(ALONE);
        for n in 0..STREAM_COUNT {
            let request = format!("stream-{n}");
            let avoid = vec!["b0".into()];
            let begun = pool.ask(OTHER, Ask { avoid, ..begin(&request) });
            assert_that!(version(begun), some(ok(eq("v2"))));
            let resumed = pool.ask(CUT, take_up(&request));
            assert_that!(version(resumed), some(err(eq(&Reason::UnknownStream))));
        }
        pool.reconnect(CUT);
        for n in 0..STREAM_COUNT {
            let resumed = pool.ask(CUT, take_up(&format!("stream-{n}")));
            assert_that!(version(resumed), some(ok(eq("v2"))));
        }
    };
    cut_router_takes_servers_that_named_no_version_for_all_servers => {
        let mut pool = CutPool::new();
        pool.start(OTHER, report("b0", ""));
        pool.wait(ALONE);
        pool.cut(CUT);
        pool.start(OTHER, report("b1", "v2"));
        pool.wait(ALONE);
        let avoid = vec!["b0".into()];
        let begun = pool.ask(OTHER, Ask { avoid, ..begin("stream") });
        assert_that!(version(begun), some(ok(eq("v2"))));
        for request in [take_up("stream"), take_up_unnamed()] {
            assert_that!(version(pool.ask(CUT, request)), some(err(eq(&Reason::UnknownStream))));
        }
    };
    router_keeps_the_version_of_an_earlier_start_for_the_time_without_a_scheduler => {
        let mut pool = CutPool::new();
        pool.start(OTHER, report("b0", "v1"));
        pool.wait(ALONE);
        pool.restart(OTHER, report("b0", "v2"));
        pool.wait(ALONE);
        pool.cut(CUT);
        pool.wait(ALONE);
        assert_that!(version(pool.ask(CUT, begin("stream"))), some(ok(eq("v2"))));
    };
    router_that_attaches_again_at_once_never_learns_its_own_slots => {
        let mut pool = CutPool::new();
        pool.start(OTHER, report("b0", "v1"));
        pool.lose_frames(CUT);
        pool.wait(ALONE);
        pool.cut(CUT);
        pool.wait(ALONE);
        assert_that!(version(pool.ask(CUT, begin("stream"))), some(ok(eq("v1"))));
    };
    cut_router_continues_a_stream_at_a_newer_start_that_announced_itself_to_it => {
        let mut pool = CutPool::new();
        pool.start(OTHER, report("b0", "v1"));
        pool.wait(ALONE);
        assert_that!(version(pool.ask(CUT, begin("stream"))), some(ok(eq("v1"))));
        pool.cut(CUT);
        pool.restart(CUT, report("b0", "v2"));
        pool.wait(ALONE);
        assert_that!(version(pool.ask(CUT, take_up("stream"))), some(err(eq(&Reason::NoBackend))));
        assert_that!(version(pool.ask(CUT, begin("new"))), none());
    };
    cut_router_continues_a_stream_at_the_address_of_a_server_that_crashed => {
        let mut pool = CutPool::new();
        pool.start(OTHER, report("b0", "v1"));
        pool.wait(ALONE);
        let begun = pool.ask(CUT, begin("stream")).expect("a reply").expect("a grant");
        pool.cut(CUT);
        pool.end(CUT, &begun, Outcome::Crashed);
        pool.restart(OTHER, report("b0", "v2"));
        pool.wait(ALONE);
        assert_that!(version(pool.ask(CUT, take_up("stream"))), some(err(eq(&Reason::NoBackend))));
    };
    cut_router_continues_a_stream_in_a_slot_of_an_earlier_start => {
        let mut pool = CutPool::new();
        pool.start(OTHER, report("b0", "v1"));
        pool.wait(ALONE);
        let begun = pool.ask(CUT, begin("stream")).expect("a reply").expect("a grant");
        pool.cut(CUT);
        pool.end(CUT, &begun, Outcome::Broken);
        pool.restart(CUT, report("b0", "v2"));
        pool.wait(ALONE);
        assert_that!(version(pool.ask(CUT, take_up("stream"))), some(err(eq(&Reason::NoBackend))));
    };
    late_heartbeat_hides_a_newer_start_from_a_new_scheduler => {
        let mut pool = CutPool::new();
        pool.start(OTHER, report("b0", "v1"));
        pool.wait(ALONE);
        assert_that!(version(pool.ask(CUT, begin("stream"))), some(ok(eq("v1"))));
        pool.restart(OTHER, report("b0", "v2"));
        pool.deliver_late(OTHER, report("b0", "v1"));
        pool.stop_heartbeats();
        pool.replace_scheduler(&[CUT, OTHER]);
        pool.wait(ALONE);
        assert_that!(version(pool.ask(CUT, take_up("stream"))), not(some(ok(anything()))));
        assert_that!(version(pool.ask(OTHER, begin("new"))), some(ok(eq("v2"))));
    };
    scheduler_forgets_the_earlier_version_of_a_name_at_which_a_cut_router_begins_streams => {
        let mut pool = CutPool::new();
        pool.start(OTHER, report("b0", "v1"));
        pool.wait(ALONE);
        pool.cut(CUT);
        pool.wait(ALONE);
        assert_that!(version(pool.ask(CUT, begin("stream"))), some(ok(eq("v1"))));
        pool.restart(OTHER, report("b0", "v2"));
        pool.wait(ALONE);
        for request in [take_up("stream"), take_up_unnamed()] {
            assert_that!(version(pool.ask(OTHER, request)), some(err(eq(&Reason::UnknownStream))));
        }
    };
    first_scheduler_refuses_the_streams_of_a_cut_router_although_only_one_version_ever_served => {
        let mut pool = CutPool::new();
        pool.start(OTHER, report("b0", "v1"));
        pool.start(OTHER, report("b1", "v1"));
        pool.wait(ALONE);
        pool.cut(CUT);
        pool.wait(ALONE);
        for n in 0..STREAM_COUNT {
            let request = format!("stream-{n}");
            assert_that!(version(pool.ask(CUT, begin(&request))), some(ok(eq("v1"))));
            assert_that!(version(pool.ask(OTHER, take_up(&request))), some(ok(eq("v1"))));
        }
    };
    new_scheduler_guesses_after_a_minute_where_a_router_that_never_reached_it_begins_streams => {
        let mut pool = CutPool::new();
        pool.start(CUT, report("b0", "v1"));
        pool.wait(ALONE);
        pool.cut(CUT);
        pool.replace_scheduler(&[OTHER]);
        pool.start(OTHER, report("b1", "v2"));
        pool.wait(RETENTION);
        assert_that!(version(pool.ask(CUT, begin("stream"))), some(ok(eq("v1"))));
        assert_that!(version(pool.ask(OTHER, take_up("stream"))), some(err(eq(&Reason::UnknownStream))));
    };
    new_scheduler_guesses_where_unnamed_streams_began_before_all_servers_have_reported => {
        let mut pool = CutPool::new();
        pool.start(OTHER, report("b0", "v1"));
        pool.start(CUT, report("b1", "v2"));
        pool.wait(ALONE);
        pool.cut(CUT);
        pool.replace_scheduler(&[OTHER]);
        pool.wait(ALONE);
        assert_that!(version(pool.ask(OTHER, take_up_unnamed())), some(err(eq(&Reason::UnknownStream))));
    };
    grant_that_was_lost_on_its_way_tells_where_a_stream_began => {
        let (mut pool, begun) = pool_with_a_lost_grant();
        pool.bring_event(CUT, &begun);
        assert_that!(version(pool.ask(OTHER, take_up("stream"))), some(err(eq(&Reason::UnknownStream))));
        pool.reconnect(CUT);
        assert_that!(version(pool.ask(OTHER, take_up("stream"))), some(ok(eq("v1"))));
    };
    scheduler_keeps_a_lost_grant_for_the_run_that_its_router_reports => {
        let (mut pool, begun) = pool_with_a_lost_grant();
        pool.reconnect(CUT);
        pool.end(CUT, &begun, Outcome::Broken);
        pool.wait(MESSAGE_TIME);
        assert_that!(version(pool.ask(OTHER, take_up("stream"))), some(ok(eq("v1"))));
    };
    grant_from_before_a_pause_of_the_router_is_used_after_it => {
        let mut pool = CutPool::new();
        pool.start(OTHER, report("b0", "v1"));
        pool.wait(ALONE);
        pool.pause(CUT);
        let waiting = pool.send(CUT, begin("stream"));
        pool.wait(ALONE);
        pool.restart(OTHER, report("b0", "v2"));
        pool.wait(PAUSE);
        pool.resume(CUT);
        pool.wait(ALONE);
        assert_that!(version(waiting.reply()), some(ok(eq("v2"))));
    };
    router_continues_streams_alone_at_the_versions_from_before_its_pause => {
        let mut pool = CutPool::new();
        pool.start(OTHER, report("b0", "v1"));
        pool.wait(ALONE);
        assert_that!(version(pool.ask(CUT, begin("stream"))), some(ok(eq("v1"))));
        pool.pause(CUT);
        pool.cut(CUT);
        pool.restart(OTHER, report("b0", "v2"));
        pool.wait(PAUSE);
        pool.resume(CUT);
        pool.wait(ALONE);
        assert_that!(version(pool.ask(CUT, take_up("stream"))), some(err(eq(&Reason::NoBackend))));
    };
    router_in_step_again_after_a_pause_refuses_the_streams_of_a_new_version => {
        let mut pool = CutPool::new();
        pool.start(OTHER, report("b0", "v1"));
        pool.wait(ALONE);
        pool.pause(CUT);
        pool.start(OTHER, report("b1", "v2"));
        pool.wait(PAUSE);
        for n in 0..STREAM_COUNT {
            let avoid = vec!["b0".into()];
            let begun = pool.ask(OTHER, Ask { avoid, ..begin(&format!("stream-{n}")) });
            assert_that!(version(begun), some(ok(eq("v2"))));
        }
        pool.resume(CUT);
        for n in 0..STREAM_COUNT {
            let resumed = pool.ask(CUT, take_up(&format!("stream-{n}")));
            assert_that!(version(resumed), some(ok(eq("v2"))));
        }
    };
}
