//! Lists of addresses of more routers than a list holds.

use googletest::prelude::*;
use jaylock_router::{routers_for, select_routers};
use jaylock_rpc::v1::{Configuration, Instance};

/// Addresses in a list.
const MAX_COUNT: usize = 64;

fn routers(count: usize) -> Vec<Instance> {
    let router = |index| Instance {
        id: format!("edge-{index}"),
        ..Instance::default()
    };
    (0..count).map(router).collect()
}

fn list(routers: &[Instance], position: u64) -> Vec<&str> {
    let selected = select_routers(routers.iter().collect(), MAX_COUNT, position);
    selected
        .into_iter()
        .map(|router| router.id.as_str())
        .collect()
}

/// Number of routers listed for callers in domain 0, of four domains with this many routers each.
fn count_listed(domains: [usize; 4]) -> usize {
    let routers = domains.iter().enumerate().flat_map(|(domain, count)| {
        (0..*count).map(move |index| Instance {
            id: format!("edge-{domain}-{index}"),
            domain: domain.to_string(),
            caller_address: "127.0.0.1:1".into(),
            ..Instance::default()
        })
    });
    let configuration = Configuration {
        instances: routers.collect(),
        ..Configuration::default()
    };
    routers_for(&configuration, "0").len()
}

jaylock_tests::cases! {
    callers_of_a_domain_meet_at_the_few_routers_that_it_has_left => {
        expect_that!(count_listed([19, 19, 19, 19]), eq(19));
        expect_that!(count_listed([15, 19, 19, 19]), eq(15));
        expect_that!(count_listed([2, 19, 19, 19]), eq(59));
        expect_that!(count_listed([2, 3, 3, 3]), eq(2));
        expect_that!(count_listed([0, 3, 3, 3]), eq(9));
    };

    lists_of_all_positions_name_each_router_equally_often => {
        let routers = routers(191);
        let mut named: Vec<&str> = (0..191).flat_map(|position| list(&routers, position)).collect();
        named.sort_unstable();
        for names in named.chunk_by(|a, b| a == b) {
            expect_that!(names.len(), eq(MAX_COUNT));
        }
        expect_that!(named.len(), eq(191 * MAX_COUNT));
    };

    next_list_keeps_all_routers_but_one => {
        let routers = routers(191);
        for position in 0..191 {
            let (list, next) = (list(&routers, position), list(&routers, position + 1));
            expect_that!(list.iter().filter(|id| next.contains(id)).count(), eq(MAX_COUNT - 1));
        }
    };

    few_routers_are_all_named => {
        let routers = routers(3);
        expect_that!(list(&routers, u64::MAX).len(), eq(3));
        expect_that!(list(&[], 5).len(), eq(0));
    };
}
