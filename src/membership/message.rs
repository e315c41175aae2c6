//! What instances tell each other about who is live.

use serde::{Deserialize, Serialize};

use crate::peer::MemberInfo;

/// A message about membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A sign of life of the sender.
    Heartbeat(MemberInfo),
}
