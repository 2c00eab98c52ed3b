//! Tests of replication. They are one program, because most of them use the same simulated network.

mod defences;
mod oracle;
mod rules;
mod simulation;
mod size;
mod work;
