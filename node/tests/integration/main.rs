//! Tests of the server: settings, mesh certificates, HTTP ports, platform roles and a soak.

mod backend_server;
mod crash_quarantine;
mod crashing_parts;
mod crashing_requests;
mod cut_off_vms;
mod deployment;
mod endless_answers;
mod failing_helpers;
mod http_server;
mod load;
mod mesh;
mod planned_stop;
mod platform;
mod rate_limits;
mod retry_budget;
mod server_notices;
mod settings;
mod silent_servers;
mod slow_readers;
mod soak;
mod stray_responses;
mod util;
