//! Settings of the gathering machine.

use std::sync::Arc;

use super::near::Own;

/// Settings of the gathering machine.
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) name: Arc<str>,
    pub(crate) incarnation: u64,
    pub(crate) hedging: bool,
    pub(crate) history: usize,
    /// Where this instance stands, when parts of sweeps are collected near their servers.
    pub(crate) zone: Option<Arc<str>>,
    /// Thousandths of a processor core that this instance may use.
    pub(crate) millicores: u32,
}

impl Settings {
    /// Starts from the defaults for the instance `name` in its `incarnation`.
    pub fn builder(name: &str, incarnation: u64) -> Builder {
        let name = name.into();
        let zone = None;
        Builder {
            settings: Self {
                name,
                incarnation,
                hedging: true,
                history: 256,
                zone,
                millicores: 1000,
            },
        }
    }

    /// This instance, which stands in `zone`, among those that may collect.
    pub(crate) fn own<'a>(&'a self, zone: &'a str) -> Own<'a> {
        Own { name: &self.name, zone, millicores: self.millicores }
    }
}

/// Builds [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder {
    settings: Settings,
}

impl Builder {
    /// Whether repeatable work at a silent owner also goes to the next candidate. Default: true.
    #[must_use]
    pub fn hedging(mut self, hedging: bool) -> Self {
        self.settings.hedging = hedging;
        self
    }

    /// Number of queries that `Machine::explain` remembers. Default: 256.
    ///
    /// The account of a sweep over 30 parts takes some kilobytes; with 512 a process's memory was
    /// 12.3 MB at its peak, with 256 it is 11.5.
    #[must_use]
    pub fn history(mut self, queries: usize) -> Self {
        self.settings.history = queries;
        self
    }

    /// Has parts of sweeps collected near their servers; this instance stands in `zone`. Default:
    /// it asks all servers itself.
    #[must_use]
    pub fn near(mut self, zone: &str) -> Self {
        self.settings.zone = Some(zone.into());
        self
    }

    /// Thousandths of a processor core that this instance may use. Default: 1000.
    #[must_use]
    pub fn millicores(mut self, millicores: u32) -> Self {
        self.settings.millicores = millicores;
        self
    }

    /// The settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
