use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, ToCompactString, format_compact};
use futures_util::future::LocalBoxFuture;
use jaylock_control::{ConfigView, ControlClient, Error};
use jaylock_router::{Router, routers_for};
use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::backend_report::Kind;
use jaylock_rpc::v1::{
    BackendReport, BackendVerdict, Command, Document, DocumentReply, PromptPart, command,
};
use jaylock_share::SchedulerClient;
use jaylock_types::{BackendId, InvalidId, PoolId, RequestId, boot_now, unix_ms};
use thiserror::Error as ThisError;

/// Longest wait for control to commit or confirm something that a person or program waits for.
const CONTROL_WAIT: Duration = Duration::from_millis(2500);
/// Longest wait for a scheduler's word on a backend server.
const VERDICT_WAIT: Duration = Duration::from_millis(800);
/// Time between two looks for that word.
const VERDICT_STEP: Duration = Duration::from_millis(5);

/// What an instance does for operators, backend servers and callers who look for addresses.
///
/// Interfaces of other forms than jaylock's own are built on it; clones share the instance.
#[derive(Clone)]
pub struct ControlApi {
    pub(crate) client: ControlClient,
    pub(crate) view: ConfigView,
    pub(crate) pools: SchedulerClient,
    pub(crate) router: Rc<Router>,
    /// How long callers may keep a list of addresses.
    pub(crate) keep: Duration,
    /// How engines tell what they keep; nobody asks them without one.
    pub(crate) inventory: Option<Rc<dyn Inventory>>,
    /// Engines that were asked, each with the pool's epoch for which it was.
    pub(crate) asked: Rc<RefCell<Vec<(CompactString, u64)>>>,
}

/// Port to the lists that engines give of the parts of prompts that they keep.
pub trait Inventory {
    /// What the engine at an address keeps; none when it does not say.
    fn kept(&self, address: SocketAddr) -> LocalBoxFuture<'_, Option<Vec<PromptPart>>>;
}

/// Why something was not done.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum ApiError {
    /// It can't be done as it was asked.
    #[error("refused: {0}")]
    Invalid(CompactString),
    /// It can't be done, or can't be confirmed, at the moment.
    #[error("not now: {0}")]
    NotNow(CompactString),
}

/// Outcome of a call of the [`ControlApi`].
pub type Result<T, E = ApiError> = std::result::Result<T, E>;

/// Where a caller may connect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressList {
    /// Addresses of routers, as IP:PORT.
    pub addresses: Vec<String>,
    /// How long the list may be kept.
    pub keep: Duration,
}

impl ControlApi {
    /// Lets engines be asked what they keep.
    #[must_use]
    pub fn with_inventory(self, inventory: Rc<dyn Inventory>) -> Self {
        Self {
            inventory: Some(inventory),
            ..self
        }
    }

    /// Puts a whole configuration in force, unless one of its version or a higher one is.
    ///
    /// # Errors
    /// [`ApiError::Invalid`] when it can't be in force; [`ApiError::NotNow`] when it was not
    /// confirmed, and it may be in force or not.
    pub async fn put_document(&self, document: Document) -> Result<()> {
        let version = document.version;
        let command = Command {
            id: RequestId::random().into(),
            expected_revision: None,
            body: Some(command::Body::PutDocument(document)),
        };
        let applied = limited(Box::pin(self.client.propose(command))).await?;
        match applied.result {
            Some(Outcome::Refused(reason)) => {
                log::warn!(target: "operator", "document version {version} is refused: {reason}");
                Err(ApiError::Invalid(reason.into()))
            }
            Some(Outcome::Done(_)) => {
                log::info!(target: "operator", "document version {version} is durable at index {}", applied.index);
                Ok(())
            }
            other => Err(ApiError::NotNow(format_compact!(
                "control answered {other:?}"
            ))),
        }
    }

    /// The newest whole configuration as its author wrote it; none before the first one.
    ///
    /// # Errors
    /// [`ApiError::NotNow`] when nobody can confirm which one is the newest.
    pub async fn read_document(&self) -> Result<Option<DocumentReply>> {
        let reply = limited(self.client.read_document()).await?;
        Ok((reply.version > 0).then_some(reply))
    }

    /// The routers for a caller in a failure domain, those of that domain alone where they are enough.
    ///
    /// # Errors
    /// [`ApiError::NotNow`] while no router is known.
    pub fn routers(&self, domain: &str, most: usize) -> Result<AddressList> {
        let current = self.view.current();
        let routers = routers_for(&current, domain);
        if routers.is_empty() {
            return Err(ApiError::NotNow("no router is known yet".into()));
        }
        let addresses = routers.iter().take(most).map(|i| i.caller_address.clone());
        Ok(AddressList {
            addresses: addresses.collect(),
            keep: self.keep,
        })
    }

