use std::time::{Duration, Instant};

use jaylock_rpc::v1::{BackendReport, BackendVerdict, ColdNotice, Exclusion, RateLimit, WorkTime};
use jaylock_types::{RequestRate, WorkPercent};

use crate::backends::backend::report_time;
use crate::scheduler::allocator::Allocator;
use crate::scheduler::router::{Pause, RouterKey};

impl Allocator {
    /// Applies the limit that a router read in a response.
    pub(crate) fn apply_limit(&mut self, limit: &RateLimit, now: Instant) {
        let index = self.backends.find_or_add(&limit.backend, now);
        let rate = limit.rate_milli.map(|milli| RequestRate { milli });
        self.backends.get_mut(index).set_limit(rate, now);
        self.refresh(index, now);
    }

    /// Applies the remaining cold time that a router read in a response.
    pub(crate) fn apply_cold_notice(&mut self, notice: &ColdNotice, now: Instant) {
        self.backends.apply_cold_notice(notice, now);
        if let Some(index) = self.backends.find(&notice.backend) {
            self.refresh(index, now);
        }
    }

    /// Applies what a backend server told a router in a response: to send nothing, for a time or for good.
    pub(crate) fn apply_exclusion(&mut self, key: RouterKey, exclusion: &Exclusion, now: Instant) {
        let index = self.backends.find_or_add(&exclusion.backend, now);
        let backend = self.backends.get_mut(index);
        if exclusion.incarnation < backend.report.incarnation {
            return;
        }
        log::info!(
            target: "share",
            backend = exclusion.backend.as_str(), incarnation = exclusion.incarnation, pause_ms:? = exclusion.pause_ms;
            "a backend server wants no requests"
        );
        match exclusion.pause_ms {
            None => backend.left_incarnation = exclusion.incarnation,
            Some(ms) => {
                let pause = Pause {
                    index,
                    incarnation: exclusion.incarnation,
                    until: now + Duration::from_millis(ms.into()),
                };
                if let Some(router) = self.routers.get_mut(key) {
                    router.add_pause(pause);
                }
            }
        }
        self.refresh(index, now);
    }

    /// Applies the time for work that a router read in a response; one of an unknown start counts for nothing.
    pub(crate) fn apply_work_time(&mut self, work_time: &WorkTime, now: Instant) {
        let Some(percent) = WorkPercent::new(work_time.percent) else {
            if let Some(reports) = self.invalid_work_times.record(now) {
                log::warn!(
                    target: "share",
                    backend = work_time.backend.as_str(), percent = work_time.percent, reports = reports;
                    "an absurd time for work is ignored"
                );
            }
            return;
        };
        let Some(index) = self.backends.find(&work_time.backend) else {
            return;
        };
        let backend = self.backends.get_mut(index);
        if work_time.incarnation != backend.report.incarnation {
            return;
        }
        let age = Duration::from_millis(work_time.age_ms.into());
        let at = now.checked_sub(age).unwrap_or(now);
        backend.pace.set_work_time(percent, at);
        log::debug!(
            target: "share",
            backend = work_time.backend.as_str(), percent = percent.get(), age_ms = work_time.age_ms,
            pace_percent = backend.pace.learned().pace_percent();
            "a backend server names a time for work"
        );
    }

    /// Applies what a backend server announced to a router, and tells the router the verdict.
    pub(crate) fn apply_report(&mut self, key: RouterKey, report: BackendReport, now: Instant) {
        let (id, incarnation) = (report.id.clone(), report.incarnation);
        let sequence = report.sequence;
        if report.gone {
            let (at, lease) = (report_time(&report, now), self.settings.backend_lease);
            let ended = self.backends.mark_ended(&id, incarnation, at, now, lease);
            let verdict = BackendVerdict {
                backend: id,
                incarnation: ended,
                sequence,
                ..BackendVerdict::default()
            };
            if let Some(router) = self.routers.get_mut(key) {
                router.add_verdict(verdict);
            }
            return;
        }
        if report.slots > 0 {
            let seen = &mut self.origins.seen;
            seen.record(&report.software, report_time(&report, now));
        }
        let previous = self.backends.find(&id);
        let previous = previous.map(|index| self.backends.get(index));
        let previous_report = previous.map(|backend| backend.report.clone());
        let last_sign = previous
            .filter(|backend| backend.report.incarnation > 0 && !backend.has_left())
            .map(|backend| backend.last_report);
        let lease = self.settings.backend_lease;
        let outcome = self
            .backends
            .apply_report(report, now, lease, self.settings.max_prefixes);
        let mut restarted = None;
        if let Ok(index) = outcome {
            let report = &self.backends.get(index).report;
            // An entry without slots is a backend server that a router named before its first report arrived.
            let has_changed = |previous: BackendReport| {
                previous.slots == 0
                    || previous.models != report.models
                    || previous.software != report.software
            };
            let has_restarted =
                |previous: &BackendReport| report.incarnation > previous.incarnation;
            if previous_report.as_ref().is_some_and(has_restarted) {
                for (_, router) in self.routers.iter_mut() {
                    router.end_pauses_before(index, report.incarnation);
                }
                if let Some(last_sign) = last_sign {
                    restarted = Some((index, last_sign));
                }
            }
            if previous_report.is_none_or(has_changed) {
                self.requirements.update(index, report);
            }
            let memory_tokens = self.memory_tokens;
            self.backends
                .get_mut(index)
                .engine
                .set_memory(memory_tokens);
        }
        if let Some((index, last_sign)) = restarted {
            self.record_restart(index, last_sign, now);
        }
        let refused = outcome.err().unwrap_or_default().into();
        if let Some(router) = self.routers.get_mut(key) {
            let verdict = BackendVerdict {
                backend: id,
                incarnation,
                refused,
                sequence,
            };
            router.add_verdict(verdict);
        }
    }
}
