use std::ops::Range;

use prost::Message;

/// First bytes of each frame.
const MAGIC: [u8; 4] = *b"jlk1";

/// Size of the header before the payload: magic, length, checksum.
const HEADER_BYTES: usize = 12;

/// Encodes a message as the payload of a frame with its length and checksum.
pub fn encode(message: &impl Message) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + message.encoded_len());
    bytes.resize(HEADER_BYTES, 0);
    message
        .encode(&mut bytes)
        .expect("a vector grows as long as it must");
    let (header, payload) = bytes.split_at_mut(HEADER_BYTES);
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    header[..4].copy_from_slice(&MAGIC);
    header[4..8].copy_from_slice(&length.to_le_bytes());
    header[8..].copy_from_slice(&checksum(length, payload).to_le_bytes());
    bytes
}

/// Whether a complete frame begins anywhere after the first byte.
///
/// Frames are written and synced one after another, so only the last one can be torn.
pub fn has_later_frame(bytes: &[u8]) -> bool {
    (1..bytes.len()).any(|offset| frame_at(bytes, offset).is_some())
}

/// The byte range of the payload of the frame that begins at an offset; `None` if it is not complete.
pub fn frame_at(bytes: &[u8], offset: usize) -> Option<Range<usize>> {
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
