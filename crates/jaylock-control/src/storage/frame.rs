use std::ops::Range;

/// First bytes of each frame.
const MAGIC: [u8; 4] = *b"jlk1";

/// Size of the header before the payload: magic, length, checksum.
const HEADER_BYTES: usize = 12;

/// Encodes a payload with its length and checksum.
pub fn encode(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&checksum(length, payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// The frames of a file.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Frames {
    /// Byte range of each payload.
    pub payloads: Vec<Range<usize>>,
    /// Bytes up to the end of the last complete frame; the bytes after it are a torn write.
    pub valid_bytes: usize,
}

/// Finds the frames of a file.
///
/// Frames are written and synced one after another, so only the last one can be torn.
///
/// # Errors
/// The offset of a damaged frame that is followed by a complete one.
pub fn decode(bytes: &[u8]) -> Result<Frames, usize> {
    let mut frames = Frames::default();
    while let Some(payload) = frame_at(bytes, frames.valid_bytes) {
        frames.valid_bytes = payload.end;
        frames.payloads.push(payload);
    }
    let offsets = frames.valid_bytes + 1..bytes.len();
    if offsets
        .into_iter()
        .any(|offset| frame_at(bytes, offset).is_some())
    {
        return Err(frames.valid_bytes);
    }
    Ok(frames)
}

fn frame_at(bytes: &[u8], offset: usize) -> Option<Range<usize>> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?);
    let expected = u32::from_le_bytes(header[8..12].try_into().ok()?);
    let start = offset + HEADER_BYTES;
    let range = start..start.checked_add(length as usize)?;
    let payload = bytes.get(range.clone())?;
    (checksum(length, payload) == expected).then_some(range)
}

fn checksum(length: u32, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
