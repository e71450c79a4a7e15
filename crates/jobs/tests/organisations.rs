//! Tests of the organisations of jobs: access, records, hand-overs and limits.

use gate::Caller;
use jobs::access::Access;
use jobs::access::access;
use jobs::access::decode_caller;
use jobs::access::encode_caller;
use jobs::handover::JobHandover;
use jobs::handover::decode_handover;
use jobs::handover::encode_handover;
use jobs::item::Item;
use jobs::item::Submission;
use jobs::job::Job;
use jobs::manager::queue_hash;
use jobs::record;
use jobs::record::Home;
use jobs::record::JobRecord;
use wire::JobId;
use wire::OrgName;
use wire::Route;
use wire::RouteKind;
use wire::route::Target;

fn member(name: &str) -> Caller {
    Caller::Member(OrgName::from(name))
}

fn item() -> Item {
    Item {
        id: "i".into(),
        path: "/i".to_owned(),
        headers: vec![
            ("authorization".to_owned(), "Bearer k".to_owned()),
            ("x".into(), "y".into()),
        ],
        body: b"body".as_slice().into(),
        tokens: 7,
    }
}

fn handover() -> JobHandover {
    Job::new(JobId::from("j"), "host", "/jobs/", 0, vec![item()], Vec::new()).to_handover(5)
}

/// Guards against a job that a caller of another organisation reads or ends.
#[test]
fn access_depends_on_the_owner() {
    let (granted, denied) = (Access::Granted, Access::Denied);
    for (caller, owner, is_open, expected) in [
        (member("a"), Some("a"), false, granted),
        (member("a"), Some("b"), false, denied),
        (member("a"), Some("b"), true, denied),
        (member("a"), None, false, granted),
        (Caller::Anonymous, Some("a"), true, denied),
        (Caller::Anonymous, None, true, granted),
        (Caller::Anonymous, None, false, denied),
        (Caller::Unchecked, Some("a"), false, granted),
        (Caller::Unchecked, None, false, granted),
        (Caller::Unknown, Some("a"), true, Access::Undecided),
        (Caller::Unknown, None, false, granted),
    ] {
        let owner = owner.map(OrgName::from);
        assert_eq!(access(&caller, owner.as_ref(), is_open), expected, "{caller:?} {owner:?}");
    }
}

/// Guards against a forwarded call that arrives as one of another caller, and against calls of older
/// builds that are refused.
#[test]
fn caller_is_forwarded_in_the_query() {
    for caller in [
        Caller::Unchecked,
        Caller::Unknown,
        Caller::Anonymous,
        member("alpha"),
        member("a b/&?=é%20"),
    ] {
        let query = encode_caller(&caller);
        assert!(query.bytes().all(|byte| byte.is_ascii_graphic()), "{query}");
        assert_eq!(decode_caller(query.strip_prefix('?')), caller);
    }
    assert_eq!(decode_caller(None), Caller::Unchecked);
    for query in ["", "organisation=", "organisation=%", "organisation=_w", "else"] {
        let caller = decode_caller(Some(query));
        assert!(matches!(caller, Caller::Unknown | Caller::Member(_)), "{query}: {caller:?}");
    }
}

/// Guards against records of older builds that cannot be read, and against records that change where
/// no organisation is known.
#[test]
fn record_without_organisation_is_as_before() {
    let json = r#"{"home":{"daemon":"d","incarnation":1},"host":"h","path":"/p","submitted_unix_ms":2,"input":"","input_parts":0}"#;
    let mut record = JobRecord::decode(json.as_bytes()).expect("it is decoded");
    assert_eq!(record.organisation, None);
    assert_eq!(record::to_json(&record).expect("it is encoded"), json.as_bytes());
    record.organisation = Some(OrgName::from("alpha"));
    let json = record::to_json(&record).expect("it is encoded");
    assert_eq!(JobRecord::decode(&json).expect("it is decoded"), record);
}

/// Guards against a hand-over between builds, of which one knows no organisations, that fails.
#[test]
fn handover_is_read_by_older_and_newer_builds() {
    let old = postcard::to_allocvec(&handover()).expect("it is encoded");
    let (decoded, extension) = decode_handover(&old).expect("it is decoded");
    assert_eq!(decoded.id.as_str(), "j");
    assert!(extension.is_none());
    for organisation in [None, Some(OrgName::from("alpha"))] {
        let new = encode_handover(&handover(), organisation.clone()).expect("it is encoded");
        // An older build decodes the first part and ignores the rest.
        let decoded: JobHandover = postcard::from_bytes(&new).expect("it is decoded");
        assert_eq!(decoded.items.len(), 1);
        let (_, extension) = decode_handover(&new).expect("it is decoded");
        assert_eq!(extension.expect("it is sent").organisation, organisation);
    }
    let mut cut = encode_handover(&handover(), Some(OrgName::from("alpha"))).expect("encoded");
    cut.pop();
    assert!(decode_handover(&cut).is_err());
}

/// Guards against waiting tokens that organisations share, and against a change of the hash that
/// older builds send for routes.
#[test]
fn queue_of_an_organisation_has_its_own_hash() {
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/p/".into(),
        kind: RouteKind::Batch,
        timeout_ms: None,
        objective_ms: None,
        gap_objective_ms: None,
        priority: 0,
        targets: vec![Target { service: "s".into(), weight: 1 }],
        max_attempts: 1,
        is_resumable: false,
        due_ms: None,
        retention_ms: None,
        max_waiting_tokens: None,
        is_open: false,
    };
    let (alpha, beta) = (OrgName::from("alpha"), OrgName::from("beta"));
    let hashes = [None, Some(&alpha), Some(&beta)].map(|org| queue_hash(&route, org));
    assert_eq!(hashes[0], wire::rendezvous::hash(b"h /p/"));
    assert!(hashes[0] != hashes[1] && hashes[1] != hashes[2] && hashes[0] != hashes[2]);
}

/// Guards against keys in the store.
#[test]
fn credentials_of_items_are_not_stored() {
    let mut submission = Submission { items: vec![item()] };
    submission.remove_credentials();
    assert_eq!(submission.items[0].headers, [("x".to_owned(), "y".to_owned())]);
}

/// Guards against a home that forgets the organisation when it encodes its record.
#[test]
fn record_names_its_home_and_organisation() {
    let record = JobRecord {
        home: Home { daemon: "d".into(), incarnation: 1 },
        host: "h".to_owned(),
        path: "/p".to_owned(),
        submitted_unix_ms: 1,
        input: String::new(),
        input_parts: 0,
        organisation: Some(OrgName::from("alpha")),
    };
    let json = String::from_utf8(record::to_json(&record).expect("encoded").to_vec());
    assert!(json.expect("text").contains(r#""organisation":"alpha""#));
}
