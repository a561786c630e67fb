//! Clients that follow the protocol; [`misbehaving`] contains those that break it.
mod exchange;
mod misbehaving;

use crate::checker::RequestIndex;
use crate::context::Context;
use crate::http::MessageReader;
use crate::kernel::ENVIRONMENT;
use crate::network::{HostId, VirtualStream};
use crate::rng::Rng;
use crate::scenario::{Idempotency, Load, Scenario, SingleRequest};
use crate::time::{MS, from_ms};
use exchange::ClientOutcome;
use rosewall::types::Nanos;
use rosewall_runtime::traits::{Readiness, Stream};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

const CONNECT_TIMEOUT: Nanos = 200 * MS;
/// The maximum pause before a client retries; the pause is uniform below it.
const MAX_RETRY_PAUSE: Nanos = 150 * MS;

/// The first random stream of the loads; each load has its own.
const LOAD_STREAM: u64 = 1000;
/// The first random stream of the misbehaving clients; each client has its own.
const MISBEHAVING_STREAM: u64 = 100_000;
/// Streams reserved for each entry of misbehaving clients in the scenario.
const MISBEHAVING_STREAMS_PER_ENTRY: usize = 1000;
/// The random stream of the retries of one request; the seed comes from the stream of its load.
const RETRY_STREAM: u64 = 7;

/// A persistent connection, and the unparsed bytes read from it.
struct ClientConnection {
    stream: VirtualStream,
    reader: MessageReader,
}

impl ClientConnection {
    fn new(stream: VirtualStream) -> Self {
        ClientConnection {
            stream,
            reader: MessageReader::default(),
        }
    }
}

/// All clients of a simulation.
pub struct Clients {
    context: Rc<Context>,
    scenario: Rc<Scenario>,
    /// The listen address of each dispatcher.
    listeners: Vec<SocketAddr>,
    host: HostId,
    /// Idle connections by dispatcher.
    idle_connections: RefCell<Vec<Vec<ClientConnection>>>,
}

/// The properties of a request at its client.
#[derive(Clone, Copy)]
struct RequestSpec {
    class: usize,
    work: Nanos,
    timeout: Nanos,
    /// The time from sending to the disconnect of the client; `None` if it waits for the response.
    disconnect_after: Option<Nanos>,
    /// The work hint; `None` if the request carries none.
    hint: Option<Nanos>,
}

impl Clients {
    /// Creates the clients of the dispatchers that listen at these addresses.
    pub fn new(
        context: &Rc<Context>,
        scenario: &Rc<Scenario>,
        listeners: Vec<SocketAddr>,
    ) -> Rc<Self> {
        let host = context.network.add_host();
        let idle_connections = RefCell::new(listeners.iter().map(|_| Vec::new()).collect());
        Rc::new(Clients {
            context: context.clone(),
            scenario: scenario.clone(),
            listeners,
            host,
            idle_connections,
        })
    }

    /// Starts all clients of the scenario; their times are relative to `start`.
    pub fn start(self: &Rc<Self>, start: Nanos) {
        for (index, load) in self.scenario.loads.iter().enumerate() {
            let rng = Rng::new(self.scenario.seed, LOAD_STREAM + index as u64);
            self.context
                .kernel
                .spawn(self.clone().generate_load(load.clone(), start, rng));
        }
        for request in self.scenario.requests.iter().cloned() {
            self.context
                .kernel
                .spawn(self.clone().send_single(request, start));
        }
        for (index, entry) in self.scenario.misbehaving_clients.iter().enumerate() {
            let (kind, dispatcher) = (entry.kind, entry.dispatcher);
            let at = start + from_ms(entry.at_ms);
            for client in 0..entry.count {
                let stream =
                    MISBEHAVING_STREAM + (index * MISBEHAVING_STREAMS_PER_ENTRY + client) as u64;
                let rng = Rng::new(self.scenario.seed, stream);
                let clients = self.clone();
                self.context.kernel.spawn(async move {
                    clients.context.kernel.sleep_until(ENVIRONMENT, at).await;
                    // The client ends when its connect fails or its connection breaks.
                    let _ = clients.misbehave(kind, dispatcher, rng).await;
                });
            }
        }
    }

    /// Closes all idle connections.
    pub fn close_idle_connections(&self) {
        self.idle_connections
            .borrow_mut()
            .iter_mut()
            .for_each(Vec::clear);
    }

    async fn send_single(self: Rc<Self>, request: SingleRequest, start: Nanos) {
        let at = start + from_ms(request.at_ms);
        self.context.kernel.sleep_until(ENVIRONMENT, at).await;
        let class_deadline_ms = self.scenario.classes[request.class].deadline_ms as f64;
        let spec = RequestSpec {
            class: request.class,
            work: from_ms(request.work_ms),
            timeout: from_ms(request.timeout_ms.unwrap_or(class_deadline_ms)),
            disconnect_after: request.disconnect_after_ms.map(from_ms),
            hint: None,
        };
        self.send_request(request.dispatcher, spec).await;
    }

