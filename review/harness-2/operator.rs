//! A stand-in of the operator, who sends orders to control VMs.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::harness::http::{self, Message};
use crate::harness::record::Record;

/// Time without an answer after which the operator moves on to another control VM.
pub const PATIENCE: Duration = Duration::from_secs(1);

/// Sends a call once; closes the connection if there is no answer in time.
pub fn send(
    record: &Record,
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<Message, String> {
    record.line(&format!("operator sends {method} {path} to {to}"));
    let json = [("Content-Type", "application/json".to_owned())];
    let answer = http::call(to, method, path, &json, body.as_bytes(), PATIENCE);
    match &answer {
        Ok(answer) => record.line(&format!("operator gets {} for {path}", answer.status())),
        Err(error) => record.line(&format!("operator gets nothing for {path}: {error}")),
    }
    answer
}

/// Sends the same call to one control VM after the other until one answers 200.
pub fn send_until_acked(
    record: &Record,
    nodes: &[SocketAddr],
    method: &str,
    path: &str,
    body: &str,
    time_limit: Duration,
) -> Result<Message, String> {
    let end = Instant::now() + time_limit;
    for attempt in 0.. {
        let to = nodes[attempt % nodes.len()];
        if let Ok(answer) = send(record, to, method, path, body)
            && answer.status() == 200
        {
            return Ok(answer);
        }
        if Instant::now() >= end {
            break;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    Err(format!("{path} was not confirmed"))
}

/// Returns a configuration with public routes, each given by its name, kind and service.
///
/// A route's name is the first part of its paths. The kind `resumable` stands for a stream that may
/// be resumed.
pub fn configuration(version: u64, routes: &[(&str, &str, &str)]) -> String {
    let services: BTreeSet<_> = routes.iter().map(|(_, _, service)| service).collect();
    let services: Vec<_> = services
        .iter()
        .map(|service| {
            format!(
                r#"{{"name":"{service}","health-path":"/health","max-conns":440,"protocol":"h1","tls":false}}"#
            )
        })
        .collect();
    let services = services.join(",");
    let routes: Vec<_> = routes
        .iter()
        .map(|(name, kind, service)| {
            let attempts = if *kind == "unsafe" { 1 } else { 2 };
            let resumable = *kind == "resumable";
            let kind = if resumable { "streaming" } else { kind };
            let timeout = if kind == "streaming" { 10_000 } else { 2500 };
            format!(
                r#"{{"name":"{name}","host":"app.example","path-prefix":"/{name}/","kind":"{kind}","timeout-ms":{timeout},"slo-ms":200,"priority":1,"service":"{service}","max-attempts":{attempts},"public":true,"resumable":{resumable},"gap-target-ms":250}}"#
            )
        })
        .collect();
    let routes = routes.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
    )
}
