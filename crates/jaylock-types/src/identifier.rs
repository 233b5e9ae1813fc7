use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest identifier, in bytes.
const LONGEST_ID: usize = 64;

/// A text that can't serve as an identifier.
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
    /// Names a customer.
    OrganisationId: "organisation";
    /// Names a process of the fleet.
    InstanceId: "instance";
    /// Names a set of machines that fail together.
    DomainId: "failure domain";
    /// Names a backend server: a model engine or a plain service's replica.
    BackendId: "backend server";
    /// Names the backend servers that one scheduler shares out.
    PoolId: "pool";
    /// Names a model.
    ModelId: "model";
    /// Names a version of a model or adapter.
    VersionId: "version";
    /// Names an adapter on top of a model.
    AdapterId: "adapter";
    /// Names a plain service.
    ServiceId: "service";
    /// Names a route.
    RouteId: "route";
    /// Names one request of a caller, across all its attempts.
    RequestId: "request";
}

impl RequestId {
    /// Makes an identifier that no other request has.
    #[must_use]
    pub fn random() -> Self {
        Self(uuid::Uuid::now_v7().simple().to_string().into())
    }
}

fn is_identifier(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b".-_:".contains(&b);
    !text.is_empty() && text.len() <= LONGEST_ID && text.bytes().all(allowed)
}
