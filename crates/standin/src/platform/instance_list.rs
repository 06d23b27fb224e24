//! The JSON body of the instance list, and changes of one instance in it.

use bytes::Bytes;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceState;
use serde::Deserialize;
use serde::Serialize;

use super::refusal::Refusal;

/// The body of an instance list.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ListBody<I> {
    instances: I,
}

impl ListBody<Vec<Instance>> {
    /// Encodes a list as JSON.
    pub(super) fn encode(list: &[Instance]) -> Result<Bytes, Refusal> {
        let json = serde_json::to_vec(&ListBody { instances: list });
        json.map(Bytes::from)
            .map_err(|e| Refusal::Malformed(e.to_string()))
    }

    /// Decodes a list from a JSON body.
    pub(super) fn decode(body: &[u8]) -> Result<Vec<Instance>, Refusal> {
        let read: Result<ListBody<Vec<Instance>>, _> = serde_json::from_slice(body);
        read.map(|body| body.instances)
            .map_err(|e| Refusal::Malformed(e.to_string()))
    }
}

/// A change of one instance in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceChange {
    /// The instance is listed as live.
    Live,
    /// The instance is listed as leaving.
    Leaving,
    /// The instance is removed from the list.
    Gone,
}

impl InstanceChange {
    /// Applies the change to the instance `id` in `list`.
    pub(super) fn apply(self, id: &InstanceId, list: &mut Vec<Instance>) -> Result<(), Refusal> {
        let index = list.iter().position(|instance| instance.id == *id);
        let index = index.ok_or_else(|| Refusal::UnknownInstance(id.clone()))?;
        match self {
            InstanceChange::Live => list[index].state = InstanceState::Live,
            InstanceChange::Leaving => list[index].state = InstanceState::Leaving,
            InstanceChange::Gone => {
                list.remove(index);
            }
        }
        Ok(())
    }
}
