use std::cell::RefCell;
use std::time::{Duration, Instant};

use jaylock_rpc::v1::BackendReport;

use crate::report::{InvalidReport, check_report};

/// Backend servers that announced themselves to this router, sorted by identifier.
#[derive(Default)]
pub struct Backends {
    entries: RefCell<Vec<Entry>>,
}

struct Entry {
    report: BackendReport,
    last_report: Instant,
}

impl Backends {
    /// Accepts an announcement, unless another process or a later incarnation holds its identifier.
    #[must_use = "an announcement with a held identifier is rejected"]
    pub fn accept(&self, report: &BackendReport, lease: Duration) -> bool {
        let mut entries = self.entries.borrow_mut();
        entries.retain(|e| e.last_report.elapsed() <= lease);
        let entry = Entry {
            report: report.clone(),
            last_report: Instant::now(),
        };
        match entries.binary_search_by(|e| e.report.id.cmp(&report.id)) {
            Ok(index) if is_held(&entries[index].report, report) => return false,
            Ok(index) => entries[index] = entry,
            Err(index) => entries.insert(index, entry),
        }
        true
    }

    /// Changes the report of a backend server and returns it.
    ///
    /// Returns `None` when the backend server has not announced this incarnation.
    ///
    /// # Errors
    /// The changed report is invalid; the report stays as it was.
    pub fn update(
        &self,
        id: &str,
        incarnation: u64,
        change: impl FnOnce(&mut BackendReport),
    ) -> Result<Option<BackendReport>, InvalidReport> {
        let mut entries = self.entries.borrow_mut();
        let Some(index) = position(&entries, id, incarnation) else {
            return Ok(None);
        };
        let mut report = entries[index].report.clone();
        change(&mut report);
        check_report(&report)?;
        entries[index] = Entry {
            report: report.clone(),
            last_report: Instant::now(),
        };
        Ok(Some(report))
    }

    /// Removes a backend server that leaves and returns its report.
    ///
    /// Returns `None` when the backend server has not announced this incarnation.
    pub fn remove(&self, id: &str, incarnation: u64) -> Option<BackendReport> {
        let mut entries = self.entries.borrow_mut();
        let index = position(&entries, id, incarnation)?;
        let mut report = entries.remove(index).report;
        report.leaving = true;
        Some(report)
    }
}

/// Whether another process, or a later incarnation of the same one, holds the identifier.
fn is_held(current: &BackendReport, report: &BackendReport) -> bool {
    current.token_hash != report.token_hash || current.incarnation > report.incarnation
}

fn position(entries: &[Entry], id: &str, incarnation: u64) -> Option<usize> {
    let search = entries.binary_search_by(|e| e.report.id.as_str().cmp(id));
    let search = search.ok();
    search.filter(|index| entries[*index].report.incarnation == incarnation)
}
