//! What an entry VM remembers of streams, and tells and asks other VMs.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use super::EntryState;
use crate::catalog::Name;
use crate::clock::Monotonic;
use crate::deployment::SoftwareVersion;
use crate::fleet::NameHash;
use crate::streams::encode_origin_message;
use crate::streams::OriginMessage;
use crate::streams::OriginState;
use crate::streams::StreamKey;
use crate::streams::StreamOrigin;
use crate::telemetry::ByteKind;

impl EntryState {
    /// Records that this VM passed on an event of a stream, written by a software version.
    ///
    /// While the service has more than one, other VMs are told before the client gets the event.
    pub fn on_stream_event(
        &self,
        now: Monotonic,
        stream: StreamKey,
        service: &Name,
        version: SoftwareVersion,
    ) {
        let origin = StreamOrigin { stream, version };
        let service = NameHash::from(service);
        self.origins.borrow_mut().record_own(now, origin, service);
        if self.only_version(now, service).is_none() {
            self.tell_untold(now);
        }
    }

    /// Returns the only software version that may have begun a stream of a service; `None` if there are
    /// several, or there may be.
    pub fn only_version(&self, now: Monotonic, service: NameHash) -> Option<SoftwareVersion> {
        let lifetime = self.stream_lifetime();
        let versions = self.versions.borrow();
        versions.only_version(now, service, lifetime)
    }

    /// Tells other VMs the beginnings of streams of services that have more than one software version.
    pub fn tell_untold(&self, now: Monotonic) {
        let mut origins = self.origins.borrow_mut();
        let untold = origins.take_untold(|service| self.only_version(now, service).is_none());
        if untold.is_empty() {
            return;
        }
        let mut replica_count = self.replica_count.borrow_mut();
        replica_count.on_streams(now, untold.len());
        let count = replica_count.get(now);
        let replicas = self.fleet.borrow().stream_replicas(now);
        let mut exchange = self.origin_exchange.borrow_mut();
        for origin in untold {
            for vm in replicas.told(origin.stream, count) {
                exchange.tell(vm, origin);
            }
        }
        drop(exchange);
        self.send_origin_messages();
    }

    /// Tells VMs that started, or take the place of others, of the streams that they are to remember.
    fn repair_replicas(&self, now: Monotonic) {
        let members = self.fleet.borrow().members(now);
        let origins = self.origins.borrow();
        let mut repair = self.origin_repair.borrow_mut();
        repair.start_if_changed(members, || {
            // Other VMs don't tell the service of a stream.
            if !self.has_several_versions(now) {
                return Vec::new();
            }
            origins.told(|service| self.only_version(now, service).is_none())
        });
        if repair.is_idle() {
            return;
        }
        let count = self.replica_count.borrow().get(now);
        let replicas = self.fleet.borrow().stream_replicas(now);
        let mut exchange = self.origin_exchange.borrow_mut();
        for (vm, origin) in repair.next_round(&replicas, &origins, count) {
            exchange.tell(vm, origin);
        }
        drop(exchange);
        self.send_origin_messages();
    }

    /// Returns whether a service has more than one software version.
    fn has_several_versions(&self, now: Monotonic) -> bool {
        let belief = self.belief.borrow();
        let mut services = belief.deployment().into_iter().flat_map(|d| d.services());
        services.any(|service| {
            let service = NameHash::from(&service.name);
            self.only_version(now, service).is_none()
        })
    }

    /// Records the versions in use, forgets streams that no client takes up any more, and tells other VMs of those
    /// that they are to remember.
    pub fn refresh_streams(&self, now: Monotonic) {
        if let Some(confirmed_at) = self.belief.borrow().listing_confirmed_at() {
            self.versions.borrow_mut().on_confirmed(confirmed_at);
        }
        let lifetime = self.stream_lifetime();
        self.origins.borrow_mut().remove_expired(now, lifetime);
        self.tell_untold(now);
        self.repair_replicas(now);
    }

    /// Asks the VMs that may remember the beginning of a stream.
    pub fn ask_for_stream(&self, now: Monotonic, stream: StreamKey) {
        let vms = self.fleet.borrow().stream_replicas(now).asked(stream);
        self.origin_exchange.borrow_mut().ask(vms, stream);
        self.send_origin_messages();
    }

    /// Asks those VMs once more that have not answered.
    pub fn ask_again_for_stream(&self, stream: StreamKey) {
        self.origin_exchange.borrow_mut().ask_again(stream);
        self.send_origin_messages();
    }

    /// Returns whether a live VM that was asked for the beginning of a stream has not answered.
    pub fn is_stream_unanswered(&self, now: Monotonic, stream: StreamKey) -> bool {
        let fleet = self.fleet.borrow();
        let exchange = self.origin_exchange.borrow();
        exchange.is_unanswered(stream, |vm| fleet.is_alive(now, vm))
    }

    /// Applies another VM's message, and answers its questions.
    pub fn on_origin_message(&self, now: Monotonic, from: Ipv4Addr, message: &OriginMessage) {
        let mut origins = self.origins.borrow_mut();
        let mut exchange = self.origin_exchange.borrow_mut();
        for origin in &message.origins {
            origins.record_told(now, *origin);
            exchange.on_answer(from, origin.stream);
        }
        for stream in &message.unknown {
            exchange.on_answer(from, *stream);
        }
        for stream in &message.questions {
            match origins.get(*stream) {
                OriginState::Known(version) => exchange.tell(
                    from,
                    StreamOrigin {
                        stream: *stream,
                        version,
                    },
                ),
                OriginState::Unknown | OriginState::Ambiguous => {
                    exchange.tell_unknown(from, *stream);
                }
            }
        }
        drop(exchange);
        self.send_origin_messages();
        self.origins_changed.notify_waiters();
    }

    /// Sends what there is to tell and to ask, at once: a VM may be killed as soon as a client has an event.
    fn send_origin_messages(&self) {
        let Some(socket) = self.stream_socket.get() else {
            return;
        };
        let messages = self.origin_exchange.borrow_mut().take_messages();
        for (ip, message) in messages {
            let to = SocketAddr::from((ip, self.settings.listeners.stream_port));
            let bytes = match encode_origin_message(&message) {
                Ok(bytes) => bytes,
                Err(error) => {
                    log::error!(error:% = error; "encoding a datagram failed");
                    continue;
                }
            };
            // A datagram can be lost anyway: its streams are then not taken up.
            match socket.try_send_to(&bytes, to) {
                Ok(sent) => self.vm_bytes(ByteKind::Gossip, ip).add(sent),
                Err(error) => log::debug!(to:% = to, error:% = error; "sending a datagram failed"),
            }
        }
    }

    fn stream_lifetime(&self) -> Duration {
        let belief = self.belief.borrow();
        let deployment = belief.deployment();
        deployment.map_or(Duration::MAX, |deployment| deployment.stream_lifetime())
    }
}
