//! A deployment that runs in one process.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use serde_json::Value;
use tokio::time::sleep;
use tokio::time::timeout;

use super::fast_core_settings;
use super::ticket_text::fixed_objects;
use super::ticket_text::raw_ticket;
use super::ticket_text::zone_of;
use super::DemoError;
use super::DeploymentPlan;
use super::RegionPlan;
use crate::catalog::Name;
use crate::catalog::ServiceState;
use crate::catalog::VmSpec;
use crate::clock::SystemClock;
use crate::configuration::VmIdentity;
use crate::endpoint::HttpEndpointClient;
use crate::membership::RegionContact;
use crate::peer::PeerSecret;
use crate::publication::HttpPlatformClient;
use crate::settings::BoundSettings;
use crate::settings::IntervalSettings;
use crate::settings::LogSettings;
use crate::settings::PeerSettings;
use crate::settings::PlatformSettings;
use crate::settings::Settings;
use crate::stand_in::engine::EngineOptions;
use crate::stand_in::engine::EngineServer;
use crate::stand_in::platform::PlatformStandIn;
use crate::stand_in::service::ServiceOptions;
use crate::stand_in::service::ServiceServer;
use crate::vm::Daemon;
use crate::vm::DaemonParts;
use crate::vm::Phase;
use crate::vm::TokenOutcome;

const PEER_SECRET: &[u8] = b"a secret for one process on loopback only";
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL: Duration = Duration::from_millis(20);
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const DRAIN_NOTICE: Duration = Duration::from_millis(200);

/// The stand-ins and VMs of a deployment that runs in one process.
pub struct Deployment {
    /// The platform stand-in.
    pub platform: PlatformStandIn,
    /// The model engines, with their regions.
    pub engines: Vec<RunningEngine>,
    /// The servers of the booking service, with their regions.
    pub services: Vec<RunningService>,
    /// The VMs, with their regions.
    pub vms: Vec<RunningVm>,
    next_ticket: u64,
}

/// A running engine.
pub struct RunningEngine {
    /// The name.
    pub name: String,
    /// The region.
    pub region: &'static str,
    /// The server.
    pub server: EngineServer,
}

/// A running server of the booking service.
pub struct RunningService {
    /// The name.
    pub name: String,
    /// The region.
    pub region: &'static str,
    /// The server.
    pub server: ServiceServer,
}

/// A running VM.
pub struct RunningVm {
    /// The name.
    pub name: String,
    /// The region.
    pub region: &'static str,
    /// The daemon.
    pub daemon: Daemon,
}

