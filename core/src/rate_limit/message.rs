//! Messages by which entry VMs keep limits together.

use super::bucket::Turn;
use super::lending::{Loan, Stamp};
use super::limits::Observation;
use crate::directory::Incarnation;
use crate::names::VmId;

/// Message from one entry VM to another.
#[derive(Clone, Debug, PartialEq)]
pub enum RateMessage {
    /// What an answer said of a server's limit.
    Limit(Observation),
    /// Lends or renews the sender's share of all limits of a shard.
    Lend(Loan),
    /// Confirms a loan, with the stamp that its next renewal repeats.
    Lent(Stamp),
    /// Asks for a permit to send one request; tells what the sender knows of the limit.
    Ask(Observation),
    /// Answer to `Ask`.
    Turn {
        /// Server that was asked for.
        incarnation: Incarnation,
        /// Whether and when the request may be sent.
        turn: Turn,
    },
}

/// Receivers of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Recipient {
    /// All linked entry VMs.
    All,
    /// One entry VM.
    Vm(VmId),
}

/// A message and its receivers.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Receivers of the message.
    pub to: Recipient,
    /// The message.
    pub message: RateMessage,
}
