//! Tests who a request's caller is, and that a key is never shown.

use bytes::Bytes;
use gate::ApiKey;
use gate::Caller;
use gate::caller::identify;
use gate::exchange::ClientRequest;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::header;
use wire::Configuration;
use wire::OrgName;
use wire::Organisation;
use wire::organisation::OrganisationEntry;
use wire::organisation::Organisations;
use wire::route::IngressLimits;

fn configuration() -> Configuration {
    let limits = IngressLimits { header_bytes: 1, body_bytes: 1, header_ms: 1, idle_ms: 1 };
    Configuration::new(1, limits, Vec::new(), Vec::new())
}

fn with_organisations() -> Configuration {
    let entry = |name: &str, key: &str| OrganisationEntry {
        organisation: Organisation { name: OrgName::from(name), priority: None, quota: None },
        keys: vec![key.into()],
    };
    let entries = vec![entry("alpha", "a"), entry("beta", "b")];
    configuration().with_organisations(Organisations::new(entries).0)
}

fn member(name: &str) -> Caller {
    Caller::Member(OrgName::from(name))
}

/// Guards against callers without a valid key that are served, and against refusals where no key is
/// needed.
#[test]
fn caller_is_identified_by_its_key() {
    let keys = [None, Some("a"), Some("b"), Some("x"), Some("")];
    let callers = |configuration: &Configuration, is_open: bool| {
        keys.map(|key| identify(configuration, is_open, key.map(ApiKey::from).as_ref()))
    };
    let unchecked = [(); 5].map(|()| Some(Caller::Unchecked));
    assert_eq!(callers(&configuration(), false), unchecked);
    let (alpha, beta) = (Some(member("alpha")), Some(member("beta")));
    let closed = [None, alpha.clone(), beta.clone(), None, None];
    assert_eq!(callers(&with_organisations(), false), closed);
    let anonymous = Some(Caller::Anonymous);
    let open = [anonymous.clone(), alpha, beta, anonymous.clone(), anonymous];
    assert_eq!(callers(&with_organisations(), true), open);
}

#[test]
fn key_is_shown_as_its_hash() {
    let key = ApiKey::from("a-secret");
    for text in [format!("{key}"), format!("{key:?}"), format!("{:?}", Some(&key))] {
        assert!(!text.contains("secret"), "{text}");
    }
    assert_eq!(key.to_string().len(), 8);
    assert_ne!(key.to_string(), ApiKey::from("another").to_string());
}

/// Guards against a request that evades its quarantine with another key of its organisation, and
/// against one that shares the quarantine of another organisation's request.
#[test]
fn fingerprint_depends_on_the_organisation_and_not_on_its_key() {
    let request = |caller: Caller, credentials: &'static str| {
        let mut headers = HeaderMap::new();
        headers.insert(header::AUTHORIZATION, HeaderValue::from_static(credentials));
        if caller.is_checked() {
            headers.remove(header::AUTHORIZATION);
        }
        ClientRequest {
            method: Method::POST,
            target: "/a".to_owned(),
            headers,
            body: Bytes::from_static(b"prompt"),
            id: "r".into(),
            prompt_parts: Vec::new(),
            is_item: false,
            caller,
            key: Some(ApiKey::from(credentials)),
        }
        .fingerprint()
    };
    assert_eq!(request(member("alpha"), "k1"), request(member("alpha"), "k2"));
    assert_ne!(request(member("alpha"), "k1"), request(member("beta"), "k1"));
    assert_ne!(request(Caller::Unchecked, "k1"), request(Caller::Unchecked, "k2"));
    assert_eq!(request(Caller::Unchecked, "k1"), request(Caller::Unchecked, "k1"));
}
