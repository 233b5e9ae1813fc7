//! Departures of backend servers in the replicated log.

use googletest::prelude::*;
use jaylock_control::has_departed;
use jaylock_rpc::v1::Departure;
use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::command::Body;

use crate::commands::command;
use crate::group::Group;

jaylock_tests::cases! {
    // Guards against a release of hundreds of backend servers that pushes everything else out of the event log.
    async departures_leave_the_event_log_to_others => {
        let group = Group::new(1, 1).await;
        group.read().await;
        let before = group.events().await;
        for number in 0..20 {
            let departure = Departure {
                backend: format!("backend-{number}"),
                incarnation: 1,
                ..Departure::default()
            };
            let applied = group.propose(command(Body::PutDeparture(departure))).await;
            expect_that!(applied.result, some(matches_pattern!(Outcome::Done(_))));
        }
        expect_that!(has_departed(&group.read().await, "backend-19", 1), eq(true));
        expect_that!(group.events().await, eq(&before));
    };
}
