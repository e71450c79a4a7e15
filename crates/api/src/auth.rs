//! Authentication by bearer token: organisations against the bundle in force, operators against the
//! daemon's settings.

use std::sync::Arc;

use bundle::ActiveBundle;
use bundle::BundleManager;
use bundle::schema::Organisation;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use kernel::settings::OperatorSettings;
use wire::Reason;
use wire::Refusal;
use wire::digest::sha256_hex;

/// An authenticated caller.
pub struct Caller {
    /// The bundle that applies to the whole request, even if another one comes into force meanwhile.
    pub active: Arc<ActiveBundle>,
    /// The caller's organisation.
    pub org: Organisation,
}

/// Returns the organisation that the request's token belongs to.
pub fn authenticate_caller(
    bundle_manager: &BundleManager,
    headers: &HeaderMap,
) -> Result<Caller, Refusal> {
    let active = active_bundle(bundle_manager)?;
    let digest = token_digest(headers)?;
    let org = active.bundle.organisations.iter().find(|org| org.token_sha256 == digest);
    let org = org.cloned().ok_or_else(unknown_token_refusal)?;
    Ok(Caller { active, org })
}

/// Returns the organisation that an operator acts for.
pub fn caller_for_organisation(
    bundle_manager: &BundleManager,
    name: &str,
) -> Result<Caller, Refusal> {
    let active = active_bundle(bundle_manager)?;
    let org = active.bundle.organisations.iter().find(|org| org.name.as_str() == name);
    let org = org.cloned().ok_or_else(|| {
        let message = format!("the bundle in force has no organisation '{name}'");
        Refusal::not_run(Reason::NotFound, message)
    })?;
    Ok(Caller { active, org })
}

/// Returns the name of the operator that the request's token belongs to.
pub fn authenticate_operator<'a>(
    operators: &'a [OperatorSettings],
    headers: &HeaderMap,
) -> Result<&'a str, Refusal> {
    let digest = token_digest(headers)?;
    let operator =
        operators.iter().find(|operator| operator.token_sha256.eq_ignore_ascii_case(&digest));
    operator.map(|operator| operator.name.as_str()).ok_or_else(unknown_token_refusal)
}

fn active_bundle(bundle_manager: &BundleManager) -> Result<Arc<ActiveBundle>, Refusal> {
    bundle_manager.active().ok_or_else(|| {
        let message = "no signed bundle is in force yet";
        Refusal::not_run(Reason::NoBundle, message).with_retry_after(NO_BUNDLE_RETRY_AFTER_MS)
    })
}

/// Retry delay suggested to callers while no bundle is in force.
const NO_BUNDLE_RETRY_AFTER_MS: wire::Millis = 1_000;

/// Returns the digest of the request's token. Tokens are compared by digest, so the time of the
/// comparison reveals nothing about the token.
fn token_digest(headers: &HeaderMap) -> Result<String, Refusal> {
    let token = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(str::trim)
        .filter(|token| !token.is_empty());
    let token = token.ok_or_else(|| {
        let message = "send a token in the header 'Authorization: Bearer TOKEN'";
        Refusal::not_run(Reason::Unauthenticated, message)
    })?;
    Ok(sha256_hex(token.as_bytes()))
}

fn unknown_token_refusal() -> Refusal {
    Refusal::not_run(Reason::Unauthenticated, "the token is not known")
}
