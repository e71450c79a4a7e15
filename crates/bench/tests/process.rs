//! CPU time and memory of a process, as read from `/proc`.

use bench::process;

#[test]
fn cpu_time_and_memory_are_read_by_process_id() {
    let own = std::process::id();
    let before_s = process::process_cpu_s(own).expect("the process runs");
    let mut sum = 0_u64;
    while process::process_cpu_s(own).expect("the process runs") < before_s + 0.05 {
        sum = (0..10_000).fold(sum, |sum: u64, number| sum.wrapping_add(number));
    }
    assert!(process::own_cpu_s() >= before_s + 0.05);
    assert!(process::process_peak_mb(own).expect("the process runs") > 1.0);
    assert!(process::process_cpu_s(u32::MAX).is_err(), "no such process is an error, not zero");
}
