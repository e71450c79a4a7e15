//! Tests messages with an extension between builds of which one does not know it.

use peers::Topic;
use peers::transport::decode;
use peers::transport::decode_extension;
use peers::transport::decode_prefix;
use peers::transport::encode;

type Message = (String, u32);

fn decode_extended(payload: &[u8]) -> Option<(Message, Option<(u64, u32)>)> {
    let (message, rest) = decode_prefix(Topic::Slots, payload)?;
    Some((message, decode_extension(Topic::Slots, rest)))
}

/// Guards against datagrams between builds before and after an extension that are dropped.
#[test]
fn extension_is_ignored_by_older_builds_and_optional_for_newer_ones() {
    let message: Message = ("replica".to_owned(), 7);
    let old = encode(Topic::Slots, &message);
    let new = encode(Topic::Slots, &(&message, (1_u64, 2_u32)));
    assert_eq!(decode::<Message>(Topic::Slots, &new).as_ref(), Some(&message));
    let decoded = decode_extended(&old);
    assert_eq!(decoded, Some((message.clone(), None)));
    let decoded = decode_extended(&new);
    assert_eq!(decoded, Some((message.clone(), Some((1, 2)))));
    // A later build may extend the extension.
    let later = encode(Topic::Slots, &(&message, (1_u64, 2_u32), "more"));
    let decoded = decode_extended(&later);
    assert_eq!(decoded, Some((message.clone(), Some((1, 2)))));
    // An extension that cannot be read costs the extension alone.
    let cut = &new[..new.len() - 1];
    let decoded = decode_extended(cut);
    assert_eq!(decoded, Some((message, None)));
    assert_eq!(decode_extended(&old[..3]), None);
}
