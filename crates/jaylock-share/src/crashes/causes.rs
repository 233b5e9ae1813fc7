use jaylock_rpc::v1::Ask;

/// What a request shares with others and may crash backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Causes {
    /// Hashes of parts or prefixes of the prompt.
    pub shared: Vec<u64>,
    /// Hash of the whole request, which may be sent again; 0 if unset.
    pub digest: u64,
}

impl Causes {
    /// Returns what a slot request lists.
    pub fn from_ask(ask: &Ask) -> Self {
        Self {
            shared: shared_causes(ask).collect(),
            digest: ask.digest,
        }
    }

    /// Number of hashes.
    pub fn count(&self) -> usize {
        self.shared.len() + usize::from(self.digest != 0)
    }

    /// All hashes.
    pub fn iter(&self) -> impl Iterator<Item = u64> + '_ {
        let digest = (self.digest != 0).then_some(self.digest);
        self.shared.iter().copied().chain(digest)
    }
}

/// Hashes of a prompt's parts or prefixes that others may share.
pub fn shared_causes(ask: &Ask) -> impl Iterator<Item = u64> + '_ {
    let further = ask.further_causes.iter().copied();
    // The last part is the request's own.
    let own = usize::from(further.len() == 0 && ask.parts.len() > 1);
    let parts = ask.parts.iter().take(ask.parts.len() - own);
    let prefixes = ask.prefixes.iter().copied();
    parts.map(|part| part.hash).chain(prefixes).chain(further)
}
