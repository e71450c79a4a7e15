//! Counters built on cadence; kept in memory for the metrics page and sent to statsd if configured.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cadence::Counted;
use cadence::Gauged;
use cadence::Histogrammed;
use cadence::MetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use hdrhistogram::Histogram;
use wire::Ran;
use wire::Reason;
use wire::Refusal;

/// The prefix of every metric.
const PREFIX: &str = "crocus";
/// The maximum value of a histogram, ten minutes in milliseconds; larger values count as this one.
const MAX_OBSERVED: u64 = 600_000;
/// The significant digits of a histogram.
const OBSERVED_DIGITS: u8 = 2;
/// The quantiles on the metrics page.
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];

/// The reason for a retry; every retry is counted under one of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// A backend server refused the connection.
    BackendConnect,
    /// A backend server reported that it is full.
    BackendBusy,
    /// A stream made no progress and was resumed on a new connection.
    StreamResumed,
    /// A batch lane had no room.
    LaneBusy,
    /// A batch item's backend server was lost.
    ItemBackendLost,
    /// The object API did not answer a call.
    StoreCall,
    /// The rate limit of the object API is exhausted.
    StoreRate,
    /// A conditional update failed since the object had another version.
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

/// The counters, gauges and histograms of one daemon.
#[derive(Clone)]
pub struct Counters {
    client: Arc<StatsdClient>,
    totals: Arc<Mutex<Totals>>,
}

#[derive(Default)]
struct Totals {
    values: BTreeMap<String, i64>,
    histograms: BTreeMap<String, Histogram<u64>>,
}

impl Totals {
    fn record(&mut self, sample: Sample) {
        match sample.kind {
            SampleKind::Count => *self.values.entry(sample.key).or_insert(0) += sample.value,
            SampleKind::Gauge => {
                self.values.insert(sample.key, sample.value);
            }
            SampleKind::Observation => {
                let histogram = self.histograms.entry(sample.key).or_insert_with(new_histogram);
                histogram.saturating_record(sample.value.unsigned_abs());
            }
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_OBSERVED, OBSERVED_DIGITS)
        .unwrap_or_else(|error| unreachable!("the bounds are constants: {error}"))
}

impl Counters {
    /// Creates counters that are also sent to `statsd`, if given.
    pub fn new(statsd: Option<SocketAddr>) -> io::Result<Self> {
        let totals = Arc::new(Mutex::new(Totals::default()));
        let sink = TotalsSink { totals: Arc::clone(&totals), forward: statsd_sink(statsd)? };
        let counters = Self { client: Arc::new(StatsdClient::from_sink(PREFIX, sink)), totals };
        counters.register_reason_counters();
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
    pub fn set_gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records one value, such as a time in milliseconds, in a histogram.
    pub fn observe(&self, name: &str, value: u64) {
        let _ = self.client.histogram(name, value.min(MAX_OBSERVED));
    }

    /// Counts one event under a tag.
    pub fn count_tagged(&self, name: &str, tag: &str, value: &str) {
        self.client.count_with_tags(name, 1).with_tag(tag, value).send();
    }

    /// Counts a refusal under its reason.
    pub fn count_refusal(&self, refusal: &Refusal) {
        self.count_tagged("refused", "reason", refusal.reason.as_str());
        if refusal.ran == Ran::Unknown {
            self.count("refused_ran_unknown");
        }
    }

    /// Counts a retry under its reason.
    pub fn count_retry(&self, reason: RetryReason) {
        self.count_tagged("retried", "reason", reason.as_str());
    }

    /// Returns the value of a counter or gauge, 0 if it was never counted or set.
    pub fn value(&self, name: &str) -> i64 {
        let key = format!("{PREFIX}_{name}");
        self.lock().values.get(&key).copied().unwrap_or(0)
    }

    /// Returns the metrics page: a `name value` line for each metric, with histograms as quantiles.
    pub fn render_page(&self) -> String {
        let totals = self.lock();
        let mut page = String::new();
        for (name, value) in &totals.values {
            let _ = writeln!(page, "{name} {value}");
        }
        for (name, histogram) in &totals.histograms {
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(page, "{name}{{quantile=\"{quantile}\"}} {value}");
            }
            let sum = histogram.mean() * histogram.len() as f64;
            let _ = writeln!(page, "{name}_sum {sum:.0}\n{name}_count {}", histogram.len());
        }
        page
    }

    /// Returns all non-zero counters and gauges, and the 99th percentile of each histogram, as
    /// `name=value` pairs on one line.
    pub fn summary(&self) -> String {
        let totals = self.lock();
        let short_name = |name: &str| {
            let name = name.strip_prefix(PREFIX).unwrap_or(name);
            name.trim_start_matches('_').replace('"', "")
        };
        let values = totals.values.iter().filter(|(_, value)| **value != 0);
        let values = values.map(|(name, value)| format!("{}={value}", short_name(name)));
        let percentiles = totals.histograms.iter().map(|(name, histogram)| {
            let p99 = histogram.value_at_quantile(0.99);
            format!("{}_p99={p99}", short_name(name))
        });
        values.chain(percentiles).collect::<Vec<_>>().join(" ")
    }

    fn lock(&self) -> MutexGuard<'_, Totals> {
        self.totals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn register_reason_counters(&self) {
        for reason in Reason::ALL {
            self.client.count_with_tags("refused", 0).with_tag("reason", reason.as_str()).send();
        }
        for reason in RetryReason::ALL {
            self.client.count_with_tags("retried", 0).with_tag("reason", reason.as_str()).send();
        }
    }
}

fn statsd_sink(statsd: Option<SocketAddr>) -> io::Result<Option<UdpMetricSink>> {
    let Some(address) = statsd else {
        return Ok(None);
    };
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    UdpMetricSink::from(address, socket).map(Some).map_err(io::Error::other)
}

/// Accumulates the metrics that cadence emits and forwards them to statsd.
struct TotalsSink {
    totals: Arc<Mutex<Totals>>,
    forward: Option<UdpMetricSink>,
}

impl MetricSink for TotalsSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if let Some(sample) = Sample::parse(metric) {
            self.totals.lock().unwrap_or_else(PoisonError::into_inner).record(sample);
        }
        match &self.forward {
            Some(sink) => sink.emit(metric),
            None => Ok(metric.len()),
        }
    }
}

enum SampleKind {
    Count,
    Gauge,
    Observation,
}

/// A parsed statsd line.
struct Sample {
    key: String,
    value: i64,
    kind: SampleKind,
}

impl Sample {
    fn parse(metric: &str) -> Option<Self> {
        let (name, rest) = metric.split_once(':')?;
        let mut parts = rest.split('|');
        let value = parts.next()?.parse().ok()?;
        let kind = match parts.next()? {
            "g" => SampleKind::Gauge,
            "h" => SampleKind::Observation,
            _ => SampleKind::Count,
        };
        let mut key = name.replace('.', "_");
        if let Some((tag, text)) =
            parts.next().and_then(|tags| tags.strip_prefix('#')?.split_once(':'))
        {
            let _ = write!(key, "{{{tag}=\"{text}\"}}");
        }
        Some(Self { key, value, kind })
    }
}
