//! Tests that runs and failures of property tests can be repeated.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::panic::{AssertUnwindSafe, catch_unwind};

use bolero::TestTarget;
use ladder_property::Engine;

/// Returns the inputs of a run with this first seed.
fn inputs_of_run(first_seed: u128, count: usize) -> Vec<Vec<(u8, u16)>> {
    let tested = AssertUnwindSafe(RefCell::new(Vec::new()));
    let target = TestTarget::new(Engine::new(first_seed, count));
    target.with_type::<Vec<(u8, u16)>>().for_each(|input| tested.borrow_mut().push(input.clone()));
    tested.0.into_inner()
}

/// Guards against inputs that differ between two runs with the same seed.
#[test]
fn runs_with_same_seed_test_same_inputs() {
    let run = inputs_of_run(7, 200);
    assert_eq!(run, inputs_of_run(7, 200));
    assert_ne!(run, inputs_of_run(8, 200));
    assert!(run.into_iter().collect::<BTreeSet<_>>().len() > 150, "few inputs are the same");
}

/// Guards against failures that cannot be repeated with the seed in their message.
#[test]
fn failure_message_names_seed_that_repeats_it() {
    let failure_message = |first_seed, count| {
        let target = TestTarget::new(Engine::new(first_seed, count));
        let run = move || {
            target.with_type::<Vec<u8>>().for_each(|input| assert!(input.len() < 12, "too long"));
        };
        let panic = catch_unwind(AssertUnwindSafe(run)).expect_err("some input is longer");
        *panic.downcast::<String>().expect("a message")
    };
    let message = failure_message(7, 1000);
    let seed = message.split("BOLERO_RANDOM_SEED=").nth(1).and_then(|rest| rest.lines().next());
    let repeated_message =
        failure_message(seed.expect("a seed").trim().parse().expect("a number"), 1);
    assert!(repeated_message.contains("input 0 fails"), "{repeated_message}");
    assert!(repeated_message.contains("too long"), "{repeated_message}");
}
