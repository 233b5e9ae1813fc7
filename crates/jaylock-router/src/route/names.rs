/// Names of the header fields that requests for routes use, in lower case.
#[derive(Debug, Clone)]
pub struct RouteNames {
    /// Identifier of a request, chosen by its caller.
    pub request: &'static str,
    /// Key of the caller's organisation.
    pub key: &'static str,
    /// What stands before the key in its field.
    pub key_scheme: &'static str,
    /// Time that is left for the request, ms.
    pub limit: &'static str,
    /// Organisation, as backend servers are told.
    pub organisation: &'static str,
    /// Backend server that alone may run the request.
    pub expected: &'static str,
    /// Mark of an answer whose request did not run.
    pub not_run: &'static str,
    /// Proof that an answer is a backend server's.
    pub seal: &'static str,
    /// Model that a prompt is for.
    pub model: &'static str,
    /// Tokens of a prompt and most tokens of its answer, separated by a comma.
    pub tokens: &'static str,
    /// Parts of a prompt in order, as `ID:TOKENS` separated by commas.
    pub parts: &'static str,
    /// Fields that only this router may set.
    pub withheld: &'static [&'static str],
}

impl Default for RouteNames {
    fn default() -> Self {
        Self {
            request: "x-request-id",
            key: "authorization",
            key_scheme: "Bearer ",
            limit: "x-deadline-ms",
            organisation: "x-organisation",
            expected: "x-expected-backend",
            not_run: "x-not-run",
            seal: "x-seal",
            model: "x-model",
            tokens: "x-tokens",
            parts: "x-prompt-parts",
            withheld: &[],
        }
    }
}

/// Fields that belong to one connection.
const HOP_FIELDS: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

impl RouteNames {
    /// Whether a field of a caller's request is kept from backend servers.
    #[must_use]
    pub fn is_kept_back(&self, name: &str) -> bool {
        let own = [self.key, self.limit, self.organisation, self.expected];
        is_hop(name) || own.contains(&name) || self.withheld.contains(&name)
    }
}

/// Whether a field belongs to one connection.
pub fn is_hop(name: &str) -> bool {
    HOP_FIELDS.contains(&name)
}
