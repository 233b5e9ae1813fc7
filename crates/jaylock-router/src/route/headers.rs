/// Names of the header fields that requests for routes use, in lower case.
#[derive(Debug, Clone)]
pub struct RouteHeaders {
    /// Identifier of a request, chosen by its caller.
    pub request_id: &'static str,
    /// Key of the caller's organisation.
    pub key: &'static str,
    /// What stands before the key in its field.
    pub key_prefix: &'static str,
    /// Time that is left for the request, ms.
    pub timeout: &'static str,
    /// Organisation, as backend servers are told.
    pub organisation: &'static str,
    /// Backend server that alone may run the request.
    pub expected_backend: &'static str,
    /// Mark of an answer whose request did not run.
    pub not_run: &'static str,
    /// Proof that an answer is a backend server's.
    pub seal: &'static str,
    /// Model that a prompt is for.
    pub model: &'static str,
    /// Tokens of a prompt and most tokens of its answer, separated by a comma.
    pub tokens: &'static str,
    /// Parts of a prompt in order, as `ID:TOKENS` separated by commas.
    pub prompt_parts: &'static str,
    /// Fields that only this router may set.
    pub reserved: &'static [&'static str],
}

impl Default for RouteHeaders {
    fn default() -> Self {
        Self {
            request_id: "x-request-id",
            key: "authorization",
            key_prefix: "Bearer ",
            timeout: "x-deadline-ms",
            organisation: "x-organisation",
            expected_backend: "x-expected-backend",
            not_run: "x-not-run",
            seal: "x-seal",
            model: "x-model",
            tokens: "x-tokens",
            prompt_parts: "x-prompt-parts",
            reserved: &[],
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

impl RouteHeaders {
    /// Whether a field of a caller's request is kept from backend servers.
    #[must_use]
    pub fn is_stripped(&self, name: &str) -> bool {
        let own = [
            self.key,
            self.timeout,
            self.organisation,
            self.expected_backend,
        ];
        is_hop(name) || own.contains(&name) || self.reserved.contains(&name)
    }
}

/// Whether a field belongs to one connection.
pub fn is_hop(name: &str) -> bool {
    HOP_FIELDS.contains(&name)
}
