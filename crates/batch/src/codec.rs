//! Encodes and decodes stored objects: chunk records (compressed CBOR) and lots (compressed JSON
//! lines).

use std::collections::HashSet;
use std::io::Read;

use serde::Deserialize;
use serde::Serialize;
use wire::job::ChunkRecord;
use wire::job::Item;
use wire::job::LOT_ITEMS;
use wire::job::MAX_LOT_BYTES;
use wire::job::MAX_PROMPT_BYTES;

/// The zstd compression level; higher levels cost more time than they save.
const COMPRESSION_LEVEL: i32 = 3;
/// Limit on the uncompressed size of a record, in bytes.
const MAX_RECORD_BYTES: u64 = 256 << 20;
/// Limit on the length of a `custom_id`, in bytes.
const MAX_CUSTOM_ID_BYTES: usize = 256;

/// Stored form of a chunk record: inline, or as a list of separately stored parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredChunk {
    /// The compressed record.
    Whole(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Digests of the parts; the compressed record is the concatenation of their bytes.
    Parts(Vec<String>),
}

/// Encodes and compresses a record.
pub fn pack_record(record: &ChunkRecord) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    ciborium::into_writer(record, &mut bytes).map_err(|error| error.to_string())?;
    zstd::encode_all(bytes.as_slice(), COMPRESSION_LEVEL).map_err(|error| error.to_string())
}

/// Decompresses and decodes a record.
pub fn unpack_record(bytes: &[u8]) -> Result<ChunkRecord, String> {
    let decoder = zstd::Decoder::new(bytes).map_err(|error| error.to_string())?;
    ciborium::from_reader(decoder.take(MAX_RECORD_BYTES)).map_err(|error| error.to_string())
}

/// Encodes the stored form of a record.
pub fn encode_stored(stored: &StoredChunk) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    ciborium::into_writer(stored, &mut bytes).map_err(|error| error.to_string())?;
    Ok(bytes)
}

/// Decodes the stored form of a record.
pub fn decode_stored(bytes: &[u8]) -> Result<StoredChunk, String> {
    ciborium::from_reader(bytes).map_err(|error| error.to_string())
}

/// Compresses the JSON lines of a lot.
pub fn pack_lot(lines: &[u8]) -> Result<Vec<u8>, String> {
    zstd::encode_all(lines, COMPRESSION_LEVEL).map_err(|error| error.to_string())
}

/// Decompresses, parses and checks a lot.
pub fn unpack_lot(bytes: &[u8]) -> Result<Vec<Item>, String> {
    let decoder = zstd::Decoder::new(bytes).map_err(|error| error.to_string())?;
    let mut lines = Vec::new();
    decoder
        .take(MAX_LOT_BYTES as u64 + 1)
        .read_to_end(&mut lines)
        .map_err(|error| error.to_string())?;
    parse_lot(&lines)
}

/// Parses and checks the JSON lines of a lot; the error for an invalid line names its number.
pub fn parse_lot(lines: &[u8]) -> Result<Vec<Item>, String> {
    if lines.len() > MAX_LOT_BYTES {
        return Err(format!("the lot is over {MAX_LOT_BYTES} bytes"));
    }
    let text = std::str::from_utf8(lines).map_err(|_| "the lot is not UTF-8".to_owned())?;
    let items: Vec<Item> = text
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| parse_item(index + 1, line))
        .collect::<Result<_, _>>()?;
    match items.len() {
        0 => Err("the lot holds no item".to_owned()),
        count if count > LOT_ITEMS as usize => {
            Err(format!("the lot holds {count} items, and {LOT_ITEMS} are allowed"))
        }
        _ => check_unique_ids(items),
    }
}

fn check_unique_ids(items: Vec<Item>) -> Result<Vec<Item>, String> {
    let mut seen = HashSet::new();
    match items.iter().find(|item| !seen.insert(item.custom_id.as_str())) {
        Some(item) => Err(format!("the custom_id '{}' stands twice in the lot", item.custom_id)),
        None => Ok(items),
    }
}

fn parse_item(line_number: usize, line: &str) -> Result<Item, String> {
    let item: Item =
        serde_json::from_str(line).map_err(|error| format!("line {line_number}: {error}"))?;
    if item.prompt.len() > MAX_PROMPT_BYTES {
        return Err(format!("line {line_number}: the prompt is over {MAX_PROMPT_BYTES} bytes"));
    }
    if item.custom_id.is_empty() || item.custom_id.len() > MAX_CUSTOM_ID_BYTES {
        return Err(format!("line {line_number}: custom_id must have 1 to 256 bytes"));
    }
    if item.max_tokens == 0 {
        return Err(format!("line {line_number}: max_tokens must be over 0"));
    }
    Ok(item)
}
