//! Model checking; see the crate's page in docs/design.
