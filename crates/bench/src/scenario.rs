//! The experiments: the online load, the batch policy and the event in the middle of a run.

use std::time::Duration;

use clap::ValueEnum;
use serde::Deserialize;
use serde::Serialize;

use crate::arrivals::Profile;

/// The scenario of an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// A constant online rate.
    Steady,
    /// A constant online rate with a burst of ten times that rate for one second.
    Burst,
    /// The day's batch job starts in the middle of the run.
    ShiftEnd,
    /// A constant online rate while a non-idempotent batch job runs.
    BillingRun,
    /// One replica becomes slow in the middle of the run.
    SlowReplica,
    /// One replica goes down in the middle of the run and does not return.
    DyingReplica,
    /// The platform marks the host of one replica as leaving in the middle of the run.
    LeavingReplica,
    /// Online prompts share no prefixes.
    ColdCache,
    /// One daemon is killed in the middle of the run.
    DaemonLoss,
    /// The platform, with its object API, is down for three tenths of the run from its middle on.
    StoreOutage,
    /// From the middle of the run on, a third organisation sends requests far above its rate limit.
    Flood,
}

/// How batch work shares the replicas with online requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Online requests without batch work.
    OnlineOnly,
    /// Batch work without online requests.
    BatchOnly,
    /// Batch work runs at a fixed concurrency, independent of online requests.
    NoControl,
    /// Half of the replicas run only batch work, and the others only online requests.
    Partition,
    /// Batch work uses the capacity that online requests leave, and returns it at once when needed.
    Yield,
}

/// The first users' deployment that an experiment models.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// The crate washing depot.
    Depot,
    /// District cooling.
    Cooling,
}

/// The event that is applied in the middle of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MidRunEvent {
    /// No event.
    None,
    /// Each step of an engine takes this much longer.
    EngineSlow(Duration),
    /// An engine goes down for the rest of the run.
    EngineDown,
    /// The platform marks an engine's host as leaving.
    HostLeaves,
    /// A daemon is killed.
    DaemonKilled,
    /// The platform is down for three tenths of the run.
    StoreDown,
    /// A third organisation sends far more requests than its limit allows.
    Flood,
    /// The job starts.
    JobStart,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 11] = [
        Self::Steady,
        Self::Burst,
        Self::ShiftEnd,
        Self::BillingRun,
        Self::SlowReplica,
        Self::DyingReplica,
        Self::LeavingReplica,
        Self::ColdCache,
        Self::DaemonLoss,
        Self::StoreOutage,
        Self::Flood,
    ];

    /// Returns the arrival profile of a run of `length_s` seconds at the given online rate.
    pub fn profile(self, rate: f64, length_s: f64) -> Profile {
        match self {
            Self::Burst => Profile::Burst { rate, at_s: length_s / 2.0 },
            _ => Profile::Steady(rate),
        }
    }

    /// Returns the event in the middle of the run.
    pub fn mid_run_event(self) -> MidRunEvent {
        match self {
            Self::Steady | Self::Burst | Self::BillingRun | Self::ColdCache => MidRunEvent::None,
            Self::ShiftEnd => MidRunEvent::JobStart,
            Self::SlowReplica => MidRunEvent::EngineSlow(Duration::from_millis(100)),
            Self::DyingReplica => MidRunEvent::EngineDown,
            Self::LeavingReplica => MidRunEvent::HostLeaves,
            Self::DaemonLoss => MidRunEvent::DaemonKilled,
            Self::StoreOutage => MidRunEvent::StoreDown,
            Self::Flood => MidRunEvent::Flood,
        }
    }

    /// Returns the name on the command line.
    pub fn name(self) -> String {
        self.to_possible_value().map(|value| value.get_name().to_owned()).unwrap_or_default()
    }
}

impl Policy {
    /// All policies, the baselines first.
    pub const ALL: [Self; 5] =
        [Self::OnlineOnly, Self::BatchOnly, Self::NoControl, Self::Partition, Self::Yield];

    /// Returns the value of the daemon's `batch.policy` setting.
    pub fn batch_policy_setting(self) -> &'static str {
        match self {
            Self::OnlineOnly | Self::Yield => "yield",
            Self::BatchOnly | Self::NoControl => "fixed",
            Self::Partition => "partition",
        }
    }

    /// Returns whether online requests are sent.
    pub fn has_online(self) -> bool {
        self != Self::BatchOnly
    }

    /// Returns whether a batch job runs.
    pub fn has_batch(self) -> bool {
        self != Self::OnlineOnly
    }

    /// Returns the name on the command line.
    pub fn name(self) -> String {
        self.to_possible_value().map(|value| value.get_name().to_owned()).unwrap_or_default()
    }
}

impl Deployment {
    /// Returns the bundle document.
    pub fn bundle(self) -> &'static str {
        match self {
            Self::Depot => include_str!("../../../examples/crate-depot.yaml"),
            Self::Cooling => include_str!("../../../examples/district-cooling.yaml"),
        }
    }

    /// Returns the model that online requests and the batch job share.
    pub fn model(self) -> &'static str {
        match self {
            Self::Depot => "depot",
            Self::Cooling => "invoice",
        }
    }

    /// Returns the access tokens of the online and the batch organisation.
    pub fn organisation_tokens(self) -> (&'static str, &'static str) {
        match self {
            Self::Depot => ("depot-drivers-token", "depot-billing-token"),
            Self::Cooling => ("cooling-clerks-token", "cooling-billing-token"),
        }
    }

    /// Returns the access token of a third organisation.
    pub fn third_organisation_token(self) -> &'static str {
        match self {
            Self::Depot => "depot-supervisors-token",
            Self::Cooling => "cooling-managers-token",
        }
    }

    /// Returns the usual online rate, in requests a second.
    pub fn online_rate(self) -> f64 {
        match self {
            Self::Depot => 30.0,
            Self::Cooling => 25.0,
        }
    }

    /// Returns the number of daemons.
    pub fn daemon_count(self) -> usize {
        9
    }

    /// Returns the name on the command line.
    pub fn name(self) -> String {
        self.to_possible_value().map(|value| value.get_name().to_owned()).unwrap_or_default()
    }
}
