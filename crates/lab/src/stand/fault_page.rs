//! The page by which a proof run tells the library in a dispatcher's process what to do: shift its wall clock, or make its
//! system calls fail. The process maps the file; this side writes to it.

use super::fault_layout::{
    CALLS, CLOCK_OFFSET, Call, DRAW, FAILED, PAGE_BYTES, PAGE_VARIABLE, RATE_OF, RATES,
};
use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Bytes of a word of the page.
const WORD: usize = 8;
/// Pages of this process so far.
static PAGES: AtomicU32 = AtomicU32::new(0);

/// A shift of a wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockShift {
    None,
    Ahead(Duration),
    Behind(Duration),
}

impl ClockShift {
    fn nanoseconds(self) -> i64 {
        match self {
            Self::None => 0,
            Self::Ahead(shift) => shift.as_nanos() as i64,
            Self::Behind(shift) => -(shift.as_nanos() as i64),
        }
    }
}

/// One process's page. Its file is removed with it.
pub struct FaultPage {
    file: File,
    path: PathBuf,
}

impl FaultPage {
    /// A page that asks for nothing; `seed` decides which calls fail once some are to.
    pub fn new(seed: u64) -> io::Result<Self> {
        let number = PAGES.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("myrtlegauge-fault-{}-{number}", std::process::id()));
        let file = File::options().create(true).truncate(true).read(true).write(true).open(&path)?;
        file.set_len(PAGE_BYTES as u64)?;
        let page = Self { file, path };
        page.put(DRAW, seed)?;
        Ok(page)
    }

    /// What a process has in its environment so that it obeys this page.
    pub fn environment(&self) -> [(&'static str, OsString); 2] {
        [("LD_PRELOAD", env!("FAULT_PRELOAD").into()), (PAGE_VARIABLE, self.path.clone().into_os_string())]
    }

    /// Steps the process's wall clock, at once.
    pub fn shift_clock(&self, shift: ClockShift) -> io::Result<()> {
        self.put(CLOCK_OFFSET, shift.nanoseconds() as u64)
    }

    /// Has a part of the calls of one kind fail from now on.
    pub fn fail_calls(&self, call: Call, part: f64) -> io::Result<()> {
        self.put(RATES + call as usize, (part * RATE_OF as f64).round() as u64)
    }

    /// Calls that were made to fail so far, of all kinds.
    pub fn failed_calls(&self) -> io::Result<u64> {
        CALLS.iter().map(|&call| self.get(FAILED + call as usize)).sum()
    }

    fn put(&self, word: usize, value: u64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), (word * WORD) as u64)
    }

    fn get(&self, word: usize) -> io::Result<u64> {
        let mut bytes = [0; WORD];
        self.file.read_exact_at(&mut bytes, (word * WORD) as u64)?;
        Ok(u64::from_ne_bytes(bytes))
    }
}

impl Drop for FaultPage {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

#[cfg(test)]
mod tests {
    use super::{Call, ClockShift, FaultPage};
    use std::process::Command;
    use std::time::{Duration, SystemTime, UNIX_EPOCH};

    fn date(page: &FaultPage) -> i64 {
        let out = Command::new("date").arg("+%s").envs(page.environment()).output().expect("date runs");
        String::from_utf8_lossy(&out.stdout).trim().parse().expect("seconds")
    }

    /// A process's wall clock is shifted as its page says, either way.
    #[test]
    fn a_page_shifts_the_wall_clock_of_a_process() {
        let page = FaultPage::new(1).expect("a page");
        for (shift, seconds) in [
            (ClockShift::None, 0),
            (ClockShift::Ahead(Duration::from_secs(7200)), 7200),
            (ClockShift::Behind(Duration::from_secs(30)), -30),
        ] {
            page.shift_clock(shift).expect("a page");
            let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs() as i64;
            assert!((date(&page) - now - seconds).abs() <= 1, "{shift:?}");
        }
        page.fail_calls(Call::Accept, 0.5).expect("a page");
        assert_eq!(page.failed_calls().expect("a page"), 0);
        page.fail_calls(Call::Accept, 0.0).expect("a page");
    }
}
