use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::{CompactString, ToCompactString, format_compact};
use futures_util::future::LocalBoxFuture;
use jaylock_control::{ConfigView, ControlClient, Error};
use jaylock_router::{
    BodyMemory, Lifecycle, Router, new_command, routers_for, select_routers, share_by_size,
};
use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Document, DocumentReply, PromptPart};
use jaylock_share::SchedulerClient;
use jaylock_types::{ByteSize, boottime_now, long_millis, unix_ms};
use thiserror::Error as ThisError;

use crate::left_out::LeftOutLog;
use crate::pause_monitor::PauseMonitor;

/// Longest wait for control to commit or confirm an operation.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Largest configuration document.
pub const MAX_DOCUMENT: ByteSize = ByteSize(4 << 20);
/// Memory of the documents that wait for control in one instance, which holds each several times meanwhile.
pub(crate) const DOCUMENT_MEMORY: ByteSize = ByteSize(8 << 20);

/// Operations for operators, backend servers and callers that look up routers.
///
/// Programs with an interface of their own build on this type. Clones share the instance.
#[derive(Clone)]
pub struct ControlApi {
    pub(crate) client: ControlClient,
    pub(crate) view: ConfigView,
    pub(crate) schedulers: SchedulerClient,
    pub(crate) router: Rc<Router>,
    /// Where the address lists of this instance begin among all routers; differs between instances.
    pub(crate) list_offset: u64,
    /// How long callers may cache a list of addresses.
    pub(crate) address_ttl: Duration,
    /// Port to the engines' lists of cached prompt parts; when unset, no engine is queried.
    pub(crate) inventory: Option<Rc<dyn Inventory>>,
    /// Engines that were queried, sorted by identifier, each with its pool's epoch at that time.
    pub(crate) queried_engines: Rc<RefCell<Vec<(CompactString, u64)>>>,
    /// Log of entries that are left out.
    pub(crate) left_out: Rc<LeftOutLog>,
    /// Memory of the documents that wait for control.
    pub(crate) documents: BodyMemory,
    /// Pauses of this process.
    pub(crate) pauses: Rc<PauseMonitor>,
}

/// Port to the lists of prompt parts that engines have cached.
pub trait Inventory {
    /// Prompt parts that the engine at an address has cached; `None` when it returns no list.
    fn cached_parts(&self, address: SocketAddr) -> LocalBoxFuture<'_, Option<Vec<PromptPart>>>;
}

/// Why an operation failed.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum ApiError {
    /// The operation was refused as invalid.
    #[error("refused: {0}")]
    Invalid(CompactString),
    /// The operation can't be carried out or confirmed at the moment.
    #[error("not now: {0}")]
    Unavailable(CompactString),
}

/// Result of an operation of the [`ControlApi`].
pub type Result<T, E = ApiError> = std::result::Result<T, E>;

/// Addresses of routers to which a caller may connect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressList {
    /// Addresses, as IP:PORT.
    pub addresses: Vec<String>,
    /// How long the list may be cached.
    pub ttl: Duration,
}

impl ControlApi {
    /// Sets the port to the engines' lists of cached prompt parts.
    #[must_use]
    pub fn with_inventory(self, inventory: Rc<dyn Inventory>) -> Self {
        Self {
            inventory: Some(inventory),
            ..self
        }
    }

    /// Memory to reserve for a document before it is read, until control has answered.
    #[must_use]
    pub fn document_memory(&self) -> &BodyMemory {
        &self.documents
    }

    /// Replaces the configuration document unless the same or a higher version is active.
    ///
    /// # Errors
    /// [`ApiError::Invalid`] when the document is invalid; [`ApiError::Unavailable`] when the change
    /// was not confirmed, in which case it may have been committed or not.
    pub async fn put_document(&self, document: Document) -> Result<()> {
        self.check_running()?;
        let version = document.version;
        let command = new_command(Body::PutDocument(document));
        let applied = with_control_timeout(Box::pin(self.client.propose(command))).await?;
        match applied.result {
            Some(Outcome::Refused(reason)) => {
                log::warn!(target: "operator", "document version {version} is refused: {reason}");
                Err(ApiError::Invalid(reason.into()))
            }
            Some(Outcome::Done(_)) => {
                log::info!(target: "operator", "document version {version} is durable at index {}", applied.index);
                Ok(())
            }
            other => Err(ApiError::Unavailable(format_compact!(
                "control answered {other:?}"
            ))),
        }
    }

    /// Reads the newest configuration document as submitted; returns `None` before the first one.
    ///
    /// # Errors
    /// [`ApiError::Unavailable`] when control can't confirm which document is the newest.
    pub async fn read_document(&self) -> Result<Option<DocumentReply>> {
        self.check_running()?;
        let reply = with_control_timeout(self.client.read_document()).await?;
        Ok((reply.version > 0).then_some(reply))
    }

    /// Lists routers for a caller in a failure domain, only those of that domain if there are enough.
    ///
    /// `caller` is the caller's address, by which lists of routers of unequal size differ.
    ///
    /// # Errors
    /// [`ApiError::Unavailable`] while no router is known.
    pub fn routers(&self, domain: &str, caller: &str, max_count: usize) -> Result<AddressList> {
        let current = self.view.current();
        let routers = routers_for(&current, domain);
        if routers.is_empty() {
            return Err(ApiError::Unavailable("no router is known yet".into()));
        }
        let lists = unix_ms() / long_millis(self.address_ttl).max(1);
        let position = self.list_offset.wrapping_add(lists);
        let routers = select_routers(share_by_size(routers, caller), max_count, position);
        let addresses = routers.iter().map(|i| i.caller_address.clone());
        Ok(AddressList {
            addresses: addresses.collect(),
            ttl: self.address_ttl,
        })
    }

    /// Whether this instance accepts callers: its configuration is current and it is not leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.router.is_ready()
    }

    /// Progress of the instance's graceful shutdown, which waits for the calls in progress.
    #[must_use]
    pub fn lifecycle(&self) -> Rc<Lifecycle> {
        self.router.lifecycle()
    }

    /// Refuses an operation that may not end before this instance does, as another instance can carry it out.
    pub(crate) fn check_running(&self) -> Result<()> {
        if self.lifecycle().closed.is_set() {
            return Err(ApiError::Unavailable("this instance is stopping".into()));
        }
        Ok(())
    }
}

/// Runs a call to control and gives up after [`CONTROL_TIMEOUT`].
pub(crate) async fn with_control_timeout<T>(
    call: impl Future<Output = jaylock_control::Result<T>>,
) -> Result<T> {
    let started = boottime_now();
    let outcome = compio::time::timeout(CONTROL_TIMEOUT, call).await;
    let waited = boottime_now() - started;
    match outcome {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(Error::Refused(reason))) => Err(ApiError::Invalid(reason.into())),
        Ok(Err(error)) => Err(ApiError::Unavailable(error.to_compact_string())),
        Err(_) => Err(ApiError::Unavailable(format_compact!(
            "control did not answer within {waited:?}"
        ))),
    }
}
