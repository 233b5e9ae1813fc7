use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::{Ask, Grant, Running};
use jaylock_types::StreamId;

use crate::backends::requirement::Requirement;
use crate::client::fallback::SpareSlot;
use crate::crashes::causes::Causes;
use crate::streams::stream_origins::stream_of;

/// A slot that the router holds.
#[derive(Debug)]
pub struct HeldSlot {
    pub ticket: u64,
    pub organisation: CompactString,
    pub backend: CompactString,
    pub address: CompactString,
    pub incarnation: u64,
    /// When the grant arrived.
    pub granted_at: Instant,
    pub software: CompactString,
    /// Failure domain of the backend server.
    pub domain: CompactString,
    pub requirement: Requirement,
    /// Service so far, in tokens.
    pub tokens: u64,
    pub is_isolated: bool,
    /// Time for which the end of the run may be held back.
    pub report_delay: Duration,
    pub reported_tokens: u64,
    /// What the request shares with others and may crash backend servers.
    pub causes: Causes,
    /// Stream that the request begins or continues, if it has an identifier.
    pub stream: Option<StreamId>,
}

impl HeldSlot {
    /// The slot that is granted to a request.
    pub fn new(ask: &Ask, grant: &Grant, now: Instant) -> Self {
        Self {
            ticket: grant.ticket,
            organisation: ask.organisation.as_str().into(),
            backend: grant.backend.as_str().into(),
            address: grant.address.as_str().into(),
            incarnation: grant.incarnation,
            granted_at: now,
            software: grant.software.as_str().into(),
            domain: grant.domain.as_str().into(),
            requirement: Requirement::from_ask(ask),
            tokens: 0,
            is_isolated: ask.alone,
            report_delay: Duration::from_millis(grant.report_delay_ms.into()),
            reported_tokens: 0,
            causes: Causes::from_ask(ask),
            stream: stream_of(ask),
        }
    }

    /// The run in this slot, for a new scheduler.
    pub fn running(&self) -> Running {
        Running {
            ticket: self.ticket,
            backend: self.backend.as_str().into(),
            organisation: self.organisation.as_str().into(),
            tokens: self.tokens,
            alone: self.is_isolated,
            causes: self.causes.iter().collect(),
            stream: self.stream.unwrap_or(StreamId::UNNAMED).0,
            software: self.software.as_str().into(),
        }
    }

    /// Returns the slot of an ended run.
    pub fn into_spare_slot(self) -> SpareSlot {
        SpareSlot {
            backend: self.backend,
            address: self.address,
            incarnation: self.incarnation,
            software: self.software,
            domain: self.domain,
            requirement: self.requirement,
        }
    }
}
