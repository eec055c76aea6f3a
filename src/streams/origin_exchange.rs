//! What is to be sent to other VMs about streams, and which of them have not answered.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::Ipv4Addr;

use super::OriginMessage;
use super::StreamKey;
use super::StreamOrigin;

/// The largest number of streams in one message, so that it fits into a packet.
const MESSAGE_STREAMS_MAX: usize = 60;

/// What is to be sent to other VMs about streams, and which of them have not answered a question.
#[derive(Debug, Default)]
pub struct OriginExchange {
    outbox: BTreeMap<Ipv4Addr, Vec<OriginMessage>>,
    unanswered: HashMap<StreamKey, BTreeSet<Ipv4Addr>>,
}

impl OriginExchange {
    /// Tells a VM the beginning of a stream.
    pub fn tell(&mut self, to: Ipv4Addr, origin: StreamOrigin) {
        self.message(to).origins.push(origin);
    }

    /// Tells a VM that the beginning of a stream is not known.
    pub fn tell_unknown(&mut self, to: Ipv4Addr, stream: StreamKey) {
        self.message(to).unknown.push(stream);
    }

    /// Asks VMs for the beginning of a stream.
    pub fn ask(&mut self, vms: impl IntoIterator<Item = Ipv4Addr>, stream: StreamKey) {
        for vm in vms {
            self.message(vm).questions.push(stream);
            self.unanswered.entry(stream).or_default().insert(vm);
        }
    }

    /// Asks those VMs once more that have not answered.
    pub fn ask_again(&mut self, stream: StreamKey) {
        let vms = self.unanswered.get(&stream).cloned();
        self.ask(vms.unwrap_or_default(), stream);
    }

    /// Records an answer to a question.
    pub fn on_answer(&mut self, from: Ipv4Addr, stream: StreamKey) {
        if let Some(vms) = self.unanswered.get_mut(&stream) {
            vms.remove(&from);
        }
    }

    /// Returns whether a VM that was asked and is alive has not answered.
    pub fn is_unanswered(&self, stream: StreamKey, is_alive: impl Fn(Ipv4Addr) -> bool) -> bool {
        let vms = self.unanswered.get(&stream);
        vms.is_some_and(|vms| vms.iter().any(|vm| is_alive(*vm)))
    }

    /// Forgets a question.
    pub fn close(&mut self, stream: StreamKey) {
        self.unanswered.remove(&stream);
    }

    /// Returns the messages to send, and forgets them.
    pub fn take_messages(&mut self) -> impl Iterator<Item = (Ipv4Addr, OriginMessage)> {
        let outbox = std::mem::take(&mut self.outbox);
        outbox
            .into_iter()
            .flat_map(|(to, messages)| messages.into_iter().map(move |message| (to, message)))
    }

    fn message(&mut self, to: Ipv4Addr) -> &mut OriginMessage {
        let messages = self.outbox.entry(to).or_default();
        let has_room = messages
            .last()
            .is_some_and(|message| message.len() < MESSAGE_STREAMS_MAX);
        if !has_room {
            messages.push(OriginMessage::default());
        }
        messages.last_mut().expect("a message was just added")
    }
}