impl Deployment {
    /// Starts all stand-ins and VMs, publishes the configuration and waits until all VMs are ready.
    ///
    /// # Errors
    ///
    /// Returns a [`DemoError`] if a part does not start.
    pub async fn launch(plan: &DeploymentPlan) -> Result<Self, DemoError> {
        let platform = PlatformStandIn::start(ANY_PORT).await?;
        let mut deployment = Self {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            vms: Vec::new(),
            next_ticket: 1,
        };
        for region in &plan.regions {
            deployment.launch_endpoints(region).await?;
            deployment.launch_vms(region).await?;
        }
        let mut objects = fixed_objects(plan);
        objects.extend(deployment.endpoint_and_vm_objects());
        deployment.publish(objects);
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Publishes a ticket with the next number and returns that number.
    pub fn publish(&mut self, objects: Vec<Value>) -> u64 {
        let number = self.next_ticket;
        self.next_ticket += 1;
        self.platform.publish(raw_ticket(number, objects));
        number
    }

    /// Waits until each VM serves, can reach the other VMs and can draw tokens of each account.
    ///
    /// # Errors
    ///
    /// Returns [`DemoError::NotReady`] if a VM is not ready within 30 seconds.
    pub async fn wait_until_ready(&self) -> Result<(), DemoError> {
        for vm in &self.vms {
            let address = vm.daemon.caller_address();
            let ready = async {
                while missing(&vm.daemon).is_some() {
                    sleep(READY_POLL).await;
                }
                draw_tokens(&vm.daemon).await;
            };
            timeout(READY_TIMEOUT, ready)
                .await
                .map_err(|_| DemoError::NotReady {
                    address,
                    missing: missing(&vm.daemon).unwrap_or("tokens of each account"),
                })?;
        }
        Ok(())
    }

    /// Returns the object of a VM for a change ticket.
    pub fn vm_object(&self, index: usize, state: &str) -> Value {
        let vm = &self.vms[index];
        json!({
            "kind": "vm",
            "name": vm.name,
            "value": {
                "region": vm.region,
                "availability_zone": zone_of(vm.region),
                "caller_address": vm.daemon.caller_address(),
                "peer_address": vm.daemon.peer_address(),
                "operator_address": vm.daemon.operator_address(),
                "state": state,
            },
        })
    }

    /// Returns the object of an engine for a change ticket.
    pub fn engine_object(&self, index: usize, state: &str) -> Value {
        let engine = &self.engines[index];
        let routes = ["plant-tips", "plan-reviews"];
        let address = engine.server.address();
        endpoint(
            "engine",
            &engine.name,
            engine.region,
            address,
            &routes,
            state,
        )
    }

    async fn launch_endpoints(&mut self, plan: &RegionPlan) -> Result<(), DemoError> {
        for index in 1..=plan.engine_count {
            let server = EngineServer::launch(EngineOptions::default()).await?;
            self.engines.push(RunningEngine {
                name: format!("{}-engine-{index}", plan.name),
                region: plan.name,
                server,
            });
        }
        for index in 1..=plan.service_count {
            let server = ServiceServer::launch(ServiceOptions::default()).await?;
            self.services.push(RunningService {
                name: format!("{}-bookings-{index}", plan.name),
                region: plan.name,
                server,
            });
        }
        Ok(())
    }

    async fn launch_vms(&mut self, plan: &RegionPlan) -> Result<(), DemoError> {
        for index in 1..=plan.vm_count {
            let name = format!("{}-vm-{index}", plan.name);
            let daemon = launch_vm(&name, plan.name, self.platform.address()).await?;
            self.vms.push(RunningVm {
                name,
                region: plan.name,
                daemon,
            });
        }
        Ok(())
    }

    fn endpoint_and_vm_objects(&self) -> Vec<Value> {
        let engines = (0..self.engines.len()).map(|index| self.engine_object(index, "active"));
        let services = self.services.iter().map(|service| {
            let address = service.server.address();
            let routes = ["bookings"];
            endpoint(
                "service",
                &service.name,
                service.region,
                address,
                &routes,
                "active",
            )
        });
        let vms = (0..self.vms.len()).map(|index| self.vm_object(index, "active"));
        engines.chain(services).chain(vms).collect()
    }
}

fn endpoint(
    kind: &str,
    name: &str,
    region: &str,
    address: SocketAddr,
    routes: &[&str],
    state: &str,
) -> Value {
    json!({
        "kind": "endpoint",
        "name": name,
        "value": {
            "kind": kind,
            "address": address,
            "region": region,
            "availability_zone": zone_of(region),
            "routes": routes,
            "state": state,
            "concurrency": 16,
            "checks_fencing": true,
        },
    })
}

/// Returns the first condition that a VM does not meet yet; `None` if it can serve requests.
fn missing(daemon: &Daemon) -> Option<&'static str> {
    let context = daemon.context();
    let blackboard = &context.blackboard;
    let catalog = blackboard.catalog.load();
    let view = blackboard.membership.load();
    let reaches_all = catalog
        .vms
        .keys()
        .all(|vm| vm == view.local_vm || view.vms.get(vm).is_some_and(|vm| vm.is_serving()));
    match () {
        () if blackboard.phase.load() != Phase::Serving => Some("the configuration"),
        () if catalog.routes.is_empty() => Some("the published objects"),
        () if !reaches_all => Some("heartbeats of other VMs"),
        () if view.contact != RegionContact::Majority => Some("contact with its region"),
        () => None,
    }
}

/// Waits until tokens of each account can be drawn.
async fn draw_tokens(daemon: &Daemon) {
    let context = daemon.context();
    let accounts: Vec<_> = context
        .blackboard
        .catalog
        .load()
        .client_accounts
        .keys()
        .collect();
    for account in accounts {
        while context.control.request_tokens(account, 1).await != Some(TokenOutcome::Arrived) {
            sleep(READY_POLL).await;
        }
    }
}

async fn launch_vm(name: &str, region: &str, platform: SocketAddr) -> Result<Daemon, DemoError> {
    let vm = VmIdentity {
        name: Name::new(name)?,
        spec: VmSpec {
            region: Name::new(region)?,
            availability_zone: Name::new(zone_of(region))?,
            caller_address: ANY_PORT,
            peer_address: ANY_PORT,
            operator_address: ANY_PORT,
            state: ServiceState::Active,
        },
    };
    let core = fast_core_settings(vm.clone());
    let settings = Settings {
        vm,
        platform: PlatformSettings {
            address: platform,
            timeout: PLATFORM_TIMEOUT,
        },
        peers: PeerSettings {
            secret_file: std::path::PathBuf::new(),
            seeds: Vec::new(),
        },
        log: LogSettings::default(),
        bounds: BoundSettings::default(),
        intervals: IntervalSettings {
            tick: Duration::from_millis(50),
            drain_notice: DRAIN_NOTICE,
            ..IntervalSettings::default()
        },
    };
    let parts = DaemonParts {
        clock: Arc::new(SystemClock::new()),
        platform: Arc::new(HttpPlatformClient::new(platform, PLATFORM_TIMEOUT)?),
        endpoints: Arc::new(HttpEndpointClient::new()),
        secret: PeerSecret::new(PEER_SECRET)?,
        core,
    };
    Ok(Daemon::launch(&settings, parts).await?)
}
