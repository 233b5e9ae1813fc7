use std::fs;
use std::net::SocketAddr;
use std::process::ExitStatus;
use std::thread;
use std::time::Duration;

use compio::runtime::Runtime;
use futures_util::future::join_all;
use googletest::prelude::*;
use jaylock_standin::{
    Attempt, AttemptResult, Caller, CallerRequest, CallerSettings, Outcome, RequestResult,
    RunStatus,
};
use jaylock_tests::{Fleet, FleetSettings, cases};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::checker::{Counts, History};
use crate::crowd::{Crowd, CrowdSettings};

/// Callers of a flood.
const FLOOD: usize = 60;

/// Seed of the faults and of what callers ask for, unless `JAYLOCK_SEED` names another.
fn seed() -> u64 {
    let given = std::env::var("JAYLOCK_SEED").ok();
    given.and_then(|s| s.parse().ok()).unwrap_or(20_261_203)
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Four instances, three engines and two plain services that bring about faults on demand.
fn served_fleet(settings: &CrowdSettings) -> Fleet {
    let mut fleet = Fleet::start(&FleetSettings {
        has_proxies: settings.has_proxies,
        ..FleetSettings::default()
    });
    fleet.wait_until_ready();
    for name in ["engine-1", "engine-2", "engine-3"] {
        fleet.start_engine(name, &["--faults", "--token-ms", "4"]);
    }
    for name in ["caseapp-1", "caseapp-2"] {
        fleet.start_service(
            name,
            &["--faults", "--delay-ms", &settings.call_ms.to_string()],
        );
    }
    // Once one errand of each kind is through, schedulers and backend servers know each other.
    let first = CrowdSettings {
        lanes: 4,
        seed: 0,
        ..CrowdSettings::default()
    };
    let crowd = Crowd::start(&fleet, first);
    pause(1500);
    crowd.stop(&fleet);
    fleet
}

/// Runs a crowd while `disturb` brings about faults, and checks its history.
fn under(settings: CrowdSettings, disturb: impl FnOnce(&mut Fleet, &mut SmallRng)) -> History {
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let mut fleet = served_fleet(&settings);
    let crowd = Crowd::start(&fleet, settings);
    pause(500);
    disturb(&mut fleet, &mut rng);
    pause(500);
    let history = crowd.stop(&fleet);
    println!("{:?}", history.counts());
    assert_that!(history.violations(), is_empty());
    // Every errand is a right one, so no instance may refuse it for good.
    expect_that!(history.counts().refused, eq(0));
    assert_that!(history.counts().served, gt(0));
    history
}

fn crowd() -> CrowdSettings {
    CrowdSettings {
        seed: seed(),
        ..CrowdSettings::default()
    }
}

cases! {
    without_faults_everything_is_served_at_the_first_try => {
        let history = under(crowd(), |_, _| pause(2000));
        let Counts { errands, served, cut, unknown, .. } = history.counts();
        expect_that!(served, eq(errands));
        expect_that!((cut, unknown), eq((0, 0)));
    };
    instances_are_killed_and_come_back => {
        // Calls are long, so that each kill finds some in progress.
        let settings = CrowdSettings {
            call_ms: 200,
            ..crowd()
        };
        let _ = under(settings, |fleet, rng| {
            for _ in 0..3 {
                let victim = rng.random_range(0..fleet.len());
                fleet.kill(victim);
                pause(rng.random_range(500..2500));
                fleet.restart(victim);
                pause(rng.random_range(500..1500));
            }
        });
    };
    instances_freeze_and_wake => {
        let settings = CrowdSettings {
            lanes: 32,
            call_ms: 200,
            ..crowd()
        };
        let _ = under(settings, |fleet, rng| {
            for _ in 0..2 {
                let victim = rng.random_range(0..fleet.len());
                fleet.suspend(victim);
                // Longer than the lease of an instance.
                pause(rng.random_range(3500..5000));
                fleet.resume(victim);
                pause(rng.random_range(500..1500));
            }
        });
    };
    a_rolling_restart_cuts_nothing => {
        // Some answers take longer than an address may be kept after its withdrawal.
        let settings = CrowdSettings {
            longest: 700,
            ..crowd()
        };
        let history = under(settings, |fleet, _| {
            for place in 0..fleet.len() {
                expect_that!(stop(fleet, place), some(predicate(|s: ExitStatus| s.success())));
                fleet.restart(place);
                pause(500);
            }
        });
        expect_that!(history.counts().unknown, eq(0));
        let was_cut = |a: &&Attempt| {
            a.status.is_some() && matches!(a.result, AttemptResult::Interrupted(_) | AttemptResult::Failed(_))
        };
        let attempts = history.accounts.iter().flat_map(|(_, a)| &a.attempts);
        expect_that!(attempts.filter(was_cut).collect::<Vec<_>>(), is_empty());
    };
    faulty_backend_servers_reach_no_caller => {
        let settings = CrowdSettings {
            faults: &["break=3", "short=2", "double=2", "crossed", "silent=4", "lose=1"],
            patience: Duration::from_secs(12),
            ..crowd()
        };
        let history = under(settings, |_, _| pause(3000));
        for (_, account) in &history.accounts {
            let errand = format!("{:?}", account.request);
            match account.outcome {
                Outcome::Served => {}
                // Its run is certain, but its answer is lost for good.
                Outcome::Unknown => expect_that!(errand, contains_substring("lose=1")),
                // No engine ever gives the right answer.
                _ => expect_that!(errand, contains_substring("crossed")),
            }
        }
    };
    a_flood_is_refused_truly_and_leaves_the_others_served => {
        let history = under(crowd(), |fleet, _| {
            let limit = ["organisation", "update", "flood", "--queue-limit", "4"];
            fleet.run_tool_ok(&limit);
            fleet.wait_until_ready();
            let prompts = (0..FLOOD).map(|number| format!("flood {number} len=200"));
            let flooded = send(&fleet.caller_addresses(), "flood", prompts, 6);
            let attempts = || flooded.iter().flat_map(|a| &a.attempts);
            let refused: Vec<_> = attempts().filter(|a| a.status == Some(429)).collect();
            println!("flood: {} attempts, {} refused", attempts().count(), refused.len());
            expect_that!(refused.len(), gt(0));
            for attempt in refused {
                expect_that!(attempt.run, eq(RunStatus::NotRun));
            }
        });
        let Counts { errands, served, .. } = history.counts();
        expect_that!(served, eq(errands));
    };
    a_request_that_crashes_engines_takes_at_most_two_and_no_innocent => {
        let history = under(crowd(), |fleet, _| {
            let prompt = "crash whatever runs this";
            // Six callers send it at once, and again and again, through all routers.
            let sent = send(&fleet.caller_addresses(), "adala", [prompt; 6], 8);
            for account in &sent {
                expect_that!(account.outcome, not(eq(Outcome::Served)));
                expect_that!(account.attempts, each(field!(&Attempt.status, some(anything()))));
            }
            let crashed = ["engine-1", "engine-2", "engine-3"].iter().filter(|name| {
                let log = fs::read_to_string(fleet.folder().join(format!("{name}.log")));
                log.expect("a log").contains("crashes this engine")
            });
            let crashed = crashed.count();
            println!("crash: {} attempts, {crashed} engines", sent.iter().flat_map(|a| &a.attempts).count());
            expect_that!(crashed, le(2));
        });
        let Counts { errands, served, .. } = history.counts();
        expect_that!(served, eq(errands));
    };
    cuts_kills_and_faulty_backend_servers_come_together => {
        let settings = CrowdSettings {
            faults: &["break=3", "short=2", "double=2", "lose=1"],
            call_ms: 60,
            has_proxies: true,
            ..crowd()
        };
        let _ = under(settings, |fleet, rng| {
            for _ in 0..2 {
                let (cut, killed) = (rng.random_range(0..2), rng.random_range(2..fleet.len()));
                fleet.set_disconnected(cut, true);
                pause(rng.random_range(500..2000));
                fleet.kill(killed);
                pause(rng.random_range(500..2000));
                fleet.set_disconnected(cut, false);
                fleet.restart(killed);
                pause(1500);
            }
        });
    };
}

/// Stops an instance gracefully.
fn stop(fleet: &mut Fleet, place: usize) -> Option<ExitStatus> {
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(fleet.stop(place))
}

/// Sends prompts of an organisation from as many callers at once, who give up after a while.
fn send<P: Into<String>>(
    seeds: &[SocketAddr],
    organisation: &str,
    prompts: impl IntoIterator<Item = P>,
    patience_s: u64,
) -> Vec<RequestResult> {
    let callers = prompts.into_iter().enumerate().map(|(first, prompt)| {
        let caller = Caller::new(CallerSettings {
            seeds: seeds.to_vec(),
            key: format!("{organisation}-key"),
            first_address: first,
            request_timeout: Duration::from_secs(patience_s),
            ..CallerSettings::default()
        });
        let errand = CallerRequest::Chat {
            model: "dossier".into(),
            prompt: prompt.into(),
            stream: false,
        };
        async move { caller.run(errand).await }
    });
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(join_all(callers))
}
