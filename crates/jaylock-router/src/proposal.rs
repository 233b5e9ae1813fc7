use std::rc::Rc;
use std::time::Duration;

use futures_channel::oneshot;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Applied, Command};
use jaylock_types::RequestId;

use crate::context::Context;

/// Wait between two tries to commit a command.
const STEP: Duration = Duration::from_millis(500);

/// A command under a new identifier, at any revision.
pub fn command(body: Body) -> Command {
    Command {
        id: RequestId::random().into(),
        expected_revision: None,
        body: Some(body),
    }
}

/// Commits a command in a task that tries until control confirms it.
///
/// The router isn't drained before. The task goes on when the receiver is dropped.
pub fn commit(context: &Rc<Context>, body: Body) -> oneshot::Receiver<Applied> {
    let (done, waiting) = oneshot::channel();
    let context = context.clone();
    let busy = context.lifecycle.request_token();
    let command = command(body);
    compio::runtime::spawn(async move {
        let applied = loop {
            match context.command_log.propose(command.clone()).await {
                Ok(applied) => break applied,
                Err(error) => log::warn!(target: "router", "command {} waits: {error}", command.id),
            }
            compio::time::sleep(STEP).await;
        };
        let _ = done.send(applied);
        drop(busy);
    })
    .detach();
    waiting
}

/// Commits a command and waits for it, at most for the router's settle time.
pub async fn commit_soon(context: &Rc<Context>, body: Body) -> Option<Applied> {
    let waiting = commit(context, body);
    let limit = context.settings.settle_timeout;
    let outcome = compio::time::timeout(limit, waiting).await;
    outcome.ok()?.ok()
}
