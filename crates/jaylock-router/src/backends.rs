use std::cell::RefCell;
use std::time::{Duration, Instant};

use jaylock_rpc::v1::BackendReport;

/// The backend servers that announced themselves at this router, sorted by identifier.
#[derive(Default)]
pub struct Backends {
    known: RefCell<Vec<Known>>,
}

struct Known {
    report: BackendReport,
    heard: Instant,
}

impl Backends {
    /// Takes an announcement, unless its identifier belongs to another process or a later start.
    #[must_use = "an identifier that is held is not taken"]
    pub fn accept(&self, report: &BackendReport, lease: Duration) -> bool {
        let mut known = self.known.borrow_mut();
        known.retain(|k| k.heard.elapsed() <= lease);
        let fresh = Known {
            report: report.clone(),
            heard: Instant::now(),
        };
        match known.binary_search_by(|k| k.report.id.cmp(&report.id)) {
            Ok(at) if is_held(&known[at].report, report) => return false,
            Ok(at) => known[at] = fresh,
            Err(at) => known.insert(at, fresh),
        }
        true
    }

    /// Changes what is known of a backend server; none when it has not announced this start.
    pub fn update(
        &self,
        id: &str,
        incarnation: u64,
        change: impl FnOnce(&mut BackendReport),
    ) -> Option<BackendReport> {
        let mut known = self.known.borrow_mut();
        let at = position(&known, id, incarnation)?;
        let entry = &mut known[at];
        entry.heard = Instant::now();
        change(&mut entry.report);
        Some(entry.report.clone())
    }

    /// Forgets a backend server that leaves; none when it has not announced this start.
    pub fn remove(&self, id: &str, incarnation: u64) -> Option<BackendReport> {
        let mut known = self.known.borrow_mut();
        let at = position(&known, id, incarnation)?;
        let mut report = known.remove(at).report;
        report.leaving = true;
        Some(report)
    }
}

/// Whether an identifier belongs to another process, or to a later start of the same one.
fn is_held(known: &BackendReport, report: &BackendReport) -> bool {
    known.token_hash != report.token_hash || known.incarnation > report.incarnation
}

fn position(known: &[Known], id: &str, incarnation: u64) -> Option<usize> {
    let found = known.binary_search_by(|k| k.report.id.as_str().cmp(id));
    let found = found.ok();
    found.filter(|at| known[*at].report.incarnation == incarnation)
}
