//! What all processes share: settings, plug-ins, life cycle, clocks, counters, logs and HTTP.

pub mod body_watch;
mod checked_stream;
pub mod clock;
pub mod connection_table;
pub mod counters;
pub mod error;
pub mod http_client;
pub mod http_server;
mod idle_timer;
pub mod lifecycle;
pub mod linger;
pub mod local_server;
pub mod log_writer;
pub mod logs;
pub mod pause_tolerant;
pub mod plugin;
mod receive_buffer;
pub mod request_body;
pub mod services;
pub mod settings;
pub mod tls;
pub mod unread_answer;

pub use clock::BootClock;
pub use clock::Clock;
pub use counters::Counters;
pub use error::KernelError;
pub use inventory;
pub use lifecycle::Daemon;
pub use plugin::Plugin;
pub use services::Services;
pub use settings::Settings;
