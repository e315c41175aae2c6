//! Token-based steering, for transports whose packets carry a token.
//!
//! An instance adds a token that identifies the target to the first packet of a flow, and both
//! ends echo it in all later packets. Any instance that knows the targets can therefore forward
//! any packet, without per-flow state and without a lookup at other instances.

mod choice;
mod crowding;
mod decision_log;
mod directory;
mod flows;
mod gossip;
mod health;
mod list_watch;
mod message;
mod node;
mod overdue;
mod packet;
mod registration;
mod routes;
mod steer;
mod target;
mod token;

pub use choice::{Candidate, choose};
pub use crowding::Crowding;
pub use directory::{Directory, TargetRecord};
pub use flows::{FlowSignal, Flows, Load};
pub use gossip::Gossip;
pub use health::Health;
pub use list_watch::{INSTANCES, ListWatches, ROUTES, TARGETS};
pub use message::Message;
pub use node::{Node, NodeConfig};
pub use packet::{FlowPacket, PacketError, PacketFormat, PacketKind};
pub use routes::{RawRoute, RawRoutes, Route, RouteTable, WeightedService};
pub use steer::{Belief, Refusal, Steer, Unforwarded, Verdict};
pub use target::{RawTarget, Target, TargetKey, TargetState};
pub use token::{NO_TOKEN, TargetStart, Token, Tokens};
