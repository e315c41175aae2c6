//! Token-based steering, for transports whose packets carry a token.
//!
//! An instance adds a token that identifies the target to the first packet of a flow, and both
//! ends echo it in all later packets. Any instance that knows the targets can therefore forward
//! any packet, without per-flow state and without a lookup at other instances.

mod choice;
mod crowding;
mod decision_log;
mod directory;
mod feed;
mod flows;
mod health;
mod message;
mod node;
mod overdue;
mod packet;
mod registration;
mod routes;
mod sharing;
mod steer;
mod target;
mod token;

pub use choice::{Candidate, choose};
pub use crowding::Crowding;
pub use directory::{Directory, TargetRecord};
pub use feed::{Feeds, INSTANCES, ROUTES, TARGETS};
pub use flows::{FlowSignal, Flows, Load};
pub use health::Health;
pub use message::Message;
pub use node::{Node, NodeConfig};
pub use packet::{FlowPacket, PacketError, PacketFormat, PacketKind};
pub use routes::{RawRoute, RawRoutes, Route, RouteTable, WeightedService};
pub use sharing::Sharing;
pub use steer::{Belief, Refusal, Steer, Unforwarded, Verdict};
pub use target::{RawTarget, Target, TargetKey, TargetState};
pub use token::{NO_TOKEN, TargetStart, Token, Tokens};
