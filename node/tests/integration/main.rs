//! Tests of the server: settings, mesh certificates, HTTP ports, platform roles and a soak.

mod backend_server;
mod cold_servers;
mod crash_quarantine;
mod crashing_parts;
mod crashing_requests;
mod cut_off_vms;
mod deployment;
mod endless_answers;
mod evacuation;
mod failing_helpers;
mod hand_link;
mod http_server;
mod learned_capacity;
mod link_messages;
mod links;
mod load;
mod mesh;
mod planned_stop;
mod platform;
mod rate_limits;
mod retry_budget;
mod settings;
mod silent_servers;
mod soak;
mod stray_responses;
mod util;
