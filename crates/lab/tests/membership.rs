//! Members as processes know who is there.

mod common;

#[test]
fn a_death_a_restart_and_a_restart_of_all_are_known() {
    common::holds("membership", &["death", "restart", "all"]);
}

#[test]
fn pauses_loss_and_one_sided_cuts_remove_nobody() {
    common::holds("membership", &["pause", "loss", "cuts", "deaf"]);
}

#[test]
fn a_split_a_liar_and_a_flood_are_borne() {
    common::holds("membership", &["split", "liar", "flood"]);
}
