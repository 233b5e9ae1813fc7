use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of an identifier, in bytes.
const MAX_ID_BYTES: usize = 64;

/// An error for text that is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "\"{text}\" is no {kind} name: use 1 to 64 letters, digits, dots, dashes, underscores or colons"
)]
pub struct InvalidId {
    kind: &'static str,
    text: CompactString,
}

macro_rules! identifier {
    ($($(#[$doc:meta])* $name:ident: $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// The identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidId;

            fn from_str(text: &str) -> Result<Self, InvalidId> {
                if is_identifier(text) {
                    return Ok(Self(text.into()));
                }
                Err(InvalidId { kind: $kind, text: text.into() })
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = InvalidId;

            fn try_from(text: CompactString) -> Result<Self, InvalidId> {
                text.parse()
            }
        }

        impl From<$name> for CompactString {
            fn from(id: $name) -> Self {
                id.0
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.into()
            }
        }
    )*};
}

identifier! {
    /// Identifies a customer.
    OrganisationId: "organisation";
    /// Identifies a process of the fleet.
    InstanceId: "instance";
    /// Identifies a set of machines that fail together.
    DomainId: "failure domain";
    /// Identifies a backend server: a model engine or a plain service's replica.
    BackendId: "backend server";
    /// Identifies a pool: the backend servers that one scheduler allocates.
    PoolId: "pool";
    /// Identifies a model.
    ModelId: "model";
    /// Identifies a version of a model or adapter.
    VersionId: "version";
    /// Identifies an adapter on top of a model.
    AdapterId: "adapter";
    /// Identifies a plain service.
    ServiceId: "service";
    /// Identifies a route.
    RouteId: "route";
    /// Identifies one request of a caller across all its attempts.
    RequestId: "request";
}

impl RequestId {
    /// Creates a unique identifier.
    #[must_use]
    pub fn random() -> Self {
        Self(uuid::Uuid::now_v7().simple().to_string().into())
    }
}

fn is_identifier(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b".-_:".contains(&b);
    !text.is_empty() && text.len() <= MAX_ID_BYTES && text.bytes().all(is_allowed)
}