    async fn generate_load(self: Rc<Self>, load: Load, start: Nanos, mut rng: Rng) {
        let kernel = &self.context.kernel;
        let length_ms = self.scenario.length_ms;
        let until = start + load.until_ms.unwrap_or(length_ms).min(length_ms) * MS;
        kernel
            .sleep_until(ENVIRONMENT, start + load.from_ms * MS)
            .await;
        loop {
            kernel.sleep(rng.arrival_gap(load.rate)).await;
            if kernel.now() >= until {
                return;
            }
            let spec = self.generate_request(&load, &mut rng);
            let dispatcher = rng.index(self.listeners.len());
            let retry_rng = Rng::new(rng.range(0, u32::MAX.into()), RETRY_STREAM);
            kernel.spawn(self.clone().request_with_retries(
                dispatcher,
                spec,
                load.retries,
                retry_rng,
            ));
        }
    }

    fn generate_request(&self, load: &Load, rng: &mut Rng) -> RequestSpec {
        let [low, high] = load.work_ms;
        // Log-uniform, so that sizes cover the whole range.
        let work = from_ms(low * (high / low).powf(rng.unit()));
        let timeout = self.scenario.classes[load.class].deadline_ms * MS;
        let disconnects = rng.chance(load.disconnect_share);
        let disconnect_after = disconnects.then(|| rng.range(1, timeout));
        let hint = load
            .hints
            .then(|| (work as f64 * (0.8 + 0.4 * rng.unit())) as Nanos);
        RequestSpec {
            class: load.class,
            work,
            timeout,
            disconnect_after,
            hint,
        }
    }

    /// Sends a request, and retries it while a retry is safe and the number of retries is not used
    /// up.
    async fn request_with_retries(
        self: Rc<Self>,
        mut dispatcher: usize,
        spec: RequestSpec,
        retries: usize,
        mut rng: Rng,
    ) {
        for retries_left in (0..=retries).rev() {
            let outcome = self.send_request(dispatcher, spec).await;
            if retries_left == 0 || !self.may_retry(outcome, spec.class) {
                return;
            }
            // A load balancer in front of the dispatchers distributes connections at random.
            dispatcher = rng.index(self.listeners.len());
            let pause = rng.range(0, MAX_RETRY_PAUSE);
            self.context.kernel.sleep(pause).await;
        }
    }

    fn may_retry(&self, outcome: ClientOutcome, class: usize) -> bool {
        match outcome {
            ClientOutcome::Succeeded | ClientOutcome::Disconnected => false,
            ClientOutcome::Rejected | ClientOutcome::ConnectFailed => true,
            ClientOutcome::Failed => {
                self.scenario.classes[class].idempotency == Idempotency::Idempotent
            }
        }
    }

    /// Takes the last stored connection, or opens a new one if there is none or it is no longer
    /// idle; returns `None` if the connect fails.
    async fn idle_or_new_connection(&self, dispatcher: usize) -> Option<ClientConnection> {
        if let Some(connection) = self.idle_connections.borrow_mut()[dispatcher].pop()
            && connection.stream.readiness() == Readiness::Idle
        {
            return Some(connection);
        }
        self.new_connection(dispatcher).await
    }

    async fn new_connection(&self, dispatcher: usize) -> Option<ClientConnection> {
        self.connect(dispatcher).await.map(ClientConnection::new)
    }

    async fn connect(&self, dispatcher: usize) -> Option<VirtualStream> {
        let Context {
            kernel, network, ..
        } = &*self.context;
        let connect = network.connect(self.host, self.listeners[dispatcher]);
        kernel
            .timeout_at(kernel.now() + CONNECT_TIMEOUT, connect)
            .await?
            .ok()
    }

    fn create_request(
        &self,
        spec: &RequestSpec,
        invalid_reason: Option<&'static str>,
    ) -> RequestIndex {
        self.context
            .checker
            .borrow_mut()
            .request_created(spec.class, spec.work, invalid_reason)
    }
}

/// Renders a request in its wire format.
fn render_request(request: RequestIndex, spec: &RequestSpec, body: &str) -> String {
    let hint = spec
        .hint
        .map(|hint| format!("Work-Hint: {}\r\n", hint / 1000))
        .unwrap_or_default();
    format!(
        "POST /api/do HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {request:08x}\r\nRequest-Class: s{}\r\n\
         Tenant: t\r\nRequest-Timeout: {:.3}\r\n{hint}Content-Length: {}\r\n\r\n{body}",
        spec.class,
        spec.timeout as f64 / 1e9,
        body.len()
    )
}
