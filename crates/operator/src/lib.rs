//! The operator file: what an installation says of itself, as S-expressions. `tree` reads the text, `form` checks it
//! against what is known and gives each value its type, `file` says what is known, `logs` sets up what is logged.
//! Every fault of a file is told with its line and column, not only the first.

pub mod file;
pub mod form;
pub mod logs;
pub mod tree;

pub use file::OperatorFile;
pub use tree::Fault;

/// Reads and checks a whole file.
///
/// # Errors
/// All faults, in the order of the text.
pub fn read(text: &str) -> Result<OperatorFile, Vec<Fault>> {
    let (trees, mut faults) = tree::read(text);
    let checked = form::check(&file::FILE, &trees, &mut faults);
    let read = OperatorFile::of(&checked, &mut faults);
    faults.sort_by_key(|fault| (fault.at.line, fault.at.column));
    if faults.is_empty() { Ok(read) } else { Err(faults) }
}
