//! Validation of bundle documents; each problem names the path of its field.

use std::collections::BTreeSet;
use std::fmt;

use kernel::KernelError;
use kernel::settings::parse_yaml;
use wire::name::is_valid_name;

use crate::schema::Bundle;

/// The size limit of a bundle document, which must fit into one object with its signatures.
pub const MAX_DOCUMENT_BYTES: usize = 900 << 10;

/// A problem in a bundle document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The dotted path of the field.
    pub field: String,
    /// A description of the problem.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.message)
    }
}

/// Parses and validates a document; all problems are returned together.
pub fn parse(document: &str) -> Result<Bundle, Vec<Problem>> {
    if document.len() > MAX_DOCUMENT_BYTES {
        let message = format!("the document is over {MAX_DOCUMENT_BYTES} bytes");
        return Err(vec![Problem { field: ".".to_owned(), message }]);
    }
    let bundle: Bundle = parse_yaml(document, "bundle").map_err(|error| match error {
        KernelError::Settings { field, message, .. } => vec![Problem { field, message }],
        other => vec![Problem { field: ".".to_owned(), message: other.to_string() }],
    })?;
    let problems = find_problems(&bundle);
    if problems.is_empty() { Ok(bundle) } else { Err(problems) }
}

fn find_problems(bundle: &Bundle) -> Vec<Problem> {
    let mut report = ProblemReport::default();
    check_models(bundle, &mut report);
    check_services(bundle, &mut report);
    check_replicas(bundle, &mut report);
    check_organisations(bundle, &mut report);
    check_rules(bundle, &mut report);
    report.problems
}

#[derive(Default)]
struct ProblemReport {
    problems: Vec<Problem>,
}

impl ProblemReport {
    fn require(&mut self, is_met: bool, field: impl Into<String>, message: &str) {
        if !is_met {
            self.problems.push(Problem { field: field.into(), message: message.to_owned() });
        }
    }

    fn require_name(&mut self, name: &str, field: String) {
        let message = "use 1 to 128 letters, digits, '-', '_' or '.'";
        self.require(is_valid_name(name), field, message);
    }
}

fn check_models(bundle: &Bundle, report: &mut ProblemReport) {
    report.require(!bundle.models.is_empty(), "models", "name at least one model");
    let mut seen = BTreeSet::new();
    for (index, model) in bundle.models.iter().enumerate() {
        let field = format!("models[{index}]");
        report.require_name(model.name.as_str(), format!("{field}.name"));
        report.require(seen.insert(&model.name), format!("{field}.name"), "the name is used twice");
        report.require(model.slots > 0, format!("{field}.slots"), "must be over 0");
        report.require(model.max_tokens > 0, format!("{field}.max_tokens"), "must be over 0");
        let adapters: BTreeSet<_> = model.adapters.iter().map(|a| &a.name).collect();
        let are_distinct = adapters.len() == model.adapters.len();
        report.require(are_distinct, format!("{field}.adapters"), "an adapter is named twice");
    }
}

fn check_services(bundle: &Bundle, report: &mut ProblemReport) {
    for (index, service) in bundle.services.iter().enumerate() {
        let field = format!("services[{index}]");
        report.require_name(service.name.as_str(), format!("{field}.name"));
        let is_model_name = bundle.models.iter().any(|model| model.name == service.name);
        report.require(!is_model_name, format!("{field}.name"), "a model has the same name");
        report.require(service.slots > 0, format!("{field}.slots"), "must be over 0");
        report.require(!service.calls.is_empty(), format!("{field}.calls"), "name at least one");
        for (position, call) in service.calls.iter().enumerate() {
            report.require_name(&call.name, format!("{field}.calls[{position}].name"));
        }
    }
}

fn check_replicas(bundle: &Bundle, report: &mut ProblemReport) {
    let mut seen = BTreeSet::new();
    for (index, replica) in bundle.replicas.iter().enumerate() {
        let field = format!("replicas[{index}]");
        report.require_name(replica.name.as_str(), format!("{field}.name"));
        report.require_name(replica.data_centre.as_str(), format!("{field}.data_centre"));
        let is_new = seen.insert(&replica.name);
        report.require(is_new, format!("{field}.name"), "the name is used twice");
        let has_target = bundle.slots_of(&replica.runs) > 0;
        report.require(has_target, format!("{field}.runs"), "no such model or service");
    }
    for (index, model) in bundle.models.iter().enumerate() {
        let has_replica = bundle.replicas_of(&model.name).next().is_some();
        report.require(has_replica, format!("models[{index}]"), "no replica runs this model");
    }
}

fn check_organisations(bundle: &Bundle, report: &mut ProblemReport) {
    let mut names = BTreeSet::new();
    let mut tokens = BTreeSet::new();
    for (index, org) in bundle.organisations.iter().enumerate() {
        let field = format!("organisations[{index}]");
        report.require_name(org.name.as_str(), format!("{field}.name"));
        report.require(names.insert(&org.name), format!("{field}.name"), "the name is used twice");
        let is_digest = org.token_sha256.len() == 64 && org.token_sha256.bytes().all(is_lower_hex);
        let token_field = format!("{field}.token_sha256");
        report.require(is_digest, token_field.clone(), "give 64 lower-case hexadecimal digits");
        report.require(tokens.insert(&org.token_sha256), token_field, "the token is used twice");
        let is_valid_rate = org.requests_per_s.is_finite() && org.requests_per_s > 0.0;
        report.require(is_valid_rate, format!("{field}.requests_per_s"), "must be over 0");
        report.require(org.max_in_flight > 0, format!("{field}.max_in_flight"), "must be over 0");
        report.require(org.batch_weight > 0, format!("{field}.batch_weight"), "must be over 0");
    }
}

fn check_rules(bundle: &Bundle, report: &mut ProblemReport) {
    let rules = &bundle.rules;
    let percents = [
        ("rules.online_reserve_percent", rules.online_reserve_percent),
        ("rules.batch_beside_online_percent", rules.batch_beside_online_percent),
        ("rules.online_slowdown_percent", rules.online_slowdown_percent),
    ];
    for (field, percent) in percents {
        report.require(percent <= 100, field, "must be at most 100");
    }
    report.require(rules.first_token_ms > 0, "rules.first_token_ms", "must be over 0");
    report.require(rules.between_tokens_ms > 0, "rules.between_tokens_ms", "must be over 0");
}

fn is_lower_hex(byte: u8) -> bool {
    matches!(byte, b'0'..=b'9' | b'a'..=b'f')
}
