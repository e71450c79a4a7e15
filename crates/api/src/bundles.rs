//! Bundle routes for operators: check, roll out, status.

use std::sync::Arc;
use std::time::Duration;

use bundle::BundleManager;
use bundle::SignedBundle;
use bundle::check;
use bundle::roll;
use bundle::roll::RollError;
use bytes::Bytes;
use fleet::Links;
use fleet::MembershipService;
use futures::future::join_all;
use http::Request;
use kernel::http_server::json_response;
use log::info;
use serde::Deserialize;
use serde::Serialize;
use store::Store;
use wire::DaemonName;
use wire::DataCentre;
use wire::Reason;
use wire::Refusal;
use wire::link::Pointer;
use wire::link::Reply;
use wire::link::Request as LinkRequest;

use crate::request::RouteResult;
use crate::request::parse_json_body;

/// Time limit for a daemon to report the number of the bundle that it has in force.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Body of a request to roll out a bundle.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollBody {
    /// The signed bundle.
    pub bundle: SignedBundle,
    /// Number of the bundle that the operator expects to be in force; the request is refused if
    /// another one is.
    #[serde(default)]
    pub expected_number: Option<u64>,
}

/// Answer to a status request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BundleStatus {
    /// The accepted bundle according to the object API, absent while that is unavailable.
    pub accepted: Option<Pointer>,
    /// The bundle in force at each daemon.
    pub daemons: Vec<DaemonStatus>,
}

/// The bundle in force at one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Name of the daemon.
    pub daemon: DaemonName,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Number of the bundle in force at the daemon.
    pub number: u64,
    /// Age of this report, absent if no heartbeat of the daemon has been received.
    pub age_ms: Option<u64>,
}

/// Answer to a check request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CheckAnswer {
    /// Digest of the document.
    pub digest: String,
    /// Problems found, empty for a valid bundle.
    pub problems: Vec<String>,
}

/// The bundle routes of one daemon.
pub struct BundleRoutes {
    store: Arc<Store>,
    bundle_manager: Arc<BundleManager>,
    members: Arc<MembershipService>,
    links: Arc<Links>,
}

impl BundleRoutes {
    /// Creates the routes.
    pub fn new(
        store: Arc<Store>,
        bundle_manager: Arc<BundleManager>,
        members: Arc<MembershipService>,
        links: Arc<Links>,
    ) -> Self {
        Self { store, bundle_manager, members, links }
    }

    /// Checks a document without storing it.
    pub fn check(&self, request: &Request<Bytes>) -> RouteResult {
        let document = String::from_utf8_lossy(request.body()).into_owned();
        let problems = match check::parse(&document) {
            Ok(_) => Vec::new(),
            Err(problems) => problems.iter().map(ToString::to_string).collect(),
        };
        let digest = SignedBundle::unsigned(document).digest();
        Ok(json_response(200, &CheckAnswer { digest, problems }))
    }

    /// Verifies a signed bundle, records it as accepted and announces it to the other daemons.
    pub async fn roll(&self, operator: &str, request: &Request<Bytes>) -> RouteResult {
        let body: RollBody = parse_json_body(request)?;
        if let Err(problems) = check::parse(&body.bundle.document) {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            return Err(Refusal::not_run(Reason::BadRequest, lines.join("; ")));
        }
        self.bundle_manager
            .trusted_operators()
            .verify(&body.bundle)
            .map_err(|error| Refusal::not_run(Reason::Unsigned, error.to_string()))?;
        let pointer = roll::roll(&self.store, &body.bundle, operator, body.expected_number)
            .await
            .map_err(roll_refusal)?;
        info!("event=bundle_rolled operator={operator} number={}", pointer.number);
        self.bundle_manager.handle_pointer(pointer.clone(), None).await;
        self.bundle_manager.broadcast(&pointer);
        Ok(json_response(200, &pointer))
    }

    /// Returns the accepted bundle and the bundle in force at each daemon. A daemon that does not answer
    /// is reported from its last heartbeat.
    pub async fn status(&self) -> RouteResult {
        let accepted =
            roll::read_in_force(&self.store).await.ok().map(|(object, _)| object.pointer);
        let own = self.members.own();
        let own_number = self.bundle_manager.active().map_or(0, |active| active.pointer.number);
        let own_status = DaemonStatus {
            daemon: own.daemon.clone(),
            data_centre: own.data_centre.clone(),
            number: own_number,
            age_ms: Some(0),
        };
        let queries = self.members.peers().into_iter().map(|peer| async move {
            let call = self.links.call(&peer.info, LinkRequest::InForce, STATUS_TIMEOUT).await;
            let (number, age_ms) = match call {
                Ok(Reply::InForce(pointer)) => (pointer.number, Some(0)),
                _ => (peer.in_force, peer.last_heartbeat_age_ms),
            };
            let (daemon, data_centre) = (peer.info.daemon, peer.info.data_centre);
            DaemonStatus { daemon, data_centre, number, age_ms }
        });
        let mut daemons = join_all(queries).await;
        daemons.push(own_status);
        daemons.sort_by(|a, b| a.daemon.cmp(&b.daemon));
        Ok(json_response(200, &BundleStatus { accepted, daemons }))
    }
}

fn roll_refusal(error: RollError) -> Refusal {
    let message = error.to_string();
    match error {
        RollError::LostRace { .. } | RollError::UnexpectedNumber { .. } => {
            Refusal::not_run(Reason::Conflict, message)
        }
        RollError::Store(_) => Refusal::not_run(Reason::StoreUnavailable, message),
        RollError::OutcomeUnknown(_) => Refusal::may_have_run(Reason::StoreUnavailable, message),
    }
}
