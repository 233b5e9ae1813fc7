use std::rc::Rc;
use std::time::Duration;

use futures_channel::oneshot;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Applied, Command};
use jaylock_types::RequestId;

use crate::context::Context;

/// Delay between two attempts to commit a command.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Creates a command with a new identifier, which is valid at any revision of the configuration.
#[must_use]
pub fn new_command(body: Body) -> Command {
    Command {
        id: RequestId::random().into(),
        expected_revision: None,
        body: Some(body),
    }
}

/// Commits a command in a task that retries until control confirms it.
///
/// The router counts as drained only after the confirmation. The task continues when the receiver is
/// dropped.
pub fn commit_in_background(context: &Rc<Context>, body: Body) -> oneshot::Receiver<Applied> {
    let (sender, receiver) = oneshot::channel();
    let context = context.clone();
    let request_token = context.lifecycle.request_token();
    let command = new_command(body);
    compio::runtime::spawn(async move {
        let applied = loop {
            match context.command_log.propose(command.clone()).await {
                Ok(applied) => break applied,
                Err(error) => log::warn!(target: "router", "command {} is not committed yet, retrying: {error}", command.id),
            }
            compio::time::sleep(RETRY_DELAY).await;
        };
        let _ = sender.send(applied);
        drop(request_token);
    })
    .detach();
    receiver
}

/// Commits a command and waits at most `commit_timeout` for its confirmation.
pub async fn commit_with_timeout(context: &Rc<Context>, body: Body) -> Option<Applied> {
    let receiver = commit_in_background(context, body);
    let timeout = context.settings.commit_timeout;
    let outcome = compio::time::timeout(timeout, receiver).await;
    outcome.ok()?.ok()
}
