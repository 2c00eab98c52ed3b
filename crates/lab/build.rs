//! Builds the library that proof runs load into a dispatcher's process (`preload/lib.rs`), and names it to the crate.

use std::path::PathBuf;
use std::process::Command;

/// What the library is made of.
const SOURCES: [&str; 2] = ["preload/lib.rs", "src/stand/fault_layout.rs"];

fn main() {
    for source in SOURCES {
        println!("cargo::rerun-if-changed={source}");
    }
    let out = PathBuf::from(std::env::var_os("OUT_DIR").expect("cargo names a directory for output"));
    let library = out.join("libfault_preload.so");
    let compiler = std::env::var_os("RUSTC").expect("cargo names the compiler");
    let built = Command::new(compiler)
        .args(["--edition", "2024", "--crate-type", "cdylib", "--crate-name", "fault_preload"])
        .args(["-C", "opt-level=2", "-C", "panic=abort", "-D", "warnings"])
        .arg("-o")
        .arg(&library)
        .arg(SOURCES[0])
        .status()
        .expect("the compiler starts");
    assert!(built.success(), "the preloaded library does not build");
    println!("cargo::rustc-env=FAULT_PRELOAD={}", library.display());
}
