//! Checks of a bundle document, each problem with the path of the field.

use std::collections::BTreeSet;
use std::fmt;

use kernel::KernelError;
use kernel::settings::parse_yaml;
use wire::name::is_valid_name;

use crate::schema::Bundle;

/// The largest bundle document, so that it fits one object with its signatures.
pub const MAX_DOCUMENT_BYTES: usize = 900 << 10;

/// One thing that is wrong with a bundle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The dotted path of the field.
    pub field: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.message)
    }
}

/// Parses and checks a document; all problems found are returned at once.
pub fn parse(document: &str) -> Result<Bundle, Vec<Problem>> {
    if document.len() > MAX_DOCUMENT_BYTES {
        let message = format!("the document is over {MAX_DOCUMENT_BYTES} bytes");
        return Err(vec![Problem { field: ".".to_owned(), message }]);
    }
    let bundle: Bundle = parse_yaml(document, "bundle").map_err(|error| match error {
        KernelError::Settings { field, message, .. } => vec![Problem { field, message }],
        other => vec![Problem { field: ".".to_owned(), message: other.to_string() }],
    })?;
    let problems = problems(&bundle);
    if problems.is_empty() { Ok(bundle) } else { Err(problems) }
}

fn problems(bundle: &Bundle) -> Vec<Problem> {
    let mut found = Findings::default();
    check_models(bundle, &mut found);
    check_services(bundle, &mut found);
    check_replicas(bundle, &mut found);
    check_organisations(bundle, &mut found);
    check_rules(bundle, &mut found);
    found.problems
}

#[derive(Default)]
struct Findings {
    problems: Vec<Problem>,
}

impl Findings {
    fn require(&mut self, holds: bool, field: impl Into<String>, message: &str) {
        if !holds {
            self.problems.push(Problem { field: field.into(), message: message.to_owned() });
        }
    }

    fn require_name(&mut self, name: &str, field: String) {
        let message = "use 1 to 128 letters, digits, '-', '_' or '.'";
        self.require(is_valid_name(name), field, message);
    }
}

fn check_models(bundle: &Bundle, found: &mut Findings) {
    found.require(!bundle.models.is_empty(), "models", "name at least one model");
    let mut seen = BTreeSet::new();
    for (index, model) in bundle.models.iter().enumerate() {
        let field = format!("models[{index}]");
        found.require_name(model.name.as_str(), format!("{field}.name"));
        found.require(seen.insert(&model.name), format!("{field}.name"), "the name is used twice");
        found.require(model.slots > 0, format!("{field}.slots"), "must be over 0");
        found.require(model.max_tokens > 0, format!("{field}.max_tokens"), "must be over 0");
        let adapters: BTreeSet<_> = model.adapters.iter().map(|a| &a.name).collect();
        let are_distinct = adapters.len() == model.adapters.len();
        found.require(are_distinct, format!("{field}.adapters"), "an adapter is named twice");
    }
}

fn check_services(bundle: &Bundle, found: &mut Findings) {
    for (index, service) in bundle.services.iter().enumerate() {
        let field = format!("services[{index}]");
        found.require_name(service.name.as_str(), format!("{field}.name"));
        let is_model = bundle.models.iter().any(|model| model.name == service.name);
        found.require(!is_model, format!("{field}.name"), "a model has the same name");
        found.require(service.slots > 0, format!("{field}.slots"), "must be over 0");
        found.require(!service.calls.is_empty(), format!("{field}.calls"), "name at least one");
        for (position, call) in service.calls.iter().enumerate() {
            found.require_name(&call.name, format!("{field}.calls[{position}].name"));
        }
    }
}

fn check_replicas(bundle: &Bundle, found: &mut Findings) {
    let mut seen = BTreeSet::new();
    for (index, replica) in bundle.replicas.iter().enumerate() {
        let field = format!("replicas[{index}]");
        found.require_name(replica.name.as_str(), format!("{field}.name"));
        found.require_name(replica.data_centre.as_str(), format!("{field}.data_centre"));
        let is_new = seen.insert(&replica.name);
        found.require(is_new, format!("{field}.name"), "the name is used twice");
        let runs_known = bundle.slots_of(&replica.runs) > 0;
        found.require(runs_known, format!("{field}.runs"), "no such model or service");
    }
    for (index, model) in bundle.models.iter().enumerate() {
        let has_replica = bundle.replicas_of(&model.name).next().is_some();
        found.require(has_replica, format!("models[{index}]"), "no replica runs this model");
    }
}

fn check_organisations(bundle: &Bundle, found: &mut Findings) {
    let mut names = BTreeSet::new();
    let mut tokens = BTreeSet::new();
    for (index, org) in bundle.organisations.iter().enumerate() {
        let field = format!("organisations[{index}]");
        found.require_name(org.name.as_str(), format!("{field}.name"));
        found.require(names.insert(&org.name), format!("{field}.name"), "the name is used twice");
        let is_digest = org.token_sha256.len() == 64 && org.token_sha256.bytes().all(is_lower_hex);
        let field_token = format!("{field}.token_sha256");
        found.require(is_digest, field_token.clone(), "give 64 lower-case hexadecimal digits");
        found.require(tokens.insert(&org.token_sha256), field_token, "the token is used twice");
        let is_rate = org.requests_per_s.is_finite() && org.requests_per_s > 0.0;
        found.require(is_rate, format!("{field}.requests_per_s"), "must be over 0");
        found.require(org.max_in_flight > 0, format!("{field}.max_in_flight"), "must be over 0");
        found.require(org.batch_weight > 0, format!("{field}.batch_weight"), "must be over 0");
    }
}

fn check_rules(bundle: &Bundle, found: &mut Findings) {
    let rules = &bundle.rules;
    let percents = [
        ("rules.online_reserve_percent", rules.online_reserve_percent),
        ("rules.batch_beside_online_percent", rules.batch_beside_online_percent),
        ("rules.online_slowdown_percent", rules.online_slowdown_percent),
    ];
    for (field, percent) in percents {
        found.require(percent <= 100, field, "must be at most 100");
    }
    found.require(rules.first_token_ms > 0, "rules.first_token_ms", "must be over 0");
    found.require(rules.between_tokens_ms > 0, "rules.between_tokens_ms", "must be over 0");
}

fn is_lower_hex(byte: u8) -> bool {
    matches!(byte, b'0'..=b'9' | b'a'..=b'f')
}
