use std::time::Duration;

use jaylock_control::{KeyRequirement, key_requirement};
use jaylock_router::new_command;
use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Command, Configuration};
use jaylock_types::Index;

use crate::api::{ApiError, ControlApi, Result, with_control_timeout};

/// Time between two attempts to find out whether callers need a key.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

impl ControlApi {
    /// Records whether callers need a key wherever an earlier release left that open, until the future is dropped.
    ///
    /// `requires_keys` returns what the text of a document says, or `None` if it can't tell. Routes refuse their callers
    /// meanwhile, as an operator may have taken all keys away.
    pub async fn recover_key_requirement(&self, requires_keys: impl Fn(&[u8]) -> Option<bool>) {
        let mut index = Index(0);
        loop {
            let configuration = self.view.wait_newer_than(index).await;
            index = Index(configuration.index);
            while key_requirement(&self.view.current()) == KeyRequirement::Unknown {
                let configuration = self.view.current();
                if let Err(error) = self
                    .record_requirement(&configuration, &requires_keys)
                    .await
                {
                    log::warn!(
                        target: "operator", version = configuration.document_version;
                        "callers of routes are refused, as it is not known whether they need a key: {error}"
                    );
                }
                compio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }

    /// Records what the text of the active document says, unless an operator changes the configuration meanwhile.
    async fn record_requirement(
        &self,
        configuration: &Configuration,
        requires_keys: impl Fn(&[u8]) -> Option<bool>,
    ) -> Result<()> {
        let document = with_control_timeout(self.client.read_document()).await?;
        let is_same = document.version == configuration.document_version;
        let is_required = requires_keys(&document.source).filter(|_| is_same);
        let is_required = is_required.ok_or_else(|| {
            ApiError::Invalid(
                "the document does not tell: use \"jaylock config require-keys\"".into(),
            )
        })?;
        let command = Command {
            expected_revision: Some(configuration.revision),
            ..new_command(Body::RequireKeys(is_required))
        };
        let applied = with_control_timeout(Box::pin(self.client.propose(command))).await?;
        if let Some(Outcome::Done(_)) = applied.result {
            log::info!(
                target: "operator",
                version = document.version, required = is_required;
                "recorded whether callers of routes need a key, as an earlier release did not"
            );
        }
        Ok(())
    }
}
