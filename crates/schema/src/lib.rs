//! Types of messages, settings and catalogue entries, and the validation of published records.
//!
//! The types are generated from the Protocol Buffers schema in `schema/ladder`, one module for each
//! package of the schema. The generated code is committed; `ladder-codegen` regenerates it.

/// Declares a module with the generated types and JSON mapping of one schema package.
macro_rules! package {
    ($(#[$doc:meta])* $name:ident, $types:literal, $json:literal) => {
        $(#[$doc])*
        #[allow(missing_docs, clippy::all, clippy::pedantic, clippy::disallowed_types)]
        #[allow(rust_2018_idioms, unreachable_pub)]
        pub mod $name {
            include!(concat!("generated/", $types));
            include!(concat!("generated/", $json));
        }
    };
}

package!(
    /// Outcomes of requests: verdicts and reasons.
    outcome, "ladder.outcome.rs", "ladder.outcome.serde.rs"
);
package!(
    /// Catalogue entries: settings of services and their operations.
    catalogue, "ladder.catalogue.rs", "ladder.catalogue.serde.rs"
);
package!(
    /// Records that the platform publishes.
    publication, "ladder.publication.rs", "ladder.publication.serde.rs"
);
package!(
    /// Messages of the interface between callers and instances.
    call, "ladder.call.rs", "ladder.call.serde.rs"
);
package!(
    /// Messages of the interface between instances and targets.
    target, "ladder.target.rs", "ladder.target.serde.rs"
);
package!(
    /// Messages between instances.
    wire, "ladder.wire.rs", "ladder.wire.serde.rs"
);
package!(
    /// Settings files of the processes.
    settings, "ladder.settings.rs", "ladder.settings.serde.rs"
);
package!(
    /// Settings and control messages of the stand-ins (test doubles of platform and targets).
    standin, "ladder.standin.rs", "ladder.standin.serde.rs"
);
package!(
    /// Status that an instance reports to operators.
    status, "ladder.status.rs", "ladder.status.serde.rs"
);

pub mod bounds;
pub mod check;
