//! Inputs repeat.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::panic::{AssertUnwindSafe, catch_unwind};

use bolero::TestTarget;
use ladder_property::Engine;

/// The inputs of a run.
fn inputs(first: u128, count: usize) -> Vec<Vec<(u8, u16)>> {
    let seen = AssertUnwindSafe(RefCell::new(Vec::new()));
    let target = TestTarget::new(Engine::new(first, count));
    target.with_type::<Vec<(u8, u16)>>().for_each(|input| seen.borrow_mut().push(input.clone()));
    seen.0.into_inner()
}

/// Guards against inputs that are drawn anew in each run.
#[test]
fn runs_of_one_seed_try_the_same() {
    let run = inputs(7, 200);
    assert_eq!(run, inputs(7, 200));
    assert_ne!(run, inputs(8, 200));
    assert!(run.into_iter().collect::<BTreeSet<_>>().len() > 150, "few inputs are the same");
}

/// Guards against failures that can't be brought back.
#[test]
fn failure_names_the_seed_that_brings_it_back() {
    let fail = |first, count| {
        let target = TestTarget::new(Engine::new(first, count));
        let run = move || {
            target.with_type::<Vec<u8>>().for_each(|input| assert!(input.len() < 12, "too long"));
        };
        let panic = catch_unwind(AssertUnwindSafe(run)).expect_err("some input is longer");
        *panic.downcast::<String>().expect("a message")
    };
    let message = fail(7, 1000);
    let seed = message.split("BOLERO_RANDOM_SEED=").nth(1).and_then(|rest| rest.lines().next());
    let alone = fail(seed.expect("a seed").trim().parse().expect("a number"), 1);
    assert!(alone.contains("input 0 fails"), "{alone}");
    assert!(alone.contains("too long"), "{alone}");
}
