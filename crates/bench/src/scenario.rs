//! The experiments: what callers do, what batch does, and what fails when.

use std::time::Duration;

use clap::ValueEnum;
use serde::Deserialize;
use serde::Serialize;

use crate::arrivals::Profile;

/// One experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// A constant online rate.
    Steady,
    /// Ten times the online rate within one second.
    Burst,
    /// The day's lots arrive in the middle.
    ShiftEnd,
    /// One long non-idempotent job.
    BillingRun,
    /// One replica answers slowly.
    SlowReplica,
    /// One replica dies and stays away.
    DyingReplica,
    /// One replica is taken out by the platform.
    LeavingReplica,
    /// Every question has a prefix of its own.
    ColdCache,
    /// One daemon is lost.
    DaemonLoss,
    /// The object API is down for some seconds.
    StoreOutage,
    /// One organisation asks far more than it may.
    Flood,
}

/// How batch shares the replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// No batch at all.
    OnlineOnly,
    /// No online requests at all.
    BatchOnly,
    /// Batch at a fixed concurrency, whatever online does.
    NoControl,
    /// Half of the replicas for each.
    Partition,
    /// Batch gives way.
    Yield,
}

/// Which of the first users is modelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// The crate washing depot.
    Depot,
    /// District cooling.
    Cooling,
}

/// What is done to the system in the middle of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Nothing.
    None,
    /// An engine gets slow, by this much in each step.
    Slow(Duration),
    /// An engine dies.
    Die,
    /// An engine's host leaves.
    Leave,
    /// A daemon is killed.
    KillDaemon,
    /// The platform is down until the end of the run's third quarter.
    Outage,
    /// A second organisation floods.
    Flood,
    /// The job starts now.
    StartJob,
}

impl Scenario {
    /// Every scenario.
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

    /// Returns the arrivals of a run of `length_s` seconds at the deployment's usual rate.
    pub fn profile(self, rate: f64, length_s: f64) -> Profile {
        match self {
            Self::Burst => Profile::Burst { rate, at_s: length_s / 2.0 },
            _ => Profile::Steady(rate),
        }
    }

    /// Returns what is done in the middle.
    pub fn event(self) -> Event {
        match self {
            Self::Steady | Self::Burst | Self::BillingRun | Self::ColdCache => Event::None,
            Self::ShiftEnd => Event::StartJob,
            Self::SlowReplica => Event::Slow(Duration::from_millis(100)),
            Self::DyingReplica => Event::Die,
            Self::LeavingReplica => Event::Leave,
            Self::DaemonLoss => Event::KillDaemon,
            Self::StoreOutage => Event::Outage,
            Self::Flood => Event::Flood,
        }
    }

    /// Returns the name on the command line.
    pub fn name(self) -> String {
        self.to_possible_value().map(|value| value.get_name().to_owned()).unwrap_or_default()
    }
}

impl Policy {
    /// Every policy, the baselines first.
    pub const ALL: [Self; 5] =
        [Self::OnlineOnly, Self::BatchOnly, Self::NoControl, Self::Partition, Self::Yield];

    /// Returns the daemon's setting.
    pub fn setting(self) -> &'static str {
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

    /// Returns the model that online and batch share.
    pub fn model(self) -> &'static str {
        match self {
            Self::Depot => "depot",
            Self::Cooling => "invoice",
        }
    }

    /// Returns the tokens of the online and of the batch organisation.
    pub fn tokens(self) -> (&'static str, &'static str) {
        match self {
            Self::Depot => ("depot-drivers-token", "depot-billing-token"),
            Self::Cooling => ("cooling-clerks-token", "cooling-billing-token"),
        }
    }

    /// Returns the token of a third organisation.
    pub fn third_token(self) -> &'static str {
        match self {
            Self::Depot => "depot-supervisors-token",
            Self::Cooling => "cooling-managers-token",
        }
    }

    /// Returns the usual online rate, in requests a second.
    pub fn rate(self) -> f64 {
        match self {
            Self::Depot => 30.0,
            Self::Cooling => 25.0,
        }
    }

    /// Returns the number of entry hosts.
    pub fn daemons(self) -> usize {
        9
    }

    /// Returns the name on the command line.
    pub fn name(self) -> String {
        self.to_possible_value().map(|value| value.get_name().to_owned()).unwrap_or_default()
    }
}
