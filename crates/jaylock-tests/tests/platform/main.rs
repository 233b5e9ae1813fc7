//! The platform's calls and requests, tested with real processes on loopback.

mod body_memory;
mod broken_responses;
mod crashes;
mod decoding;
mod descriptors;
mod document_histories;
mod documents;
mod endless;
mod exclusions;
mod file_limits;
mod harness;
mod inventory;
mod lifecycle;
mod odd_documents;
mod odd_entries;
mod rate_limits;
mod real_process_soak;
mod refusals;
mod repeated_refusals;
mod replacements;
mod requests;
mod shutdown;
mod signals;
mod software_versions;
mod starts;
mod streams;
