//! Tests of what is reported about the daemons' processes.

use soak::process_watch::ProcessWatch;
use soak::process_watch::read_peak_kib;

/// Guards against a daemon that ends or grows beyond its host without a report.
#[test]
fn ended_process_and_excessive_memory_are_reported() {
    let mut watch = ProcessWatch::default();
    // 100 MB are 97,656.25 KiB.
    watch.record_peak(0, 97_656);
    assert!(watch.violations(100).is_empty());
    watch.record_peak(1, 97_657);
    watch.record_peak(0, 10);
    watch.record_end(2, 3);
    watch.record_end(2, 3);
    let violations: Vec<String> = watch.violations(100).iter().map(ToString::to_string).collect();
    assert_eq!(
        violations,
        [
            "no process ends by itself: daemon-2 ended after start 3",
            "memory stays within the host: daemon-1 took 97657 KiB, the host has 100 MB",
        ]
    );
}

/// Guards against a watch that reads no memory and therefore never reports any.
#[test]
fn peak_of_a_running_process_is_read() {
    assert!(read_peak_kib(std::process::id()).is_some_and(|peak_kib| peak_kib > 100));
}
