/// Names of the headers that requests for routes use, in lower case.
#[derive(Debug, Clone)]
pub struct RouteHeaders {
    /// Identifier of a request, chosen by the caller.
    pub request_id: &'static str,
    /// Key of the caller's organisation.
    pub key: &'static str,
    /// Prefix of the key in its header.
    pub key_prefix: &'static str,
    /// Time remaining for the request, in ms.
    pub timeout: &'static str,
    /// Organisation of the caller, for backend servers.
    pub organisation: &'static str,
    /// Only backend server that may run the request.
    pub expected_backend: &'static str,
    /// Marks a response whose request did not run.
    pub not_run: &'static str,
    /// Proves that a response comes from a backend server.
    pub seal: &'static str,
    /// Requests a second that a backend server takes from all routers together, in its responses.
    pub limit: &'static str,
    /// Tells with the value 1 that a backend server leaves, in its responses.
    pub leaving: &'static str,
    /// Time in ms for which a backend server is still cold, in its responses.
    pub cold: &'static str,
    /// Running and waiting requests, slots, and the time for work in percent of the usual time, separated by commas, in
    /// a backend server's responses.
    pub load: &'static str,
    /// Identifier of the request that brought the first event of the stream that this one resumes.
    pub resumed_request: &'static str,
    /// Model of a prompt.
    pub model: &'static str,
    /// Number of prompt tokens and largest number of generated tokens, separated by a comma.
    pub tokens: &'static str,
    /// Parts of a prompt in order, as `ID:TOKENS` separated by commas.
    pub prompt_parts: &'static str,
    /// Headers that only this router may set.
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
            limit: "x-rate-limit",
            leaving: "x-leaving",
            cold: "x-cold-ms",
            load: "x-load",
            resumed_request: "x-resumes",
            model: "x-model",
            tokens: "x-tokens",
            prompt_parts: "x-prompt-parts",
            reserved: &[],
        }
    }
}

/// Hop-by-hop headers.
const HOP_BY_HOP: [&str; 10] = [
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
    /// Whether a header of a caller's request is not forwarded to backend servers.
    #[must_use]
    pub fn is_stripped(&self, name: &str) -> bool {
        let named = [
            self.key,
            self.timeout,
            self.organisation,
            self.expected_backend,
        ];
        is_hop_by_hop(name) || named.contains(&name) || self.reserved.contains(&name)
    }
}

/// Whether a header is hop-by-hop.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}
