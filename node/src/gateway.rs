//! Entry VM: accepts callers, selects backend servers and forwards their responses.
//!
//! One thread carries all traffic and owns the state of the backend servers. That state is not
//! persisted: control VMs and other entry VMs restore it within a second of a start.

mod admission;
mod answer_head;
mod attempts;
mod body;
mod buffer_budget;
mod buffered;
mod capacity;
mod cold;
mod control_contact;
mod crash_verdict;
mod crash_watch;
mod entry_links;
mod evacuation;
mod exchange;
mod failure;
mod head_budget;
mod header_fields;
mod hedge;
mod ingress;
mod length_shares;
mod link_events;
mod lookup;
mod manifest_decode;
mod manifest_state;
mod manifest_sync;
mod manifest_watch;
mod open_requests;
mod placement_sync;
mod rate_limits;
mod reach;
mod refusal;
mod relay;
mod relay_ingress;
mod request;
mod request_body;
mod reservation;
mod selection;
mod server_notices;
mod server_probe;
mod state;
mod stream;
mod stream_source;
mod tally;
mod target;
mod upstream;
mod waiting;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use merlinrudder_core::cold::plan::ColdBounds;
use merlinrudder_core::retry::RetryLimits;
use merlinrudder_wire::mesh::WireFeatures;
use merlinrudder_wire::peers::WirePeer;
use merlinrudder_wire::relay::WireRelay;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use self::ingress::Sender;
use self::state::{Gateway, StopStage};
use crate::links::{AddressSource, Links};

/// Time that a stopping VM reports unready before it refuses requests.
///
/// It then also closes idle connections. The load balancer probes once a second and stops sending
/// traffic after two failed probes, so after two seconds at the latest. The time stays below three
/// seconds: a request accepted later than that would have to finish before the stop timeout.
const UNREADY_PERIOD: Duration = Duration::from_millis(2700);
/// Largest part of the time to the exit that a stopping VM reports unready and takes requests.
///
/// It applies to a short stop timeout, and leaves time for the requests in progress.
const MAX_UNREADY_PART: f64 = 2.0 / 3.0;
/// Time before the stop timeout at which requests without an answer are refused or cut.
const EXIT_MARGIN: Duration = Duration::from_millis(600);
/// Longest time for these last answers to reach their callers.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(200);
/// Time between two checks for open connections during a stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Configuration of an entry VM.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Id, zone and link address that this VM announces to other VMs.
    pub local_peer: WirePeer,
    /// Address that accepts HTTP connections of callers.
    pub caller_addr: SocketAddr,
    /// Address that serves the readiness probes of the load balancer.
    pub ready_addr: SocketAddr,
    /// Address that accepts requests of other VMs.
    pub relay_addr: SocketAddr,
    /// Link addresses of the control VMs to connect to at startup.
    pub seeds: Vec<SocketAddr>,
    /// Retry budget of each service, shared by all entry VMs.
    pub retry_limits: RetryLimits,
    /// Limit on the requests that reach a cold server.
    pub cold_bounds: ColdBounds,
    /// Whether the capacity of servers is learned from their answers.
    pub learn_capacity: bool,
    /// Longest time from the stop signal to the end of the process.
    pub stop_timeout: Duration,
}

/// Handle of a running entry VM.
#[derive(Debug)]
pub struct RunningGateway {
    gateway: Rc<Gateway>,
    stop_timeout: Duration,
}

impl RunningGateway {
    /// Binds the addresses and spawns all tasks on the current `LocalSet`.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub async fn spawn(config: GatewayConfig, log: &Logger) -> Result<Self> {
        let caller_listener = TcpListener::bind(config.caller_addr).await?;
        let ready_listener = TcpListener::bind(config.ready_addr).await?;
        let relay_listener = TcpListener::bind(config.relay_addr).await?;
        let (events, receiver) = mpsc::unbounded_channel();
        // The receiver is only dropped when the process exits, so a failed send is ignored.
        let handler = Arc::new(move |event| drop(events.send(event)));
        let relay = WireRelay {
            address: config.relay_addr,
            token: fastrand::u128(..),
        };
        let features = WireFeatures {
            rates: true,
            relay: Some(relay),
            evacuations: true,
            cold: true,
            capacity: config.learn_capacity,
            manifest_updates: true,
            compressed_frames: true,
            received_prompts: true,
            control_lists: true,
            evacuation_orders: false,
            initial_vm: false,
        };
        let links = Links::bind(config.local_peer.clone(), features, handler, log).await?;
        for seed in &config.seeds {
            links.dial(*seed, AddressSource::Settings);
        }
        let gateway = Rc::new(Gateway::new(&config, relay.token, links, log));
        spawn_local(link_events::run(Rc::clone(&gateway), receiver));
        spawn_local(manifest_sync::run(Rc::clone(&gateway)));
        spawn_local(control_contact::run(Rc::clone(&gateway)));
        spawn_local(entry_links::release_later(Rc::clone(&gateway)));
        spawn_local(placement_sync::run(Rc::clone(&gateway)));
        spawn_local(rate_limits::run(Rc::clone(&gateway)));
        spawn_local(cold::run(Rc::clone(&gateway)));
        spawn_local(crash_watch::expire(Rc::clone(&gateway)));
        spawn_local(crash_watch::pull_without_control(Rc::clone(&gateway)));
        spawn_local(evacuation::run(Rc::clone(&gateway)));
        spawn_local(reach::run(Rc::clone(&gateway)));
        spawn_local(capacity::run(Rc::clone(&gateway)));
        for (listener, sender) in [
            (caller_listener, Sender::Caller),
            (relay_listener, Sender::OtherVm),
        ] {
            spawn_local(ingress::serve(Rc::clone(&gateway), listener, sender));
        }
        spawn_local(ingress::serve_readiness(
            Rc::clone(&gateway),
            ready_listener,
        ));
        let stop_timeout = config.stop_timeout;
        Ok(Self {
            gateway,
            stop_timeout,
        })
    }

    /// Returns the links to other VMs.
    #[must_use]
    pub fn links(&self) -> &Links {
        &self.gateway.links
    }

    /// Stops gracefully: reports unready, then closes idle connections and drains busy ones.
    ///
    /// Returns once all connections are closed, or shortly before the stop timeout. Each request that
    /// was read completely has its answer or its refusal by then.
    pub async fn stop(self) {
        let gateway = &self.gateway;
        info!(gateway.log, "Stopping"; "connections" => gateway.connections.get());
        let time_to_exit = self.stop_timeout.saturating_sub(EXIT_MARGIN);
        gateway.exit_at.set(Some(gateway.now() + time_to_exit));
        gateway.enter_stage(StopStage::Unready);
        let started = Instant::now();
        sleep(UNREADY_PERIOD.min(time_to_exit.mul_f64(MAX_UNREADY_PART))).await;
        gateway.enter_stage(StopStage::Draining);
        let exit_at = started + time_to_exit;
        self.drain_until(exit_at).await;
        gateway.enter_stage(StopStage::Exiting);
        self.drain_until(exit_at + LAST_ANSWER_TIME).await;
        gateway.open_requests.log_all(gateway.now(), &gateway.log);
        info!(gateway.log, "Stopped"; "connections" => gateway.connections.get());
    }

    /// Waits until no connection is open, but not longer than until `end`.
    async fn drain_until(&self, end: Instant) {
        while self.gateway.connections.get() > 0 && Instant::now() < end {
            sleep(STOP_POLL_INTERVAL).await;
        }
    }
}
