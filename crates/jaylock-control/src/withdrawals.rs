use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::Instance;

/// Time for which a withdrawal is allowed; an instance that is still overloaded asks again before it ends.
pub const WITHDRAWAL_TIME: Duration = Duration::from_millis(2500);
/// Part of the instances that serve callers which may be withdrawn at a time, rounded up.
const MAX_WITHDRAWN_DIVISOR: usize = 8;

/// The overloaded instances that send callers to others, which only the leader tracks, in memory.
///
/// The load that this answers: many instances are overloaded at once. If all of them sent their callers elsewhere, none
/// would be left to serve them.
#[derive(Debug, Default)]
pub struct Withdrawals {
    /// Sorted by instance.
    allowed: Vec<Withdrawal>,
    /// When all withdrawals that earlier leaders allowed have ended.
    starts_at: Option<Instant>,
}

#[derive(Debug)]
struct Withdrawal {
    instance: CompactString,
    until: Instant,
}

impl Withdrawals {
    /// Forgets all withdrawals as a term as leader begins; none is allowed while those of earlier leaders last.
    pub fn reset(&mut self, now: Instant) {
        self.allowed.clear();
        self.starts_at = Some(now + WITHDRAWAL_TIME);
    }

    /// Allows an instance to send its callers to others for [`WITHDRAWAL_TIME`], unless too many of those that serve
    /// callers do.
    pub fn allow(&mut self, serving: &[&Instance], id: &str, now: Instant) -> bool {
        self.allowed.retain(|w| w.until > now);
        let has_started = self.starts_at.is_some_and(|at| at <= now);
        if !has_started || !self.has_room(serving, id) {
            return false;
        }
        let withdrawal = Withdrawal {
            instance: id.into(),
            until: now + WITHDRAWAL_TIME,
        };
        match self.position(id) {
            Ok(index) => self.allowed[index] = withdrawal,
            Err(index) => self.allowed.insert(index, withdrawal),
        }
        true
    }

    /// Ends the withdrawal of an instance.
    pub fn end(&mut self, id: &str) {
        if let Ok(index) = self.position(id) {
            self.allowed.remove(index);
        }
    }

    /// Whether an instance may withdraw beside the others, and leaves one in its failure domain.
    fn has_room(&self, serving: &[&Instance], id: &str) -> bool {
        let Some(own) = serving.iter().find(|i| i.id == id) else {
            return false;
        };
        // One that is silent or leaving may still be withdrawn.
        let withdrawn = self.allowed.iter().filter(|w| w.instance != id).count();
        let is_present = |i: &&&Instance| i.id != id && self.position(&i.id).is_err();
        let mut present = serving.iter().filter(is_present);
        let max = serving.len().div_ceil(MAX_WITHDRAWN_DIVISOR);
        withdrawn < max && present.any(|i| i.domain == own.domain)
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.allowed
            .binary_search_by(|w| w.instance.as_str().cmp(id))
    }
}
