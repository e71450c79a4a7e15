//! Answers whose head or framing is spoilt: none of them is a complete answer.

use http::Method;
use upstream::AnswerDecoder;
use upstream::ExchangeError;

/// What a decoder makes of the bytes of a connection up to its orderly end.
fn decode(bytes: &[u8]) -> Result<(u16, Vec<u8>), ExchangeError> {
    let mut decoder = AnswerDecoder::default();
    decoder.received.extend_from_slice(bytes);
    let head = decoder.next_head(&Method::GET)?;
    let head = head.ok_or(ExchangeError::Lost("the head is incomplete"))?;
    let mut body = Vec::new();
    while let Some(part) = decoder.next_part()? {
        body.extend_from_slice(&part);
    }
    decoder.finish()?;
    Ok((head.status.as_u16(), body))
}

/// Returns a success with these header lines and this body.
fn success(lines: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\n{lines}\r\n\r\n{body}").into_bytes()
}

/// Requires that each of `answers` is malformed.
fn check_malformed(answers: impl IntoIterator<Item = Vec<u8>>) {
    let accepted: Vec<_> = answers
        .into_iter()
        .map(|answer| (String::from_utf8_lossy(&answer).into_owned(), decode(&answer)))
        .filter(|(_, decoded)| !matches!(decoded, Err(ExchangeError::Malformed(_))))
        .collect();
    assert!(accepted.is_empty(), "{accepted:#?}");
}

#[test]
fn length_that_is_spoilt_is_malformed() {
    let lengths = [
        "+5",
        "-5",
        "5, 5",
        "5,",
        "5 5",
        "5;",
        "0x5",
        "5.0",
        "\"5\"",
        "",
        "five",
        "\u{665}",
        "5\u{a0}",
        "18446744073709551616",
    ];
    check_malformed(lengths.map(|length| success(&format!("content-length: {length}"), "hello")));
}

#[test]
fn more_than_one_length_is_malformed() {
    let lengths = [("5", "3"), ("3", "5"), ("5", "5"), ("5", "x"), ("5", "")];
    check_malformed(lengths.map(|(first, second)| {
        let lines = format!("content-length: {first}\r\nx-a: b\r\nContent-Length: {second}");
        success(&lines, "hello")
    }));
}

#[test]
fn transfer_coding_other_than_chunked_is_malformed() {
    let codings = [
        "identity",
        "gzip",
        "xchunked",
        "chunkedx",
        "chunked;x",
        "chunke\u{e9}d",
        "",
        "gzip, chunked",
        "chunked, gzip",
        "chunked, chunked",
        "chunked,",
    ];
    check_malformed(
        codings.map(|coding| {
            success(&format!("transfer-encoding: {coding}"), "5\r\nhello\r\n0\r\n\r\n")
        }),
    );
    let twice = "transfer-encoding: chunked\r\ntransfer-encoding: chunked";
    check_malformed([success(twice, "5\r\nhello\r\n0\r\n\r\n")]);
}

#[test]
fn length_beside_chunks_is_malformed() {
    let (length, chunked) = ("content-length: 5", "transfer-encoding: chunked");
    check_malformed([
        success(&format!("{length}\r\n{chunked}"), "5\r\nhello\r\n0\r\n\r\n"),
        success(&format!("{chunked}\r\n{length}"), "5\r\nhello\r\n0\r\n\r\n"),
    ]);
}

#[test]
fn chunks_in_an_older_version_are_malformed() {
    let answer = success("transfer-encoding: chunked", "5\r\nhello\r\n0\r\n\r\n");
    check_malformed([[b"HTTP/1.0", &answer[b"HTTP/1.1".len()..]].concat()]);
}

#[test]
fn framing_of_an_answer_without_body_is_checked_too() {
    let statuses = ["204 No Content", "304 Not Modified"];
    check_malformed(statuses.map(|status| {
        format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\ncontent-length: 5\r\n\r\n").into_bytes()
    }));
}

#[test]
fn sound_framing_is_accepted() {
    let answers = [
        success("content-length: 5", "hello"),
        success("Content-Length:  5 \t", "hello"),
        success("content-length: 005", "hello"),
        success("transfer-encoding: chunked", "5\r\nhello\r\n0\r\n\r\n"),
        success("Transfer-Encoding: Chunked", "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"),
        success("x-a: b", "hello"),
    ];
    for answer in answers {
        let text = String::from_utf8_lossy(&answer).into_owned();
        assert_eq!(decode(&answer), Ok((200, b"hello".to_vec())), "{text}");
    }
}
