use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use jaylock_rpc::v1::operator_client::OperatorClient;
use jaylock_rpc::{Channel, ChannelSettings, v1, with_timeout};
use jaylock_types::Secret;
use tonic::Status;

use crate::arguments;
use crate::failure::{Failure, Result, final_failure};

/// A connection to the operators' service of one instance.
pub type Client = OperatorClient<Channel>;

/// The fleet as the tool reaches it, and the options that every command shares.
pub struct Session {
    channels: Vec<Channel>,
    timeout: Duration,
    /// Command id that the operator gave.
    pub command_id: Option<String>,
    /// Revision that the operator has read.
    pub expect: Option<u64>,
}

impl Session {
    /// Takes the options from the command line; nothing is sent yet.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self> {
        let secret = matches.get_one::<String>(arguments::SECRET);
        let secret = secret.ok_or_else(|| {
            Failure::Usage("give the operators' secret with --secret or JAYLOCK_SECRET".into())
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
            expect: matches.get_one(arguments::EXPECT).copied(),
        })
    }

    /// When this command gives up.
    pub fn end(&self) -> Instant {
        Instant::now() + self.timeout
    }

    /// Makes a call at one instance after the other until one answers.
    ///
    /// The call may be made more than once, so it must bear repeating.
    pub async fn call<T>(
        &self,
        call: impl AsyncFn(Client) -> Result<tonic::Response<T>, Status>,
    ) -> Result<T> {
        let end = self.end();
        let mut reason = String::from("no instance was given");
        loop {
            for channel in &self.channels {
                let left = end.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(Failure::NotReached { reason });
                }
                let client = Client::new(channel.clone()).max_decoding_message_size(LARGEST_REPLY);
                let answer = with_timeout(left.min(ATTEMPT_TIMEOUT), call(client)).await;
                let status = match answer {
                    Ok(response) => return Ok(response.into_inner()),
                    Err(status) => status,
                };
                if let Some(failure) = final_failure(&status) {
                    return Err(failure);
                }
                reason = format!("{}: {}", channel.address(), status.message());
            }
            compio::time::sleep(ROUND_PAUSE).await;
        }
    }

    /// The newest configuration, confirmed by a majority of the replicas.
    pub async fn configuration(&self) -> Result<v1::Configuration> {
        self.call(async |mut client| client.get_configuration(v1::ReadRequest {}).await)
            .await
    }
}

/// Time for one instance to answer before another one is asked.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after all instances were asked in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Largest answer, in bytes.
const LARGEST_REPLY: usize = 64 << 20;
