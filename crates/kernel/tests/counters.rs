//! Counters and histograms on the metrics page.

use kernel::Counters;

#[test]
fn page_shows_counts_gauges_and_quantiles() {
    let counters = Counters::new(None).expect("counters without statsd need no socket");
    counters.count_tagged("request_refused", "why", "overload");
    counters.count_tagged("request_refused", "why", "overload");
    counters.set_gauge("slots_held", 7);
    counters.set_gauge("slots_held", 5);
    for value in 1..=1000 {
        counters.observe("request_ms", value);
    }
    let page = counters.render_page();
    let value = |name: &str| {
        let line = page.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.and_then(|value| value.parse::<f64>().ok())
    };
    assert_eq!(value("crocus_request_refused{why=\"overload\"}"), Some(2.0));
    assert_eq!(value("crocus_slots_held"), Some(5.0));
    assert_eq!(value("crocus_request_ms_count"), Some(1000.0));
    let p95 = value("crocus_request_ms{quantile=\"0.95\"}").expect("the page has the quantile");
    assert!((940.0..=960.0).contains(&p95), "{p95}");
    assert!(counters.summary().contains("request_ms_p99="), "{}", counters.summary());
}

#[test]
fn values_over_the_maximum_are_recorded_as_the_maximum() {
    let counters = Counters::new(None).expect("counters without statsd need no socket");
    counters.observe("job_ms", 0);
    counters.observe("job_ms", u64::MAX);
    assert!(counters.render_page().contains("crocus_job_ms_count 2"), "{}", counters.render_page());
}
