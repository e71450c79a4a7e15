//! The exclusive use of a job's record by one task at a time.

use std::rc::Rc;

use jobs::job::Job;
use jobs::manager::JobHandle;
use jobs::manager::new_handle;

fn handle() -> Rc<JobHandle> {
    Rc::new(new_handle(Job::new("j".into(), "host", "/jobs/", 0, Vec::new(), Vec::new())))
}

#[test]
fn task_that_returns_early_leaves_the_record_free() {
    let handle = handle();
    let use_and_fail = || -> Result<(), &str> {
        let _record_use = handle.use_record().ok_or("the record is in use")?;
        assert!(handle.is_record_busy());
        assert!(handle.use_record().is_none(), "two tasks use the record");
        Err("the job cannot be encoded")
    };
    assert_eq!(use_and_fail(), Err("the job cannot be encoded"));
    assert!(!handle.is_record_busy(), "no task can write the job's status any more");
}

#[test]
fn record_of_a_removed_job_is_not_used_again() {
    let handle = handle();
    handle.use_record().expect("the record is free").retire();
    assert!(handle.use_record().is_none());
}
