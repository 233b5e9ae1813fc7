use futures_channel::oneshot;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Applied, Command, Noop};
use tonic::Status;

use super::core::Pending;
use super::{RequestError, Shared};
use crate::state::is_operator_change;

impl Shared {
    /// Commits a command and returns its result.
    pub async fn submit(&self, command: Command) -> Result<Applied, RequestError> {
        if let Some(applied) = self.known_result(&command) {
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

    fn known_result(&self, command: &Command) -> Option<Applied> {
        if !self.can_serve_reads() {
            return None;
        }
        self.core.borrow().state.known_result(command)
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
