//! Lists the other instances for a view.

use std::sync::Arc;

use super::ViewInputs;
use crate::control::membership::{Member, Standing};
use crate::control::settings::Placement;
use crate::view::{Neighbour, Peer};

/// The other instances that have settled. The list is empty under owner placement, where the
/// candidates of each service are used instead.
pub(super) fn list(inputs: &ViewInputs<'_>) -> Arc<[Neighbour]> {
    if inputs.settings.placement != Placement::Direct {
        return Arc::default();
    }
    let members = inputs.membership.members().filter(|member| {
        inputs.standing(&member.name) == Standing::Settled && !member.address.is_empty()
    });
    let neighbour = |member: &Member| Neighbour {
        peer: Peer { name: Arc::clone(&member.name), address: Arc::clone(&member.address) },
        zone: Arc::clone(&member.zone),
        millicores: member.millicores,
    };
    members.map(neighbour).collect()
}
