use std::ops::Range;

/// Begins each frame.
const MAGIC: [u8; 4] = *b"jlk1";

/// Bytes before the payload: magic, length, checksum.
const HEADER: usize = 12;

/// Wraps a payload with its length and checksum.
pub fn encode(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(HEADER + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&checksum(length, payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// The frames of a file.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Frames {
    /// Where each payload stands.
    pub payloads: Vec<Range<usize>>,
    /// Bytes up to the end of the last whole frame; what follows is a torn write.
    pub whole: usize,
}

/// Finds the frames of a file.
///
/// Frames are written and synced one after another, so only the last one can be torn.
///
/// # Errors
/// The offset of a damaged frame that a whole one follows.
pub fn decode(bytes: &[u8]) -> Result<Frames, usize> {
    let mut frames = Frames::default();
    while let Some(payload) = frame_at(bytes, frames.whole) {
        frames.whole = payload.end;
        frames.payloads.push(payload);
    }
    let rest = frames.whole + 1..bytes.len();
    if rest.into_iter().any(|at| frame_at(bytes, at).is_some()) {
        return Err(frames.whole);
    }
    Ok(frames)
}

fn frame_at(bytes: &[u8], at: usize) -> Option<Range<usize>> {
    let header = bytes.get(at..at + HEADER)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?);
    let sum = u32::from_le_bytes(header[8..12].try_into().ok()?);
    let start = at + HEADER;
    let range = start..start.checked_add(length as usize)?;
    let payload = bytes.get(range.clone())?;
    (checksum(length, payload) == sum).then_some(range)
}

fn checksum(length: u32, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
