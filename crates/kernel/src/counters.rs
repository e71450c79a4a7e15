//! Counters through cadence, kept in memory for the metrics page and sent to statsd if set.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use cadence::Counted;
use cadence::Gauged;
use cadence::MetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use wire::Ran;
use wire::Reason;
use wire::Refusal;

/// The prefix of every metric.
const PREFIX: &str = "crocus";

/// Why something was tried again; every retry counts under one of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// A backend server refused the connection.
    BackendConnect,
    /// A backend server said that it is full.
    BackendBusy,
    /// A stream made no progress and was resumed on a new connection.
    StreamResumed,
    /// A batch lane had no room.
    LaneBusy,
    /// A batch item's backend server was lost.
    ItemBackendLost,
    /// The object API did not answer a call.
    StoreCall,
    /// The object API said that its rate is used up.
    StoreRate,
    /// A conditional update met another version.
    StoreConflict,
    /// A link between daemons was dialled again.
    LinkRedial,
}

impl RetryReason {
    /// Every reason, for registering counters.
    pub const ALL: [Self; 9] = [
        Self::BackendConnect,
        Self::BackendBusy,
        Self::StreamResumed,
        Self::LaneBusy,
        Self::ItemBackendLost,
        Self::StoreCall,
        Self::StoreRate,
        Self::StoreConflict,
        Self::LinkRedial,
    ];

    /// Returns the reason as it appears on the metrics page.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BackendConnect => "backend_connect",
            Self::BackendBusy => "backend_busy",
            Self::StreamResumed => "stream_resumed",
            Self::LaneBusy => "lane_busy",
            Self::ItemBackendLost => "item_backend_lost",
            Self::StoreCall => "store_call",
            Self::StoreRate => "store_rate",
            Self::StoreConflict => "store_conflict",
            Self::LinkRedial => "link_redial",
        }
    }
}

/// The counters and gauges of one daemon.
#[derive(Clone)]
pub struct Counters {
    client: Arc<StatsdClient>,
    totals: Arc<Mutex<BTreeMap<String, i64>>>,
}

impl Counters {
    /// Creates counters that are also sent to `statsd`, if given.
    pub fn new(statsd: Option<SocketAddr>) -> io::Result<Self> {
        let totals = Arc::new(Mutex::new(BTreeMap::new()));
        let sink = TotalsSink { totals: Arc::clone(&totals), forward: forward_sink(statsd)? };
        let counters = Self { client: Arc::new(StatsdClient::from_sink(PREFIX, sink)), totals };
        counters.register_reasons();
        Ok(counters)
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Counts `amount` events at once.
    pub fn add(&self, name: &str, amount: i64) {
        let _ = self.client.count(name, amount);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Counts one event under a tag.
    pub fn count_tagged(&self, name: &str, tag: &str, value: &str) {
        self.client.count_with_tags(name, 1).with_tag(tag, value).send();
    }

    /// Counts a refusal under its reason.
    pub fn refused(&self, refusal: &Refusal) {
        self.count_tagged("refused", "reason", refusal.reason.as_str());
        if refusal.ran == Ran::Unknown {
            self.count("refused_ran_unknown");
        }
    }

    /// Counts a retry under its reason.
    pub fn retried(&self, reason: RetryReason) {
        self.count_tagged("retried", "reason", reason.as_str());
    }

    /// Returns one metric's value, 0 if it was never counted.
    pub fn value(&self, name: &str) -> i64 {
        let key = format!("{PREFIX}_{name}");
        self.totals.lock().unwrap_or_else(PoisonError::into_inner).get(&key).copied().unwrap_or(0)
    }

    /// Returns the metrics page: one `name value` line for each metric.
    pub fn page(&self) -> String {
        let totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        totals.iter().fold(String::new(), |mut page, (name, value)| {
            let _ = writeln!(page, "{name} {value}");
            page
        })
    }

    /// Returns every counter that is not zero as `name=value` pairs on one line.
    pub fn summary(&self) -> String {
        let totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        let counted = totals.iter().filter(|(_, value)| **value != 0);
        let pairs = counted.map(|(name, value)| {
            let name = name.strip_prefix(PREFIX).unwrap_or(name);
            format!("{}={value}", name.trim_start_matches('_').replace('"', ""))
        });
        pairs.collect::<Vec<_>>().join(" ")
    }

    fn register_reasons(&self) {
        for reason in Reason::ALL {
            self.client.count_with_tags("refused", 0).with_tag("reason", reason.as_str()).send();
        }
        for reason in RetryReason::ALL {
            self.client.count_with_tags("retried", 0).with_tag("reason", reason.as_str()).send();
        }
    }
}

fn forward_sink(statsd: Option<SocketAddr>) -> io::Result<Option<UdpMetricSink>> {
    let Some(address) = statsd else {
        return Ok(None);
    };
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    UdpMetricSink::from(address, socket).map(Some).map_err(io::Error::other)
}

/// Adds up what cadence emits and passes it on.
struct TotalsSink {
    totals: Arc<Mutex<BTreeMap<String, i64>>>,
    forward: Option<UdpMetricSink>,
}

impl MetricSink for TotalsSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if let Some(sample) = Sample::parse(metric) {
            let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
            let total = totals.entry(sample.key).or_insert(0);
            *total = if sample.is_gauge { sample.value } else { *total + sample.value };
        }
        match &self.forward {
            Some(sink) => sink.emit(metric),
            None => Ok(metric.len()),
        }
    }
}

/// One statsd line, read back.
struct Sample {
    key: String,
    value: i64,
    is_gauge: bool,
}

impl Sample {
    fn parse(metric: &str) -> Option<Self> {
        let (name, rest) = metric.split_once(':')?;
        let mut parts = rest.split('|');
        let value = parts.next()?.parse().ok()?;
        let is_gauge = parts.next()? == "g";
        let mut key = name.replace('.', "_");
        if let Some((tag, text)) =
            parts.next().and_then(|tags| tags.strip_prefix('#')?.split_once(':'))
        {
            let _ = write!(key, "{{{tag}=\"{text}\"}}");
        }
        Some(Self { key, value, is_gauge })
    }
}
