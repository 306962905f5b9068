//! An entry VM: it takes callers, chooses backend servers and passes answers on.
//!
//! One thread carries all traffic and owns what it knows of the servers; that state is soft, and
//! control VMs and other entry VMs rebuild it within a second of a start.

mod attempts;
mod body;
mod choosing;
mod exchange;
mod informed;
mod ingress;
mod plain;
mod refusal;
mod request;
mod reservation;
mod sharing;
mod state;
mod stream;
mod upstream;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use merlinrudder_core::retry::RetryLimits;
use merlinrudder_wire::peers::WirePeer;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

use self::state::Gateway;
use crate::links::Links;

/// Time that a stopping VM stays unready before it closes idle connections and takes nothing more.
///
/// The balancer asks once a second and leaves after two misses, so after two seconds at the latest.
/// What is taken later than three seconds after the signal would have to end within the stop.
const BALANCER_TIME: Duration = Duration::from_millis(2700);
/// Time before the bound of a planned stop at which the process ends anyway.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Time between two looks at the connections that are left.
const STOP_POLL: Duration = Duration::from_millis(50);

/// What an entry VM starts with.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// This VM.
    pub local_peer: WirePeer,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for the balancer's question whether this VM is ready.
    pub ready_addr: SocketAddr,
    /// Where the first control VMs accept links.
    pub seeds: Vec<SocketAddr>,
    /// Limits of the retries of a service.
    pub retry_limits: RetryLimits,
    /// Time in which a planned stop must end.
    pub stop_timeout: Duration,
}

/// Handle of a running entry VM.
#[derive(Debug)]
pub struct RunningGateway {
    gateway: Rc<Gateway>,
    stop: Duration,
}

impl RunningGateway {
    /// Binds the addresses and starts all tasks; runs on the current local task set.
    ///
    /// # Errors
    /// Fails where an address cannot be bound.
    pub async fn spawn(start: GatewayConfig, log: &Logger) -> Result<Self> {
        let callers = TcpListener::bind(start.caller_addr).await?;
        let ready = TcpListener::bind(start.ready_addr).await?;
        let (events, receiver) = mpsc::unbounded_channel();
        // The receiver lives as long as the process.
        let deliver = Arc::new(move |event| drop(events.send(event)));
        let links = Links::bind(start.local_peer.clone(), deliver, log).await?;
        for seed in &start.seeds {
            links.dial(*seed, true);
        }
        let gateway = Rc::new(Gateway::new(&start, links, log));
        spawn_local(informed::run(Rc::clone(&gateway), receiver));
        spawn_local(sharing::run(Rc::clone(&gateway)));
        spawn_local(ingress::serve(Rc::clone(&gateway), callers));
        spawn_local(ingress::serve_ready(Rc::clone(&gateway), ready));
        let stop = start.stop_timeout;
        Ok(Self { gateway, stop })
    }

    /// Ends in order: unready first, then idle connections, then those with requests in progress.
    pub async fn stop(self) {
        let gateway = &self.gateway;
        info!(gateway.log, "Stopping"; "connections" => gateway.connections.get());
        gateway.stopping.set(true);
        sleep(BALANCER_TIME).await;
        gateway.close_idle();
        let rest = self.stop.saturating_sub(BALANCER_TIME + STOP_MARGIN);
        let polls = rest.as_millis() / STOP_POLL.as_millis();
        for _ in 0..polls {
            if gateway.connections.get() == 0 {
                break;
            }
            sleep(STOP_POLL).await;
        }
        info!(gateway.log, "Stopped"; "connections" => gateway.connections.get());
    }
}
