//! Handles messages to this gateway as a broker, and sends its replies.

use std::rc::Rc;

use super::state::Shared;
use crate::broker::{AddressedReply, Message, SlotReply, SlotRequestId};
use crate::model::PeerId;

impl Shared {
    /// Handles a message to this gateway as a broker.
    pub(super) fn handle_broker_message(&self, zone: Rc<str>, message: Message) {
        let now = self.clock.now();
        let replies = match message {
            Message::SlotRequest { from, request_id, job } => {
                let reply = if self.is_leaving() && from != self.process_id {
                    SlotReply::NotBroker
                } else {
                    self.broker.borrow_mut().request_slot(from, zone, request_id, &job, now)
                };
                vec![AddressedReply { to: from, request_id, reply }]
            }
            Message::Release { from, request_id, observation } => {
                self.broker.borrow_mut().release(from, request_id, observation, now)
            }
            Message::HeldSlots { from, slots, queued } => {
                let replies = self.broker.borrow_mut().reconcile_held_slots(from, &slots, now);
                self.reply_to_queued(from, &queued);
                replies
            }
            _ => Vec::new(),
        };
        self.send_replies(replies);
    }

    /// Tells a gateway what became of its queued slot requests. If this broker is leaving, the gateway
    /// has to ask the next one.
    fn reply_to_queued(&self, gateway: PeerId, queued: &[SlotRequestId]) {
        let mut replies = self.broker.borrow().review_queued(gateway, queued);
        if self.is_leaving() && gateway != self.process_id {
            for (_, reply) in replies.iter_mut().filter(|(_, reply)| !reply.is_granted()) {
                *reply = SlotReply::NotBroker;
            }
        }
        if !replies.is_empty() {
            self.send_message(gateway, Message::SlotReplies { from: self.process_id, replies });
        }
    }

    /// Sends a broker's replies to slot requests.
    pub(super) fn send_replies(&self, replies: Vec<AddressedReply>) {
        for AddressedReply { to, request_id, reply } in replies {
            self.send_message(to, Message::SlotReply { from: self.process_id, request_id, reply });
        }
    }
}
