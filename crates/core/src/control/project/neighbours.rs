//! The other instances of a view.

use std::sync::Arc;

use super::Source;
use crate::control::membership::{Member, Standing};
use crate::control::settings::Placement;
use crate::view::{Neighbour, Peer};

/// Settled instances besides this one. Under owner placement the candidates of each service take
/// their place.
pub(super) fn of(source: &Source<'_>) -> Arc<[Neighbour]> {
    if source.settings.placement != Placement::Direct {
        return Arc::default();
    }
    let members = source.membership.members().filter(|member| {
        source.standing(&member.name) == Standing::Settled && !member.address.is_empty()
    });
    let neighbour = |member: &Member| Neighbour {
        peer: Peer { name: Arc::clone(&member.name), address: Arc::clone(&member.address) },
        zone: Arc::clone(&member.zone),
        millicores: member.millicores,
    };
    members.map(neighbour).collect()
}
