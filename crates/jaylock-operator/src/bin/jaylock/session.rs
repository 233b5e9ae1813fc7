use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use jaylock_rpc::v1::operator_client::OperatorClient;
use jaylock_rpc::{Channel, ChannelSettings, v1, with_timeout};
use jaylock_types::Secret;
use tonic::Status;

use crate::arguments;
use crate::error::{Error, Result, final_error};

/// A client of the operators' service of an instance.
pub type Client = OperatorClient<Channel>;

/// Access to the instances of a fleet, with the options that all commands share.
pub struct Session {
    channels: Vec<Channel>,
    timeout: Duration,
    /// Command id given by the operator.
    pub command_id: Option<String>,
    /// Revision that a change expects, given by the operator.
    pub expected_revision: Option<u64>,
}

impl Session {
    /// Reads the options from the command line; opens no connection.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self> {
        let secret = matches.get_one::<String>(arguments::SECRET);
        let secret = secret.ok_or_else(|| {
            Error::Usage(
                "the operators' secret is missing: give it with --secret or JAYLOCK_SECRET".into(),
            )
        })?;
        let settings = ChannelSettings {
            secret: Secret::new(secret),
            ..Default::default()
        };
        let addresses = matches.get_many::<SocketAddr>(arguments::INSTANCE);
        let channels = addresses
            .unwrap_or_default()
            .map(|address| Channel::new(*address, settings.clone()));
        let timeout = matches.get_one::<Duration>(arguments::TIMEOUT);
        Ok(Self {
            channels: channels.collect(),
            timeout: timeout.copied().unwrap_or(arguments::DEFAULT_TIMEOUT),
            command_id: matches.get_one(arguments::COMMAND_ID).cloned(),
            expected_revision: matches.get_one(arguments::EXPECT).copied(),
        })
    }

    /// When the command times out, if it starts now.
    pub fn deadline(&self) -> Instant {
        Instant::now() + self.timeout
    }

    /// Calls one instance after the other until one replies.
    ///
    /// The call may be made several times, so it must be idempotent.
    pub async fn call<T>(
        &self,
        call: impl AsyncFn(Client) -> Result<tonic::Response<T>, Status>,
    ) -> Result<T> {
        let deadline = self.deadline();
        let mut reason = String::from("no instance was given");
        loop {
            for channel in &self.channels {
                let remaining = deadline.saturating_duration_since(Instant::now());
                if remaining.is_zero() {
                    return Err(Error::NotReached { reason });
                }
                let client =
                    Client::new(channel.clone()).max_decoding_message_size(MAX_REPLY_BYTES);
                let outcome = with_timeout(remaining.min(ATTEMPT_TIMEOUT), call(client)).await;
                let status = match outcome {
                    Ok(response) => return Ok(response.into_inner()),
                    Err(status) => status,
                };
                if let Some(error) = final_error(&status) {
                    return Err(error);
                }
                reason = format!("{}: {}", channel.address(), status.message());
            }
            compio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// The newest configuration, confirmed by a majority of the replicas.
    pub async fn configuration(&self) -> Result<v1::Configuration> {
        self.call(async |mut client| client.get_configuration(v1::ReadRequest {}).await)
            .await
    }
}

/// Timeout of a call to one instance, after which the next one is called.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before all instances are called again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum size of a reply.
const MAX_REPLY_BYTES: usize = 64 << 20;
