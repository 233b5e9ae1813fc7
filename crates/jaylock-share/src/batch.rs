use std::time::Instant;

use compact_str::CompactString;
use jaylock_rpc::v1::{Ask, BackendReport, End, Progress, RouterFrame};

use crate::PoolSettings;

/// Messages of a router that are joined into one frame.
#[derive(Debug, Default)]
pub struct Batch {
    asks: Vec<Ask>,
    cancels: Vec<u64>,
    backends: Vec<BackendReport>,
    // With their organisations.
    ends: Vec<(CompactString, End)>,
    // Sorted by ticket.
    progress: Vec<Progress>,
    first_end: Option<Instant>,
    last_frame: Option<Instant>,
    last_progress: Option<Instant>,
}

impl Batch {
    pub fn add_ask(&mut self, ask: Ask) {
        self.asks.push(ask);
    }

    /// Takes an ask back, or tells the scheduler to forget it.
    pub fn cancel(&mut self, ticket: u64) {
        let before = self.asks.len();
        self.asks.retain(|ask| ask.ticket != ticket);
        if self.asks.len() == before {
            self.cancels.push(ticket);
        }
    }

    pub fn add_report(&mut self, report: BackendReport) {
        self.backends.push(report);
    }

    pub fn add_end(&mut self, organisation: CompactString, end: End, now: Instant) {
        if let Ok(at) = self.search_progress(end.ticket) {
            self.progress.remove(at);
        }
        self.first_end.get_or_insert(now);
        self.ends.push((organisation, end));
    }

    pub fn add_progress(&mut self, progress: Progress) {
        match self.search_progress(progress.ticket) {
            Ok(at) => self.progress[at] = progress,
            Err(at) => self.progress.insert(at, progress),
        }
    }

    /// When the next frame is to be sent; `None` while there is nothing to send.
    ///
    /// The first message after a pause goes at once. Ends wait longer while nothing else does.
    pub fn due(&self, settings: &PoolSettings, is_waiting: bool, now: Instant) -> Option<Instant> {
        let is_urgent = !self.asks.is_empty()
            || !self.cancels.is_empty()
            || !self.backends.is_empty()
            || (is_waiting && !self.ends.is_empty());
        let joined = self.last_frame.map(|last| last + settings.join);
        let urgent = is_urgent.then(|| joined.unwrap_or(now));
        let ends = self.first_end.map(|first| first + settings.join_ends);
        let last = self
            .last_progress
            .map(|last| last + settings.progress_interval);
        let progress = (!self.progress.is_empty()).then(|| last.unwrap_or(now));
        [urgent, ends, progress].into_iter().flatten().min()
    }

    /// Takes all messages as one frame.
    pub fn take(&mut self, now: Instant) -> RouterFrame {
        self.last_frame = Some(now);
        self.first_end = None;
        if !self.progress.is_empty() {
            self.last_progress = Some(now);
        }
        let ends = std::mem::take(&mut self.ends);
        RouterFrame {
            asks: std::mem::take(&mut self.asks),
            cancels: std::mem::take(&mut self.cancels),
            backends: std::mem::take(&mut self.backends),
            ends: ends.into_iter().map(|(_, end)| end).collect(),
            progress: std::mem::take(&mut self.progress),
            ..RouterFrame::default()
        }
    }

    /// Forgets all messages and returns the ends, with their organisations.
    pub fn clear(&mut self) -> Vec<(CompactString, End)> {
        let ends = std::mem::take(&mut self.ends);
        *self = Self::default();
        ends
    }

    fn search_progress(&self, ticket: u64) -> Result<usize, usize> {
        self.progress
            .binary_search_by_key(&ticket, |one| one.ticket)
    }
}
