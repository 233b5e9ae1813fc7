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
use crate::load::{Load, LoadSettings};

/// Number of concurrent callers in a flood.
const FLOOD_CALLERS: usize = 60;

/// Seed of the faults and the requests, unless `JAYLOCK_SEED` sets another one.
fn seed() -> u64 {
    let given = std::env::var("JAYLOCK_SEED").ok();
    given.and_then(|s| s.parse().ok()).unwrap_or(20_261_203)
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Starts four instances, and three engines and two plain services that cause faults on request.
fn start_fleet(settings: &LoadSettings) -> Fleet {
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
            &[
                "--faults",
                "--delay-ms",
                &settings.call_duration_ms.to_string(),
            ],
        );
    }
    // After one request of each kind, schedulers and backend servers know each other.
    let first = LoadSettings {
        callers: 4,
        seed: 0,
        ..LoadSettings::default()
    };
    let load = Load::start(&fleet, first);
    sleep_ms(1500);
    load.stop(&fleet);
    fleet
}

/// Runs a load while `inject_faults` causes faults, and checks the history.
fn check_under(
    settings: LoadSettings,
    inject_faults: impl FnOnce(&mut Fleet, &mut SmallRng),
) -> History {
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let mut fleet = start_fleet(&settings);
    let load = Load::start(&fleet, settings);
    sleep_ms(500);
    inject_faults(&mut fleet, &mut rng);
    sleep_ms(500);
    let history = load.stop(&fleet);
    println!("{:?}", history.counts());
    assert_that!(history.violations(), is_empty());
    // All requests are valid, so no instance may refuse one permanently.
    expect_that!(history.counts().refused, eq(0));
    assert_that!(history.counts().served, gt(0));
    history
}

fn load_settings() -> LoadSettings {
    LoadSettings {
        seed: seed(),
        ..LoadSettings::default()
    }
}

