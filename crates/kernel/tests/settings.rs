//! Invalid settings are rejected with the path of the field.

use kernel::KernelError;
use kernel::Settings;

const EXAMPLE: &str = include_str!("../../../examples/crocusd.yaml");

fn invalid_field(text: &str) -> String {
    match Settings::parse(text, "test") {
        Err(KernelError::Settings { field, .. }) => field,
        other => panic!("expected an error in a field, got {other:?}"),
    }
}

#[test]
fn example_settings_are_valid() {
    assert!(Settings::parse(EXAMPLE, "example").is_ok());
}

#[test]
fn invalid_fields_are_named_by_their_path() {
    let cases = [
        ("address: 127.0.0.1:8082", "address: nowhere", "links.address"),
        ("policy: yield", "policy: maybe", "batch.policy"),
        ("policy: yield", "polity: yield", "batch.polity"),
        ("daemon: entry-1", "daemon: 'entry 1'", "daemon"),
        ("127.0.0.1:8081", "127.0.0.1:8080", "admin.address"),
        ("url: http://127.0.0.1:7000", "url: 127.0.0.1:7000", "platform.url"),
        ("signatures_needed: 1", "signatures_needed: 2", "signatures_needed"),
        ("endpoints_keep_ms: 5000", "retry_ratio: 2.0", "online.retry_ratio"),
    ];
    for (valid, invalid, field) in cases {
        assert!(EXAMPLE.contains(valid), "{valid}");
        assert_eq!(invalid_field(&EXAMPLE.replacen(valid, invalid, 1)), field);
    }
}

#[test]
fn error_is_a_readable_sentence() {
    let text = EXAMPLE.replacen("signatures_needed: 1", "signatures_needed: 0", 1);
    let error = Settings::parse(&text, "crocusd.yaml").expect_err("0 signatures are too few");
    insta::assert_snapshot!(error.to_string());
}