    /// Whether this instance takes callers: it knows the newest configuration and stays.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.router.is_ready()
    }

    /// Passes on what a backend server says of itself, and waits until the scheduler knows it.
    ///
    /// # Errors
    /// [`ApiError::Invalid`] when the scheduler refuses it; [`ApiError::NotNow`] when it did not
    /// answer in time.
    pub async fn report(&self, report: BackendReport) -> Result<()> {
        let pool = report.pool.parse().map_err(|e| invalid(&e))?;
        self.tell_kept(&report);
        let (id, incarnation, sequence) = (report.id.clone(), report.incarnation, report.sequence);
        self.pools.report(report);
        self.judged(
            &pool,
            |verdict| {
                verdict.backend == id
                    && (verdict.incarnation, verdict.sequence) >= (incarnation, sequence)
            },
            &id,
        )
        .await
    }

    /// Asks an engine what it keeps, once for each scheduler, and passes that on.
    ///
    /// A new scheduler would else take every engine for empty and have shared parts read again.
    fn tell_kept(&self, report: &BackendReport) {
        let configuration = self.view.current();
        let lease = configuration.pools.iter().find(|l| l.pool == report.pool);
        let (Some(inventory), Some(lease)) = (self.inventory.clone(), lease) else {
            return;
        };
        let Ok(address) = report.address.parse() else {
            return;
        };
        if report.kind() != Kind::Engine || !self.is_first_ask(&report.id, lease.epoch) {
            return;
        }
        let (pools, report) = (self.pools.clone(), report.clone());
        compio::runtime::spawn(async move {
            let Some(kept) = inventory.kept(address).await else {
                log::info!(target: "share", backend = report.id.as_str(); "engine does not say what it keeps");
                return;
            };
            log::info!(target: "share", backend = report.id.as_str(), parts = kept.len(); "engine says what it keeps");
            pools.report(BackendReport { kept, ..report });
        })
        .detach();
    }

    /// Notes that an engine is asked for the scheduler of an epoch; false when it was before.
    fn is_first_ask(&self, id: &str, epoch: u64) -> bool {
        let mut asked = self.asked.borrow_mut();
        let at = asked.binary_search_by(|(known, _)| known.as_str().cmp(id));
        match at {
            Ok(at) if asked[at].1 == epoch => return false,
            Ok(at) => asked[at].1 = epoch,
            Err(at) => asked.insert(at, (id.into(), epoch)),
        }
        true
    }

    /// Passes on that a backend server ends, to every pool, for it does not say its own.
    ///
    /// # Errors
    /// [`ApiError::NotNow`] when a scheduler did not answer in time.
    pub async fn end_backend(&self, id: &BackendId) -> Result<()> {
        let sequence = unix_ms();
        let configuration = self.view.current();
        let pools = configuration.services.iter().map(|s| s.id.parse());
        let pools: Vec<PoolId> = pools.collect::<Result<_, _>>().map_err(|e| invalid(&e))?;
        for pool in &pools {
            self.pools.report(BackendReport {
                id: id.to_string(),
                pool: pool.to_string(),
                sequence,
                gone: true,
                ..BackendReport::default()
            });
        }
        for pool in &pools {
            self.judged(pool, |v| v.sequence == sequence, id.as_str())
                .await?;
        }
        Ok(())
    }

    /// Waits until the scheduler of a pool has judged a report.
    async fn judged(
        &self,
        pool: &PoolId,
        is_about: impl Fn(&BackendVerdict) -> bool,
        id: &str,
    ) -> Result<()> {
        let asked = Instant::now();
        while asked.elapsed() < VERDICT_WAIT {
            match self.pools.verdict_in(pool, id).filter(|v| is_about(v)) {
                Some(verdict) if verdict.refused.is_empty() => return Ok(()),
                Some(verdict) => return Err(ApiError::Invalid(verdict.refused.into())),
                None => compio::time::sleep(VERDICT_STEP).await,
            }
        }
        Err(ApiError::NotNow("the scheduler does not answer".into()))
    }
}

fn invalid(error: &InvalidId) -> ApiError {
    ApiError::Invalid(error.to_compact_string())
}

/// Gives up on control after a while.
async fn limited<T>(call: impl Future<Output = jaylock_control::Result<T>>) -> Result<T> {
    let started = boot_now();
    let outcome = compio::time::timeout(CONTROL_WAIT, call).await;
    let waited = boot_now() - started;
    match outcome {
        Ok(Ok(given)) => Ok(given),
        Ok(Err(Error::Refused(reason))) => Err(ApiError::Invalid(reason.into())),
        Ok(Err(error)) => Err(ApiError::NotNow(error.to_compact_string())),
        Err(_) => Err(ApiError::NotNow(format_compact!(
            "control did not answer within {waited:?}"
        ))),
    }
}
