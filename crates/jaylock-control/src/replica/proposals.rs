use std::time::Duration;

use futures_channel::oneshot;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Applied, Command, Noop};
use prost::Message;
use tonic::Status;

use super::core::Pending;
use super::{RequestError, Shared};
use crate::state::{check_shared_keys, is_operator_change, validate};

/// Size of a command from which its document is checked on another thread.
const LARGE_BYTES: usize = 64 << 10;
/// Time between two looks whether the leader holds its lease again.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Whether the document of a command can become active; the error says why not.
type Validity = Result<(), String>;

impl Shared {
    /// Commits a command and returns its result.
    ///
    /// A large document is checked on another thread and only by the leader, as heartbeats and leases don't wait meanwhile.
    pub async fn submit(&self, command: Command) -> Result<Applied, RequestError> {
        if !self.is_leader() {
            return Err(self.not_leader());
        }
        if command.encoded_len() >= LARGE_BYTES {
            return self.submit_large(command).await;
        }
        let (command, validity) = check(command)?;
        self.submit_checked(command, validity).await
    }

    async fn submit_large(&self, command: Command) -> Result<Applied, RequestError> {
        // One after the other, as who gets no answer in time sends a document again.
        let check_guard = self.check_lock.lock().await;
        if let Some(applied) = self.first_result(&command) {
            return Ok(applied);
        }
        let (command, validity) = check_separately(command).await?;
        drop(check_guard);
        self.regain_lease().await;
        self.submit_checked(command, validity).await
    }

    async fn submit_checked(
        &self,
        command: Command,
        validity: Validity,
    ) -> Result<Applied, RequestError> {
        if let Some(applied) = self.known_result(&command, &validity) {
            return Ok(applied);
        }
        let waiting_bytes = {
            let core = self.core.borrow();
            core.log.bytes_after(core.commit_index)
        };
        if self.holds_lease() && waiting_bytes >= self.max_waiting_bytes(&command) {
            return Err(too_many_commands());
        }
        self.submit_unbounded(command).await
    }

    fn is_leader(&self) -> bool {
        self.core.borrow().leader_state().is_some()
    }

    /// Waits until a leader that was busy with a large document holds its lease again, or has stepped down.
    async fn regain_lease(&self) {
        while self.is_leader() && !self.holds_lease() {
            compio::time::sleep(LEASE_POLL_INTERVAL).await;
        }
    }

    fn first_result(&self, command: &Command) -> Option<Applied> {
        let is_readable = self.can_serve_reads();
        let first = || self.core.borrow().state.first_result(command);
        is_readable.then(first).flatten()
    }

    fn known_result(&self, command: &Command, validity: &Validity) -> Option<Applied> {
        let is_readable = self.can_serve_reads();
        let known = || self.core.borrow().state.known_result(command, validity);
        is_readable.then(known).flatten()
    }

    /// Commits a command that the leader itself creates.
    ///
    /// It is not refused for the size of the entries that wait: they may do so for a command of the new leader's term.
    pub async fn submit_body(&self, body: Body) -> Result<Applied, RequestError> {
        self.submit_unbounded(own_command(body)).await
    }

    /// Commits the first entry of a leader's term, also while the leader lease has lapsed.
    pub async fn open_term(&self) -> Result<Applied, RequestError> {
        self.commit(own_command(Body::Noop(Noop {}))).await
    }

    async fn submit_unbounded(&self, command: Command) -> Result<Applied, RequestError> {
        if !self.holds_lease() {
            return Err(self.not_leader());
        }
        self.commit(command).await
    }

    async fn commit(&self, command: Command) -> Result<Applied, RequestError> {
        let receiver = self.enqueue(command)?;
        self.activity.notify();
        receiver.await.map_err(|_| self.not_leader())
    }

    fn enqueue(&self, command: Command) -> Result<oneshot::Receiver<Applied>, RequestError> {
        let mut core = self.core.borrow_mut();
        if core.pending.len() >= self.settings.max_pending_commands {
            return Err(too_many_commands());
        }
        let index = core.append_command(command);
        let (sender, receiver) = oneshot::channel();
        core.pending.push_back(Pending { index, sender });
        Ok(receiver)
    }

    /// Size in bytes of the uncommitted entries at which a command is refused.
    fn max_waiting_bytes(&self, command: &Command) -> u64 {
        let max = self.settings.max_pending_bytes;
        let is_operators = command.body.as_ref().is_some_and(is_operator_change);
        if is_operators { max / 2 } else { max }
    }
}

/// Checks the document of a command; the error says why it must not come into the log at all.
fn check(command: Command) -> Result<(Command, Validity), RequestError> {
    let Some(Body::PutDocument(document)) = &command.body else {
        return Ok((command, Ok(())));
    };
    let invalid = |reason| RequestError::Failed(Status::invalid_argument(reason));
    check_shared_keys(document).map_err(invalid)?;
    let validity = validate(document);
    Ok((command, validity))
}

/// Checks the document of a command on another thread.
async fn check_separately(command: Command) -> Result<(Command, Validity), RequestError> {
    let checking = compio::runtime::spawn_blocking(move || check(command)).await;
    let stopped = |_| Status::unavailable("the check of a document was stopped: send it again");
    checking.map_err(stopped).map_err(RequestError::Failed)?
}

fn own_command(body: Body) -> Command {
    Command {
        id: uuid::Uuid::now_v7().simple().to_string(),
        expected_revision: None,
        body: Some(body),
    }
}

fn too_many_commands() -> RequestError {
    RequestError::Failed(Status::resource_exhausted(
        "too many commands wait for the disks: ask again in a second",
    ))
}
