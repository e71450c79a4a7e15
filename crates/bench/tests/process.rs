//! What is read of a process.

use bench::process;

#[test]
fn time_and_memory_of_a_process_are_read_by_its_id() {
    let own = std::process::id();
    let before_s = process::cpu_of_s(own).expect("the process runs");
    let mut sum = 0_u64;
    while process::cpu_of_s(own).expect("the process runs") < before_s + 0.05 {
        sum = (0..10_000).fold(sum, |sum: u64, number| sum.wrapping_add(number));
    }
    assert!(process::cpu_s() >= before_s + 0.05);
    assert!(process::peak_mb(own).expect("the process runs") > 1.0);
    assert!(process::cpu_of_s(u32::MAX).is_err(), "no such process is an error, not zero");
}
