//! The bundle routes for operators: check, roll, status.

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

use crate::request::Answer;
use crate::request::json_body;

/// How long a daemon may take to tell its number.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// The body of a roll.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollBody {
    /// The signed bundle.
    pub bundle: SignedBundle,
    /// The number that the operator saw in force; the roll is refused if it is another one.
    #[serde(default)]
    pub expected_number: Option<u64>,
}

/// The answer to a status call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BundleStatus {
    /// The bundle that the object API names, absent while it is not available.
    pub accepted: Option<Pointer>,
    /// What each daemon has in force.
    pub daemons: Vec<DaemonStatus>,
}

/// One daemon's word.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The daemon.
    pub daemon: DaemonName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The number in force there.
    pub number: u64,
    /// How old that word is, absent if it was never heard.
    pub age_ms: Option<u64>,
}

/// The answer to a check.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CheckAnswer {
    /// The digest of the document.
    pub digest: String,
    /// The problems found, empty for a good bundle.
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
    pub fn check(&self, request: &Request<Bytes>) -> Answer {
        let document = String::from_utf8_lossy(request.body()).into_owned();
        let problems = match check::parse(&document) {
            Ok(_) => Vec::new(),
            Err(problems) => problems.iter().map(ToString::to_string).collect(),
        };
        let digest = SignedBundle::unsigned(document).digest();
        Ok(json_response(200, &CheckAnswer { digest, problems }))
    }

    /// Puts a signed bundle in force.
    pub async fn roll(&self, operator: &str, request: &Request<Bytes>) -> Answer {
        let body: RollBody = json_body(request)?;
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

    /// Tells what is accepted and what each daemon has in force.
    pub async fn status(&self) -> Answer {
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
        let asked = self.members.peers().into_iter().map(|peer| async move {
            let call = self.links.call(&peer.info, LinkRequest::InForce, STATUS_TIMEOUT).await;
            let (number, age_ms) = match call {
                Ok(Reply::InForce(pointer)) => (pointer.number, Some(0)),
                _ => (peer.in_force, peer.last_heartbeat_age_ms),
            };
            let (daemon, data_centre) = (peer.info.daemon, peer.info.data_centre);
            DaemonStatus { daemon, data_centre, number, age_ms }
        });
        let mut daemons = join_all(asked).await;
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
