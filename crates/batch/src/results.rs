//! Reads the results of a job, one lot at a time.

use std::fmt::Write;

use serde::Deserialize;
use serde::Serialize;
use store::CallClass;
use store::Store;
use store::StoreError;
use wire::job::CHUNK_ITEMS;
use wire::job::Item;
use wire::job::LOT_ITEMS;
use wire::job::LedgerHead;
use wire::job::Manifest;
use wire::job::Outcome;
use wire::job::OutcomeKind;

use crate::codec;
use crate::keys;
use crate::ledger::CANCELLED_TEXT;
use crate::records;

/// One line of the results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultLine {
    /// Index of the item in the job, from 0.
    pub index: u32,
    /// The caller's identifier of the item.
    pub custom_id: String,
    /// How the item ended.
    pub outcome: OutcomeKind,
    /// The generated text, or the reason why there is none.
    pub text: String,
}

/// Reads the recorded results of a lot and returns them as JSON lines.
pub async fn read_lot(
    store: &Store,
    manifest: &Manifest,
    head: &LedgerHead,
    lot: u32,
) -> Result<String, StoreError> {
    let Some(lot_ref) = manifest.spec.lots.get(lot as usize) else {
        return Ok(String::new());
    };
    let key = keys::lot(&manifest.org, lot_ref);
    let malformed =
        |message: &str| StoreError::Malformed { key: key.clone(), message: message.to_owned() };
    let object = store.get(CallClass::Status, &key).await?;
    let object = object.ok_or_else(|| malformed("the lot is missing"))?;
    let items = codec::unpack_lot(&object.value).map_err(|message| malformed(&message))?;
    let mut lines = String::new();
    let first_chunk = lot * LOT_ITEMS / CHUNK_ITEMS;
    for (offset, chunk_items) in items.chunks(CHUNK_ITEMS as usize).enumerate() {
        let chunk = first_chunk + offset as u32;
        let outcomes = read_outcomes(store, manifest, head, chunk, chunk_items).await?;
        for (item, outcome) in outcomes {
            push_line(&mut lines, chunk * CHUNK_ITEMS + item, chunk_items, item, outcome);
        }
    }
    Ok(lines)
}

async fn read_outcomes(
    store: &Store,
    manifest: &Manifest,
    head: &LedgerHead,
    chunk: u32,
    items: &[Item],
) -> Result<Vec<(u32, Outcome)>, StoreError> {
    // A cancelled job has no records of chunks that were never opened; their items are cancelled.
    if head.finished && !head.done_chunks.contains(chunk) {
        let cancelled =
            || Outcome { kind: OutcomeKind::Cancelled, text: CANCELLED_TEXT.to_owned() };
        return Ok((0..items.len() as u32).map(|item| (item, cancelled())).collect());
    }
    let (record, _) = records::read(store, CallClass::Status, &manifest.job, chunk).await?;
    Ok(record.outcomes.into_iter().map(|entry| (entry.item, entry.outcome)).collect())
}

fn push_line(lines: &mut String, index: u32, items: &[Item], item: u32, outcome: Outcome) {
    let custom_id = items.get(item as usize).map(|i| i.custom_id.clone()).unwrap_or_default();
    let line = ResultLine { index, custom_id, outcome: outcome.kind, text: outcome.text };
    if let Ok(json) = serde_json::to_string(&line) {
        let _ = writeln!(lines, "{json}");
    }
}
