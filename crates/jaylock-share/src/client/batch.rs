use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::{
    Ask, BackendReport, ColdNotice, End, Exclusion, Progress, RateLimit, RouterFrame, WorkTime,
};
use jaylock_types::millis;

use crate::SchedulerClientSettings;
use crate::encoding::{NameTable, encode_request_id};
use crate::frame_size::take_within;

/// Messages of a router that are batched into one frame.
#[derive(Debug, Default)]
pub struct Batch {
    names: NameTable,
    asks: Vec<Ask>,
    cancels: Vec<u64>,
    backends: Vec<BackendReport>,
    // When the reports are due, if no other message is due before.
    report_due: Option<Instant>,
    limits: Vec<RateLimit>,
    exclusions: Vec<Exclusion>,
    cold_notices: Vec<ColdNotice>,
    // With the times of the responses.
    work_times: Vec<(Instant, WorkTime)>,
    // Ends with their organisations.
    ends: Vec<(CompactString, End)>,
    // Sorted by ticket.
    progress: Vec<Progress>,
    // When the ends are due, if no other message is due before.
    end_due: Option<Instant>,
    last_frame: Option<Instant>,
    progress_due: Option<Instant>,
    last_progress: Option<Instant>,
}

impl Batch {
    pub fn add_ask(&mut self, mut ask: Ask) {
        encode_request_id(&mut ask);
        self.names.encode(&mut ask);
        self.asks.push(ask);
    }

    /// Removes an unsent request, or adds a cancellation for one that was sent.
    pub fn cancel(&mut self, ticket: u64) {
        let old_len = self.asks.len();
        self.asks.retain(|ask| ask.ticket != ticket);
        if self.asks.len() == old_len {
            self.cancels.push(ticket);
        }
    }

    pub fn add_report(&mut self, report: BackendReport, due: Instant) {
        self.backends.push(report);
        self.report_due = Some(self.report_due.map_or(due, |other| other.min(due)));
    }

    /// Adds a limit, in place of an older one of the same backend server.
    pub fn add_limit(&mut self, limit: RateLimit) {
        self.limits.retain(|other| other.backend != limit.backend);
        self.limits.push(limit);
    }

    /// Adds an exclusion, in place of an older one of the same backend server.
    pub fn add_exclusion(&mut self, exclusion: Exclusion) {
        self.exclusions
            .retain(|other| other.backend != exclusion.backend);
        self.exclusions.push(exclusion);
    }

    /// Adds a remaining cold time, in place of an older one of the same backend server.
    pub fn add_cold_notice(&mut self, notice: ColdNotice) {
        self.cold_notices
            .retain(|other| other.backend != notice.backend);
        self.cold_notices.push(notice);
    }

    /// Adds a time for work that a response names now, in place of an older one of the same backend server.
    pub fn add_work_time(&mut self, work_time: WorkTime, now: Instant) {
        self.work_times
            .retain(|(_, other)| other.backend != work_time.backend);
        self.work_times.push((now, work_time));
    }

    pub fn add_end(&mut self, organisation: CompactString, end: End, due: Instant) {
        if let Ok(index) = self.search_progress(end.ticket) {
            self.progress.remove(index);
        }
        self.end_due = Some(self.end_due.map_or(due, |other| other.min(due)));
        self.ends.push((organisation, end));
    }

    /// Adds progress, which is due `interval` after the progress sent before.
    pub fn add_progress(&mut self, progress: Progress, interval: Duration, now: Instant) {
        let due = self.last_progress.map_or(now, |last| last + interval);
        self.progress_due = Some(self.progress_due.map_or(due, |other| other.min(due)));
        match self.search_progress(progress.ticket) {
            Ok(index) => self.progress[index] = progress,
            Err(index) => self.progress.insert(index, progress),
        }
    }

    /// When the next frame is due; `None` while there is nothing to send.
    ///
    /// The first message after a pause is due at once. Ends may wait longer while no request waits.
    /// If contact is to be kept, an empty frame is due after a time without any.
    pub fn due(
        &self,
        settings: &SchedulerClientSettings,
        has_waiting_requests: bool,
        keeps_contact: bool,
        now: Instant,
    ) -> Option<Instant> {
        let is_urgent = !self.asks.is_empty()
            || !self.cancels.is_empty()
            || !self.limits.is_empty()
            || !self.exclusions.is_empty()
            || !self.cold_notices.is_empty()
            || !self.work_times.is_empty()
            || (has_waiting_requests && !self.ends.is_empty());
        let batched = self.last_frame.map(|last| last + settings.batch_window);
        let urgent = is_urgent.then(|| batched.unwrap_or(now));
        let report = self
            .report_due
            .map(|due| batched.map_or(due, |at| at.max(due)));
        let progress = self.progress_due.filter(|_| !self.progress.is_empty());
        let contact = self.last_frame.map(|last| last + settings.contact_interval);
        let contact = contact.filter(|_| keeps_contact);
        let due = [urgent, report, self.end_due, progress, contact];
        due.into_iter().flatten().min()
    }

    /// Records a frame that holds none of these messages, as the first one of a stream.
    pub fn record_frame(&mut self, now: Instant) {
        self.last_frame = Some(now);
    }

    /// Takes all messages as one frame; requests and reports that don't fit stay for the next one.
    pub fn take_frame(&mut self, now: Instant) -> RouterFrame {
        self.last_frame = Some(now);
        self.end_due = None;
        self.progress_due = None;
        if !self.progress.is_empty() {
            self.last_progress = Some(now);
        }
        let ends = std::mem::take(&mut self.ends);
        let work_times = std::mem::take(&mut self.work_times).into_iter();
        let work_times = work_times.map(|(at, work_time)| WorkTime {
            age_ms: millis(now.saturating_duration_since(at)),
            ..work_time
        });
        let backends = take_within(&mut self.backends);
        self.report_due = (!self.backends.is_empty()).then_some(now);
        RouterFrame {
            names: self.names.take_new(),
            asks: take_within(&mut self.asks),
            cancels: std::mem::take(&mut self.cancels),
            backends,
            limits: std::mem::take(&mut self.limits),
            exclusions: std::mem::take(&mut self.exclusions),
            cold_notices: std::mem::take(&mut self.cold_notices),
            work_times: work_times.collect(),
            ends: ends.into_iter().map(|(_, end)| end).collect(),
            progress: std::mem::take(&mut self.progress),
            ..RouterFrame::default()
        }
    }

    /// Discards all messages and returns the ends, with their organisations.
    pub fn clear(&mut self) -> Vec<(CompactString, End)> {
        let ends = std::mem::take(&mut self.ends);
        *self = Self::default();
        ends
    }

    fn search_progress(&self, ticket: u64) -> Result<usize, usize> {
        self.progress
            .binary_search_by_key(&ticket, |progress| progress.ticket)
    }
}
