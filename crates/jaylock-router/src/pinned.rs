use compact_str::CompactString;

/// Version of the backend servers' software that began a response, at which alone it may go on.
#[derive(Debug, Default)]
pub struct PinnedSoftware(Option<CompactString>);

impl PinnedSoftware {
    /// Records the version that brought a part of the response; the first one stays.
    pub fn pin(&mut self, software: &str) {
        if self.0.is_none() {
            self.0 = Some(software.into());
        }
    }

    /// The version that further attempts need, once the response has begun.
    pub fn required(&self) -> Option<String> {
        self.0.as_deref().map(Into::into)
    }
}
