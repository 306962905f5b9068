//! The few JSON documents that the stand-ins send.

/// A route of a configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    /// `safe`, `unsafe` or `streaming`.
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u32,
    pub slo_ms: u32,
    pub max_attempts: u32,
    pub resumable: bool,
}

/// Host of all routes.
pub const HOST: &str = "ficu95.example";
/// Key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Name of the only tenant.
pub const TENANT: &str = "hule930";

/// Returns a whole configuration with one tenant that has one key.
pub fn configuration(version: u64, routes: &[Route<'_>], services: &[&str]) -> String {
    configuration_with_keys(version, routes, services, &[KEY])
}

/// Returns a whole configuration with one tenant that has these keys.
pub fn configuration_with_keys(
    version: u64,
    routes: &[Route<'_>],
    services: &[&str],
    keys: &[&str],
) -> String {
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let routes: Vec<_> = routes
        .iter()
        .map(|route| {
            let Route { name, prefix, kind, service, timeout_ms, slo_ms, max_attempts, resumable } = route;
            let streaming = if *kind == "streaming" {
                format!(r#","resumable":{resumable},"gap-target-ms":250"#)
            } else {
                String::new()
            };
            format!(
                r#"{{"name":"{name}","host":"{HOST}","path-prefix":"{prefix}","kind":"{kind}","timeout-ms":{timeout_ms},"slo-ms":{slo_ms},"priority":1,"service":"{service}","max-attempts":{max_attempts},"public":false,"sticky":false{streaming}}}"#
            )
        })
        .collect();
    let services: Vec<_> = services
        .iter()
        .map(|name| {
            format!(r#"{{"name":"{name}","health-path":"/health","max-conns":96,"protocol":"h1","tls":false}}"#)
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"{TENANT}","api-keys":[{}],"priority":1}}]}}"#,
        routes.join(","),
        services.join(","),
        keys.join(",")
    )
}