cases! {
    serves_everything_at_the_first_attempt_without_faults => {
        let history = check_under(load_settings(), |_, _| sleep_ms(2000));
        let Counts { requests, served, interrupted, unknown, .. } = history.counts();
        expect_that!(served, eq(requests));
        expect_that!((interrupted, unknown), eq((0, 0)));
    };
    stays_consistent_when_instances_are_killed_and_restarted => {
        // Calls are slow, so that each kill hits some in progress.
        let settings = LoadSettings {
            call_duration_ms: 200,
            ..load_settings()
        };
        let _ = check_under(settings, |fleet, rng| {
            for _ in 0..3 {
                let victim = rng.random_range(0..fleet.len());
                fleet.kill(victim);
                sleep_ms(rng.random_range(500..2500));
                fleet.restart(victim);
                sleep_ms(rng.random_range(500..1500));
            }
        });
    };
    stays_consistent_when_instances_are_suspended_and_resumed => {
        let settings = LoadSettings {
            callers: 32,
            call_duration_ms: 200,
            ..load_settings()
        };
        let _ = check_under(settings, |fleet, rng| {
            for _ in 0..2 {
                let victim = rng.random_range(0..fleet.len());
                fleet.suspend(victim);
                // Longer than the lease of an instance.
                sleep_ms(rng.random_range(3500..5000));
                fleet.resume(victim);
                sleep_ms(rng.random_range(500..1500));
            }
        });
    };
    rolling_restart_interrupts_no_response => {
        // Some responses take longer than callers may cache an address after its withdrawal.
        let settings = LoadSettings {
            long_chunks: 700,
            ..load_settings()
        };
        let history = check_under(settings, |fleet, _| {
            for index in 0..fleet.len() {
                expect_that!(stop(fleet, index), some(predicate(|s: ExitStatus| s.success())));
                fleet.restart(index);
                sleep_ms(500);
            }
        });
        expect_that!(history.counts().unknown, eq(0));
        let was_interrupted = |a: &&Attempt| {
            a.status.is_some() && matches!(a.result, AttemptResult::Interrupted(_) | AttemptResult::Failed(_))
        };
        let attempts = history.results.iter().flat_map(|(_, a)| &a.attempts);
        expect_that!(attempts.filter(was_interrupted).collect::<Vec<_>>(), is_empty());
    };
    hides_faults_of_backend_servers_from_callers => {
        let settings = LoadSettings {
            faults: &["break=3", "short=2", "double=2", "crossed", "silent=4", "lose=1"],
            request_timeout: Duration::from_secs(12),
            ..load_settings()
        };
        let history = check_under(settings, |_, _| sleep_ms(3000));
        for (_, result) in &history.results {
            let request = format!("{:?}", result.request);
            match result.outcome {
                Outcome::Served => {}
                // The request ran, but its response is lost permanently.
                Outcome::Unknown => expect_that!(request, contains_substring("lose=1")),
                // No engine ever returns the correct response.
                _ => expect_that!(request, contains_substring("crossed")),
            }
        }
    };
    refuses_a_flood_as_not_run_and_serves_the_others => {
        let history = check_under(load_settings(), |fleet, _| {
            let limit = ["organisation", "update", "flood", "--queue-limit", "4"];
            fleet.run_tool_ok(&limit);
            fleet.wait_until_ready();
            let prompts = (0..FLOOD_CALLERS).map(|number| format!("flood {number} len=200"));
            let flooded = send(&fleet.caller_addresses(), "flood", prompts, 6);
            let attempts = || flooded.iter().flat_map(|a| &a.attempts);
            let refused: Vec<_> = attempts().filter(|a| a.status == Some(429)).collect();
            println!("flood: {} attempts, {} refused", attempts().count(), refused.len());
            expect_that!(refused.len(), gt(0));
            for attempt in refused {
                expect_that!(attempt.run, eq(RunStatus::NotRun));
            }
        });
        let Counts { requests, served, .. } = history.counts();
        expect_that!(served, eq(requests));
    };
    crashing_request_crashes_at_most_two_engines_and_fails_no_other_request => {
        let history = check_under(load_settings(), |fleet, _| {
            let prompt = "crash whatever runs this";
            // Six callers send the prompt concurrently and retry it through all routers.
            let sent = send(&fleet.caller_addresses(), "adala", [prompt; 6], 8);
            for result in &sent {
                expect_that!(result.outcome, not(eq(Outcome::Served)));
                expect_that!(result.attempts, each(field!(&Attempt.status, some(anything()))));
            }
            let crashed = ["engine-1", "engine-2", "engine-3"].iter().filter(|name| {
                let log = fs::read_to_string(fleet.folder().join(format!("{name}.log")));
                log.expect("a log").contains("crashes this engine")
            });
            let crashed = crashed.count();
            println!("crash: {} attempts, {crashed} engines", sent.iter().flat_map(|a| &a.attempts).count());
            expect_that!(crashed, le(2));
        });
        let Counts { requests, served, .. } = history.counts();
        expect_that!(served, eq(requests));
    };
    stays_consistent_under_disconnections_kills_and_faulty_backend_servers => {
        let settings = LoadSettings {
            faults: &["break=3", "short=2", "double=2", "lose=1"],
            call_duration_ms: 60,
            has_proxies: true,
            ..load_settings()
        };
        let _ = check_under(settings, |fleet, rng| {
            for _ in 0..2 {
                let (disconnected, killed) = (rng.random_range(0..2), rng.random_range(2..fleet.len()));
                fleet.set_disconnected(disconnected, true);
                sleep_ms(rng.random_range(500..2000));
                fleet.kill(killed);
                sleep_ms(rng.random_range(500..2000));
                fleet.set_disconnected(disconnected, false);
                fleet.restart(killed);
                sleep_ms(1500);
            }
        });
    };
}

/// Stops an instance gracefully.
fn stop(fleet: &mut Fleet, index: usize) -> Option<ExitStatus> {
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(fleet.stop(index))
}

/// Sends each prompt from its own concurrent caller, which gives up after `timeout_s`.
fn send<P: Into<String>>(
    seeds: &[SocketAddr],
    organisation: &str,
    prompts: impl IntoIterator<Item = P>,
    timeout_s: u64,
) -> Vec<RequestResult> {
    let callers = prompts.into_iter().enumerate().map(|(first, prompt)| {
        let caller = Caller::new(CallerSettings {
            seeds: seeds.to_vec(),
            key: format!("{organisation}-key"),
            first_address: first,
            request_timeout: Duration::from_secs(timeout_s),
            ..CallerSettings::default()
        });
        let request = CallerRequest::Chat {
            model: "dossier".into(),
            prompt: prompt.into(),
            stream: false,
        };
        async move { caller.run(request).await }
    });
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(join_all(callers))
}
