//! Messages between a router and the scheduler of a pool, and the loss of the stream that carries them.

use std::time::Instant;

use jaylock_rpc::v1::{BackendVerdict, Fallback, Hello, RouterFrame, Running, SchedulerFrame};

use crate::admission::cost::cost_of;
use crate::client::state::ClientState;
use crate::encoding::AddressTable;
use crate::frame_size::take_within;

/// Causes that the runs of a first message name together, 512 KiB.
const MAX_HELLO_CAUSES: usize = 65_536;
/// Causes that each run names in any case.
const MIN_RUN_CAUSES: usize = 33;

impl ClientState {
    /// The first message of a new stream, with the state that the scheduler needs.
    ///
    /// Requests and reports that don't fit follow in the next messages.
    pub fn first_frame(&mut self, mut hello: Hello, now: Instant) -> RouterFrame {
        self.is_attached = true;
        if self.pool != hello.pool {
            self.pool = hello.pool.as_str().into();
            self.configured_index = 0;
        }
        self.observe_pause(now);
        self.pauses.open_stream();
        self.last_frame = Some(now);
        self.batch.record_frame(now);
        self.addresses = AddressTable::default();
        hello.epoch = self.epoch;
        hello.keeps_contact = true;
        hello.running = self.running();
        hello.crashes = self.crashes.list(now);
        hello.streams = self.origins.list(now);
        let unreported = self.totals.iter().filter(|total| total.unheard > 0);
        self.unconfirmed = unreported.cloned().collect();
        for total in &mut self.totals {
            total.unheard = 0;
        }
        let asks = self.pending.iter().map(|pending| pending.updated_ask(now));
        let (mut asks, mut reports) = (asks.collect(), self.reports.list(now));
        let (first_asks, first_reports) = (take_within(&mut asks), take_within(&mut reports));
        for ask in asks {
            self.batch.add_ask(ask);
        }
        for report in reports {
            self.batch.add_report(report, now);
        }
        RouterFrame {
            hello: Some(hello),
            asks: first_asks,
            backends: first_reports,
            totals: self.unconfirmed.clone(),
            limits: self.limits.reports(now),
            exclusions: self.exclusions.reports(now),
            cold_notices: self.cold_notices.reports(now),
            ..RouterFrame::default()
        }
    }

    /// The runs in progress; together they name no more causes than fit into a message, and the rest the first ones.
    fn running(&self) -> Vec<Running> {
        let mut room = MAX_HELLO_CAUSES;
        let running = self.held.iter().map(|held| {
            let mut running = held.running();
            if running.causes.len() > MIN_RUN_CAUSES.max(room) {
                running.causes.truncate(MIN_RUN_CAUSES);
            }
            room = room.saturating_sub(running.causes.len());
            running
        });
        running.collect()
    }

    /// Records that the stream is lost.
    pub fn detach(&mut self, now: Instant) {
        self.is_attached = false;
        self.detached_at.get_or_insert(now);
        self.refuse_spare();
        for total in std::mem::take(&mut self.unconfirmed) {
            self.add_unreported(&total.organisation, total.unheard);
        }
        for (organisation, end) in self.batch.clear() {
            self.add_unreported(&organisation, cost_of(&end));
        }
    }

    /// Whether the scheduler has sent nothing for too long although requests wait.
    #[must_use]
    pub fn is_scheduler_unresponsive(&self, now: Instant) -> bool {
        let Some(first) = self.pending.first() else {
            return false;
        };
        let since = self
            .last_frame
            .map_or(first.queued_at, |last| last.max(first.queued_at));
        now.saturating_duration_since(since) >= self.settings.idle_timeout
    }

    /// Applies a message of the scheduler; returns false if it is outdated, so that the stream must be opened anew.
    ///
    /// A message is outdated if it has an older epoch, or may have been sent before the router stood still.
    pub fn apply_frame(&mut self, frame: SchedulerFrame, now: Instant) -> bool {
        self.observe_pause(now);
        if frame.epoch < self.epoch || self.pauses.is_stream_outdated() {
            return false;
        }
        self.epoch = frame.epoch;
        self.last_frame = Some(now);
        self.detached_at = None;
        self.spare.clear();
        self.local_prefill.clear();
        self.unconfirmed.clear();
        for verdict in frame.verdicts {
            self.put_verdict(verdict);
        }
        if let Some(fallback) = frame.fallback {
            self.renew_fallback(fallback);
        }
        self.responses.apply(&frame.hedging, now);
        for refusal in frame.refusals {
            if let Some(pending) = self.take_pending(refusal.ticket) {
                let _ = pending.reply.send(Err(refusal));
            }
        }
        for mut grant in frame.grants {
            self.addresses.restore(&mut grant);
            self.grant(grant, now);
        }
        true
    }

    fn put_verdict(&mut self, verdict: BackendVerdict) {
        let verdicts = &mut self.verdicts;
        match verdicts.binary_search_by(|v| v.backend.cmp(&verdict.backend)) {
            Ok(index) => verdicts[index] = verdict,
            Err(index) => verdicts.insert(index, verdict),
        }
    }

    /// Replaces the slots that this router may use while no scheduler responds.
    fn renew_fallback(&mut self, fallback: Fallback) {
        self.fallback = fallback.backends;
        self.pauses.renew_list();
        for report in self.fallback.iter().filter_map(|f| f.backend.as_ref()) {
            self.crashed_starts.forget(&report.id);
        }
    }

    /// Whether the scheduler may have sent what is still to be read before the router stood still.
    #[must_use]
    pub fn is_stream_outdated(&self) -> bool {
        self.is_attached && self.pauses.is_stream_outdated()
    }

    /// Notices if the router has stood still since it was last active.
    pub(crate) fn observe_pause(&mut self, now: Instant) {
        let max_pause = self.settings.idle_timeout;
        if let Some(pause) = self.pauses.observe(now, max_pause) {
            let pause_ms = pause.as_millis();
            log::info!(
                target: "share",
                pause_ms:? = pause_ms, attached = self.is_attached;
                "the router stood still, so that what the scheduler told it may be outdated"
            );
        }
    }

    /// When the next message is due.
    #[must_use]
    pub fn due(&self, now: Instant) -> Option<Instant> {
        let has_waiting_requests = !self.pending.is_empty();
        let keeps_contact = self.is_attached && (has_waiting_requests || self.awaits_first_event());
        let message = self
            .batch
            .due(&self.settings, has_waiting_requests, keeps_contact, now);
        let responses = self.responses.due().filter(|_| self.is_attached);
        [message, responses].into_iter().flatten().min()
    }

    /// Whether a run has reported no service yet.
    fn awaits_first_event(&self) -> bool {
        self.held.iter().any(|held| held.reported_tokens == 0)
    }

    /// Takes the next message.
    pub fn next_frame(&mut self, now: Instant) -> RouterFrame {
        RouterFrame {
            response_times: self.responses.take_due(now),
            ..self.batch.take_frame(now)
        }
    }
}
