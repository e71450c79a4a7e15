//! Answers whose head or framing is malformed; none of them is a complete answer.

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
fn length_that_is_no_number_is_malformed() {
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

#[test]
fn head_with_a_line_that_is_no_field_is_malformed() {
    let lines = [
        "garbage",
        "content-length 5",
        "content-length;5",
        "content-length",
        ": 5",
        "\r",
        " 5",
        "\tx: y",
        "x-a: b\r\n folded",
        "x-a:\r\n folded",
        "x-a: b\rx-c: d",
        "x-a: b\r\r",
        "\ncontent-length: 5",
        "x-a: b\n\ncontent-length: 5",
        "x-a: b\n\r\ncontent-length: 5",
        "x-a: b\r\n\ncontent-length: 5",
        "\n",
        "x-a: b\ncontent-length: 5",
        "x-a: b\n",
    ];
    check_malformed(lines.map(|line| success(line, "hello")));
}

#[test]
fn line_end_without_carriage_return_is_malformed() {
    check_malformed([
        b"HTTP/1.1 200 OK\ncontent-length: 5\r\n\r\nhello".to_vec(),
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\n\r\nhello".to_vec(),
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\nhello".to_vec(),
        b"HTTP/1.1 200 OK\ncontent-length: 5\n\nhello".to_vec(),
        b"\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello".to_vec(),
        b"HTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello".to_vec(),
    ]);
}

/// Long names cover the wide steps in which a name is scanned.
#[test]
fn name_with_a_blank_or_a_control_byte_is_malformed() {
    let is_name_byte =
        |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    let bytes = (0..=u8::MAX).filter(|byte| !is_name_byte(*byte) && *byte != b':');
    check_malformed(bytes.flat_map(|byte| {
        let placed = [0, 1, 7, 8, 15, 16, 31, 32, 33, 64].map(|position| {
            let mut name = vec![b'a'; 64];
            name.insert(position, byte);
            [b"HTTP/1.1 200 OK\r\n", &name[..], b": b\r\ncontent-length: 5\r\n\r\nhello"].concat()
        });
        let at_the_end =
            [b"HTTP/1.1 200 OK\r\ncontent-length".as_slice(), &[byte], b": 5\r\n\r\nhello"];
        placed.into_iter().chain([at_the_end.concat()])
    }));
}

#[test]
fn value_with_a_control_byte_is_malformed() {
    let bytes = (0..=u8::MAX).filter(|byte| byte.is_ascii_control() && *byte != b'\t');
    check_malformed(bytes.map(|byte| {
        [b"HTTP/1.1 200 OK\r\nx-a: b".as_slice(), &[byte], b"c\r\ncontent-length: 5\r\n\r\nhello"]
            .concat()
    }));
}

/// Returns a success whose body has these bytes after its head, in chunks.
fn chunked(bytes: &str) -> Vec<u8> {
    success("transfer-encoding: chunked", bytes)
}

#[test]
fn size_of_a_chunk_that_is_no_number_is_malformed() {
    let sizes = [
        "+5",
        "-5",
        " 5",
        "\t5",
        "5\r",
        "5\u{b}",
        "",
        " ",
        "five",
        "0x5",
        "5 5",
        "5 garbage",
        "5,",
        "5;\u{1}",
        "5;x\ry",
        "5;x\u{7f}",
        "10000000000000005",
        "\u{665}",
    ];
    check_malformed(sizes.map(|size| chunked(&format!("{size}\r\nhello\r\n0\r\n\r\n"))));
    let last_sizes = ["+0", "-0", "", " 0", "0\r", "0 x", "0;\u{1}"];
    check_malformed(last_sizes.map(|size| chunked(&format!("5\r\nhello\r\n{size}\r\n\r\n"))));
}

#[test]
fn chunk_of_another_length_than_announced_is_malformed() {
    check_malformed(["4\r\nhello\r\n0\r\n\r\n", "6\r\nhello\r\n0\r\n\r\n"].map(chunked));
}

#[test]
fn line_between_chunks_without_carriage_return_is_malformed() {
    check_malformed(
        [
            "5\nhello\r\n0\r\n\r\n",
            "5\r\nhello\n0\r\n\r\n",
            "5\r\nhello\r\n0\n\r\n",
            "5\r\nhello\r\n0\r\n\n",
            "5\r\nhello\r\n0\r\nx-a: b\n\r\n",
        ]
        .map(chunked),
    );
}

#[test]
fn trailer_that_is_no_field_is_malformed() {
    let trailers = [
        "garbage",
        "x y: z",
        "x-a : b",
        ": z",
        " x-a: b",
        "x-a: b\r\n folded",
        "x\u{1}: y",
        "x: \u{1}",
        "x-a: b\rc",
        "HTTP/1.1 200 OK",
    ];
    check_malformed(trailers.map(|line| chunked(&format!("5\r\nhello\r\n0\r\n{line}\r\n\r\n"))));
}

#[test]
fn chunks_without_their_end_are_lost() {
    let bodies = ["", "5", "5\r\n", "5\r\nhel", "5\r\nhello", "5\r\nhello\r\n", "5\r\nhello\r\n0"];
    let ends =
        ["5\r\nhello\r\n0\r\n", "5\r\nhello\r\n0\r\nx-a: b", "5\r\nhello\r\n0\r\nx-a: b\r\n"];
    for body in bodies.into_iter().chain(ends) {
        assert!(matches!(decode(&chunked(body)), Err(ExchangeError::Lost(_))), "{body:?}");
    }
}

#[test]
fn sound_chunks_are_accepted() {
    let bodies = [
        "5\r\nhello\r\n0\r\n\r\n",
        "0005\r\nhello\r\n000\r\n\r\n",
        "5 \t\r\nhello\r\n0 \r\n\r\n",
        "5;name=value;other=\"text\"\r\nhello\r\n0;last\r\n\r\n",
        "5 ; name\r\nhello\r\n0\r\nx-a: b\r\nX-C:\r\n\r\n",
    ];
    for body in bodies {
        assert_eq!(decode(&chunked(body)), Ok((200, b"hello".to_vec())), "{body:?}");
    }
    let long = "A\r\n0123456789\r\nb\r\n01234567890\r\n0\r\n\r\n";
    assert_eq!(decode(&chunked(long)).map(|(_, body)| body.len()), Ok(21));
}

/// The daemon never asks for another protocol, so an answer that switches to one belongs to no request.
#[test]
fn status_that_no_answer_may_have_is_malformed() {
    let statuses = [
        "000", "001", "099", "101", "600", "700", "999", "0", "20", "2000", "+20", "-20", "2 0",
        "2x0", "",
    ];
    check_malformed(statuses.map(|status| {
        format!("HTTP/1.1 {status} OK\r\ncontent-length: 5\r\n\r\nhello").into_bytes()
    }));
}

#[test]
fn status_of_every_class_is_accepted() {
    for status in [200, 299, 302, 404, 499, 500, 503, 599] {
        let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 5\r\n\r\nhello").into_bytes();
        assert_eq!(decode(&answer), Ok((status, b"hello".to_vec())));
    }
}

/// Guards against a body that is read as the next answer: whoever chose its bytes would choose an answer.
#[test]
fn body_of_an_answer_that_can_have_none_is_malformed() {
    let inner = String::from_utf8(success("content-length: 5", "inner")).expect("text");
    let length = inner.len();
    let bodies = [
        format!("content-length: {length}\r\n\r\n{inner}"),
        format!("transfer-encoding: chunked\r\n\r\n{length:x}\r\n{inner}\r\n0\r\n\r\n"),
        format!("content-length: 0\r\ncontent-length: {length}\r\n\r\n{inner}"),
    ];
    for status in ["100 OK", "103 OK", "199 OK", "204 OK"] {
        check_malformed(
            bodies.iter().map(|body| format!("HTTP/1.1 {status}\r\n{body}").into_bytes()),
        );
    }
}

#[test]
fn sound_answers_without_a_body_are_accepted() {
    let last = String::from_utf8(success("content-length: 5", "hello")).expect("text");
    for interim in
        ["100 Continue\r\n", "103 Early Hints\r\nlink: x\r\n", "102 X\r\ncontent-length: 0\r\n"]
    {
        let answer = format!("HTTP/1.1 {interim}\r\n{last}").into_bytes();
        assert_eq!(decode(&answer), Ok((200, b"hello".to_vec())), "{interim}");
    }
    for (status, lines) in
        [(204, ""), (204, "content-length: 0\r\n"), (304, "content-length: 5\r\n")]
    {
        let answer = format!("HTTP/1.1 {status} X\r\n{lines}\r\n").into_bytes();
        assert_eq!(decode(&answer), Ok((status, Vec::new())), "{status}");
    }
}
