//! Limits on online requests: rates and concurrency per organisation, deadlines, retry budgets.

pub mod limits;
pub mod retry;

pub use limits::OrgLimiter;
pub use retry::RetryBudget;
