//! Properties of the answer decoder and the event splitter for any bytes in any split.
//!
//! `PROPTEST_CASES` sets the number of cases; the seed is fixed.

use bytes::Bytes;
use http::Method;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use upstream::AnswerDecoder;
use upstream::EventSplitter;
use upstream::ExchangeError;
use upstream::events::MAX_EVENT_BYTES;
use upstream::head::MAX_HEAD_BYTES;

const SEED: u64 = 20_261_205;
/// The most answers that are decoded from the bytes of one case.
const MAX_ANSWERS: usize = 4;

/// What a decoder made of the bytes of a connection.
#[derive(Debug, Default, PartialEq)]
struct Decoded {
    answers: Vec<(u16, Vec<u8>)>,
    error: Option<ExchangeError>,
}

/// Decodes the parts of the bytes of a connection up to its end.
fn decode(parts: &[&[u8]], method: &Method) -> Decoded {
    let mut decoder = AnswerDecoder::default();
    let mut decoded = Decoded::default();
    let mut is_in_body = false;
    let result = (|| {
        for part in parts {
            decoder.received.extend_from_slice(part);
            loop {
                if !is_in_body {
                    if decoded.answers.len() == MAX_ANSWERS {
                        break;
                    }
                    let Some(head) = decoder.next_head(method)? else { break };
                    decoded.answers.push((head.status.as_u16(), Vec::new()));
                    is_in_body = true;
                }
                match decoder.next_part()? {
                    Some(bytes) => {
                        let (_, body) = decoded.answers.last_mut().expect("an answer has begun");
                        body.extend_from_slice(&bytes);
                    }
                    None if decoder.is_complete() => is_in_body = false,
                    None => break,
                }
            }
            if decoded.answers.len() < MAX_ANSWERS {
                assert!(decoder.received.len() <= MAX_HEAD_BYTES, "more than a head is buffered");
            }
        }
        if is_in_body { decoder.finish() } else { Ok(()) }
    })();
    decoded.error = result.err();
    decoded
}

/// Returns the parts of `bytes` between the cuts.
fn split<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    cuts.extend([0, bytes.len()]);
    cuts.sort_unstable();
    cuts.windows(2).map(|range| &bytes[range[0]..range[1]]).collect()
}

/// Generates bytes that resemble the answers on a connection.
fn answer_bytes() -> impl Strategy<Value = Vec<u8>> {
    let repeated = (prop::sample::select(vec!["x-a: b\r\n", "a", "\r\n", "0"]), 1..9_000_usize)
        .prop_map(|(text, count)| text.repeat(count).into_bytes());
    let piece = prop_oneof![
        12 => prop::sample::select(vec![
            "HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 503 Busy\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n",
            "content-length: 5\r\n", "content-length: 0\r\n", "content-length: -1\r\n",
            "transfer-encoding: chunked\r\n", "x-request-id: r\r\n", "\r\n", "\n", "5\r\nhello\r\n",
            "0\r\n\r\n", "0\r\n", "3;x=y\r\nabc\r\n", "ffffffffffffffff\r\n", "hello",
        ])
        .prop_map(|text| text.as_bytes().to_vec()),
        2 => prop::collection::vec(any::<u8>(), 0..24),
        1 => repeated,
    ];
    prop::collection::vec(piece, 0..24).prop_map(|pieces| pieces.concat())
}

/// Generates bytes that resemble a stream of events.
fn event_bytes() -> impl Strategy<Value = Vec<u8>> {
    let long = (MAX_EVENT_BYTES - 20..MAX_EVENT_BYTES + 20)
        .prop_map(|length| [b"data: ".to_vec(), vec![b'x'; length]].concat());
    let piece = prop_oneof![
        200 => prop::sample::select(vec![
            "id: 1\n", "id: 2\r\n", "data: a\n", "data:b\r\n", "data: c", "\n", "\r\n", "\r",
            "\n\n", "\r\n\r\n", ": comment\n", "id: x\n",
        ])
        .prop_map(|text| text.as_bytes().to_vec()),
        40 => prop::collection::vec(any::<u8>(), 0..24),
        1 => long,
    ];
    prop::collection::vec(piece, 0..24).prop_map(|pieces| pieces.concat())
}

/// Splits the parts of a stream; returns its events, whether an event was over the limit and
/// whether the stream ends inside an event.
fn split_events(parts: &[&[u8]]) -> (Vec<(Option<u64>, Bytes)>, bool, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    let mut is_over_limit = false;
    for part in parts {
        is_over_limit |= splitter.push(part).is_err();
        while let Some(event) = splitter.next_event() {
            assert!(event.raw.len() <= MAX_EVENT_BYTES);
            events.push((event.id, event.raw));
        }
    }
    (events, is_over_limit, is_over_limit || splitter.has_partial())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_decode_to_the_same_answers_however_split(
        bytes in answer_bytes(),
        cuts in prop::collection::vec(any::<usize>(), 0..12),
        is_head in any::<bool>(),
    ) {
        let method = if is_head { Method::HEAD } else { Method::GET };
        let small_parts: Vec<&[u8]> = bytes.chunks(61).collect();
        let decoded = decode(&small_parts, &method);
        prop_assert_eq!(&decode(&split(&bytes, &cuts), &method), &decoded);
    }

    #[test]
    fn any_bytes_split_into_the_same_events_however_cut(
        bytes in event_bytes(),
        cuts in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let whole = split_events(&[&bytes]);
        prop_assert_eq!(&split_events(&split(&bytes, &cuts)), &whole);
        let small_parts: Vec<&[u8]> = bytes.chunks(bytes.len() / 1_000 + 1).collect();
        prop_assert_eq!(&split_events(&small_parts), &whole);
    }
}
