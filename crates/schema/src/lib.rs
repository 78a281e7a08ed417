//! Messages, settings and catalogue, generated from the schema in `schema/ladder`, and their
//! validation.
//!
//! One module for each package of the schema. The generated code is committed; `ladder-codegen`
//! regenerates it.

/// Includes the generated types and JSON mapping of one package.
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
    /// Verdicts and reasons.
    outcome, "ladder.outcome.rs", "ladder.outcome.serde.rs"
);
package!(
    /// Catalogue entries.
    catalogue, "ladder.catalogue.rs", "ladder.catalogue.serde.rs"
);
package!(
    /// What the platform publishes.
    publication, "ladder.publication.rs", "ladder.publication.serde.rs"
);
package!(
    /// The callers' interface.
    call, "ladder.call.rs", "ladder.call.serde.rs"
);
package!(
    /// The targets' interface.
    target, "ladder.target.rs", "ladder.target.serde.rs"
);
package!(
    /// Messages between instances.
    wire, "ladder.wire.rs", "ladder.wire.serde.rs"
);
package!(
    /// Settings of the processes.
    settings, "ladder.settings.rs", "ladder.settings.serde.rs"
);
package!(
    /// Settings and control messages of the stand-ins.
    standin, "ladder.standin.rs", "ladder.standin.serde.rs"
);
package!(
    /// What an instance shows to operators.
    status, "ladder.status.rs", "ladder.status.serde.rs"
);

pub mod bounds;
pub mod check;
