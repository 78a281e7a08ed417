//! Order of the records of one key.

use ladder_schema::publication::{Record, record::Body};

/// Place of a change in the history of the platform's store.
///
/// Revisions order the changes of one era. When the store is restored from a copy, the era rises
/// and the revisions above the copy's are given out again, so changes of different eras are ordered
/// by era first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Era of the store; 0 if no era is known.
    pub era: u64,
    /// Revision of the change.
    pub revision: u64,
}

/// How a record relates to the one in force of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Relation {
    /// The record replaces the one in force, if it is valid.
    Newer,
    /// The same record, read from the store in a later era.
    Confirmed,
    /// The same record.
    Same,
    /// Another record with the same position.
    Reused,
    /// The record is older.
    Older,
    /// The record is newer by position, but contains an older version of the routes.
    OlderVersion,
}

/// Relates a record to the one in force of its key.
pub(super) fn relate(
    record: &Record,
    position: Position,
    in_force: &Record,
    in_force_position: Position,
) -> Relation {
    if position.revision == in_force_position.revision && record.body == in_force.body {
        let is_later = position.era > in_force_position.era;
        return if is_later { Relation::Confirmed } else { Relation::Same };
    }
    let is_newer = position > in_force_position;
    if position == in_force_position {
        return Relation::Reused;
    }
    // Versions of the routes only increase, but the store may hold an older version at a later
    // position: it was restored from a copy, or has carried out an earlier write again.
    match route_version(record).zip(route_version(in_force)) {
        Some((new, old)) if new > old => Relation::Newer,
        Some((new, old)) if new < old && is_newer => Relation::OlderVersion,
        Some((new, old)) if new < old => Relation::Older,
        _ if is_newer => Relation::Newer,
        _ => Relation::Older,
    }
}

/// Version of the routes that a record contains; `None` if it contains none.
pub(super) fn route_version(record: &Record) -> Option<u64> {
    match &record.body {
        Some(Body::Routing(routing)) => Some(routing.version),
        _ => None,
    }
}
