use std::time::Instant;

use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{Ask, End};
use jaylock_types::PROVEN_AFTER;

use crate::crashes::abandoned::{AbandonedRun, AbandonedRuns};
use crate::crashes::crash_causes::{CrashCauses, Suspect};
use crate::crashes::duplicates::Duplicates;
use crate::scheduler::allocator::Allocator;
use crate::scheduler::router::{RouterKey, Run};

/// What is known of the crashes of a pool's backend servers.
#[derive(Debug, Default)]
pub struct CrashHistory {
    /// Backend servers that equal requests run on or have crashed.
    pub duplicates: Duplicates,
    /// What different requests share that crashed backend servers.
    pub causes: CrashCauses,
    /// Runs that were given up, and may still crash backend servers.
    pub abandoned: AbandonedRuns,
}

impl CrashHistory {
    /// Whether a request may run on a backend server now.
    pub fn admits(&self, ask: &Ask, backend: usize) -> bool {
        self.duplicates.admits(ask.fingerprint, backend) && self.causes.admits(ask, backend)
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now: Instant) {
        self.duplicates.expire(now);
        self.causes.expire(now);
        for backend_index in self.abandoned.expire(now) {
            self.causes.end_trial(backend_index);
        }
    }

    /// Adds a run that was given up.
    fn add_abandoned(&mut self, run: AbandonedRun) {
        for dropped in self.abandoned.add(run) {
            self.end_trial_of(&dropped);
        }
    }

    /// Takes the runs that were given up at a backend server and may have crashed it at `since` or later.
    fn take_abandoned(&mut self, backend_index: usize, since: Instant) -> Vec<AbandonedRun> {
        let (harmless, suspects) = self.abandoned.take_all(backend_index, since);
        for run in harmless.iter().chain(&suspects) {
            self.end_trial_of(run);
        }
        suspects
    }

    fn end_trial_of(&mut self, run: &AbandonedRun) {
        if run.holds_trial {
            self.causes.end_trial(run.backend_index);
        }
    }
}

impl Allocator {
    /// Records what the end of a run shows about the requests that are like it.
    pub(crate) fn record_outcome(&mut self, run: &Run, end: &End, now: Instant) {
        let duplicates = &mut self.crash_history.duplicates;
        match end.outcome() {
            Outcome::Crashed => {
                duplicates.record_crash(run.fingerprint, run.backend_index, run.era, now);
                let backend = self.backends.get_mut(run.backend_index);
                if backend.record_crash(run.granted_at, now) {
                    let abandoned = self.crash_history.take_abandoned(run.backend_index, now);
                    self.record_crash(run.backend_index, Some(run), &abandoned, now);
                }
            }
            Outcome::Complete => {
                if run.is_isolated {
                    duplicates.clear(run.fingerprint);
                }
                if end.answered {
                    self.crash_history.causes.record_success(&run.causes, now);
                }
            }
            _ => {}
        }
    }

    /// Remembers a run that was given up before it showed that it crashes nothing; a trial lasts a little longer.
    pub(crate) fn abandon(&mut self, router: RouterKey, run: &mut Run, now: Instant) {
        let abandoned = AbandonedRun::new(router, run, now);
        self.crash_history.add_abandoned(abandoned);
        run.is_trial = false;
    }

    /// Records that a backend server was found to have crashed after a run there was given up.
    pub(crate) fn record_late_crash(&mut self, router: RouterKey, ticket: u64, now: Instant) {
        let Some(run) = self.crash_history.abandoned.take(router, ticket) else {
            return;
        };
        self.crash_history.end_trial_of(&run);
        let (fingerprint, era) = (run.fingerprint, run.era);
        let duplicates = &mut self.crash_history.duplicates;
        duplicates.record_late_crash(fingerprint, run.backend_index, era, now);
        let backend = self.backends.get_mut(run.backend_index);
        if backend.record_crash(run.granted_at, now) {
            let mut abandoned = self.crash_history.take_abandoned(run.backend_index, now);
            let backend_index = run.backend_index;
            abandoned.push(run);
            self.record_crash(backend_index, None, &abandoned, now);
        }
    }

    /// Records that a backend server has started again without having said that it leaves.
    ///
    /// `last_report` is when the start before was heard last. Runs whose connections broke have told of the crash before; here it
    /// is those that were given up.
    pub(crate) fn record_restart(&mut self, index: usize, last_report: Instant, now: Instant) {
        let abandoned = self.crash_history.take_abandoned(index, last_report);
        if !abandoned.is_empty() {
            self.record_crash(index, None, &abandoned, now);
        }
    }

    /// Attributes the crash of a backend server to the runs that had not begun there or were given up shortly before.
    fn record_crash(
        &mut self,
        backend_index: usize,
        ended: Option<&Run>,
        abandoned: &[AbandonedRun],
        now: Instant,
    ) {
        let name = self.backends.get(backend_index).report.id.clone();
        let routers = self.routers.iter();
        let others = routers.flat_map(|(_, router)| router.runs());
        let others = others.filter(|other| other.backend_index == backend_index);
        let running = others.chain(ended).filter(|run| run.may_crash(now));
        let abandoned = abandoned.iter().map(AbandonedRun::as_suspect);
        let suspects: Vec<Suspect> = running.map(Run::as_suspect).chain(abandoned).collect();
        log::info!(
            target: "share",
            pool = self.pool.as_str(), backend = name.as_str(), suspects = suspects.len();
            "a backend server crashed"
        );
        let causes = &mut self.crash_history.causes;
        causes.record_crash(&suspects, &name, now);
    }
}

impl Run {
    /// Whether the run has now, for the first time, lasted so long that it crashes nothing.
    pub fn prove(&mut self, now: Instant) -> bool {
        let is_new = !self.is_proven && !self.may_crash(now);
        self.is_proven |= is_new;
        is_new
    }

    /// Whether the run may be what crashed its backend server.
    pub(crate) fn may_crash(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PROVEN_AFTER;
        self.began_at.is_none_or(is_recent)
    }

    fn as_suspect(&self) -> Suspect<'_> {
        Suspect {
            causes: &self.causes,
            is_trial: self.is_trial,
            granted_at: self.granted_at,
            is_abandoned: false,
        }
    }
}
