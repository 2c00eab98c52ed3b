//! A library that proof runs load into a dispatcher's process before the C library (`LD_PRELOAD`). It shifts the wall clock and
//! makes system calls fail in the ways that Linux documents, as a page of shared memory tells it. Monotonic clocks run on.
//!
//! Built by the crate's build script; it links nothing but the C library.

#![no_std]
#![allow(dead_code)]

#[path = "../src/stand/fault_layout.rs"]
mod layout;

use core::ffi::{c_char, c_int, c_long, c_void};
use core::panic::PanicInfo;
use core::ptr;
use core::sync::atomic::{AtomicPtr, AtomicU64, Ordering};
use layout::{CLOCK_OFFSET, Call, DRAW, FAILED, PAGE_BYTES, RATE_OF, RATES};

#[panic_handler]
fn on_panic(_: &PanicInfo<'_>) -> ! {
    // SAFETY: ends the process; nothing is accessed.
    unsafe { abort() }
}

#[repr(C)]
pub struct TimeSpec {
    seconds: i64,
    nanoseconds: c_long,
}

#[repr(C)]
pub struct TimeValue {
    seconds: i64,
    microseconds: c_long,
}

#[repr(C)]
pub struct IoVector {
    base: *mut c_void,
    length: usize,
}

unsafe extern "C" {
    fn syscall(number: c_long, ...) -> c_long;
    fn getenv(name: *const c_char) -> *const c_char;
    fn open(path: *const c_char, flags: c_int, ...) -> c_int;
    fn mmap(at: *mut c_void, len: usize, access: c_int, flags: c_int, file: c_int, offset: i64) -> *mut c_void;
    fn __errno_location() -> *mut c_int;
    fn abort() -> !;
}

/// Numbers of the system calls, which each architecture has of its own.
#[cfg(target_arch = "x86_64")]
mod numbers {
    use core::ffi::c_long;

    pub const SYS_READ: c_long = 0;
    pub const SYS_WRITE: c_long = 1;
    pub const SYS_CLOSE: c_long = 3;
    pub const SYS_WRITEV: c_long = 20;
    pub const SYS_SOCKET: c_long = 41;
    pub const SYS_CONNECT: c_long = 42;
    pub const SYS_SENDTO: c_long = 44;
    pub const SYS_RECVFROM: c_long = 45;
    pub const SYS_SHUTDOWN: c_long = 48;
    pub const SYS_GETPEERNAME: c_long = 52;
    pub const SYS_CLOCK_GETTIME: c_long = 228;
    pub const SYS_EPOLL_PWAIT: c_long = 281;
    pub const SYS_ACCEPT4: c_long = 288;
}

/// The same for arm64.
#[cfg(target_arch = "aarch64")]
mod numbers {
    use core::ffi::c_long;

    pub const SYS_EPOLL_PWAIT: c_long = 22;
    pub const SYS_CLOSE: c_long = 57;
    pub const SYS_READ: c_long = 63;
    pub const SYS_WRITE: c_long = 64;
    pub const SYS_WRITEV: c_long = 66;
    pub const SYS_CLOCK_GETTIME: c_long = 113;
    pub const SYS_SOCKET: c_long = 198;
    pub const SYS_CONNECT: c_long = 203;
    pub const SYS_GETPEERNAME: c_long = 205;
    pub const SYS_SENDTO: c_long = 206;
    pub const SYS_RECVFROM: c_long = 207;
    pub const SYS_SHUTDOWN: c_long = 210;
    pub const SYS_ACCEPT4: c_long = 242;
}

use numbers::*;

/// Bytes of the kernel's signal set, which a wait without one tells all the same.
const SIGNAL_SET_BYTES: usize = 8;

const EINTR: c_int = 4;
const ENFILE: c_int = 23;
const EADDRNOTAVAIL: c_int = 99;
const ENETUNREACH: c_int = 101;
const ECONNABORTED: c_int = 103;
const ENOBUFS: c_int = 105;
const ETIMEDOUT: c_int = 110;
const EHOSTUNREACH: c_int = 113;

const CLOCK_REALTIME: c_int = 0;
const CLOCK_REALTIME_COARSE: c_int = 5;
const OPEN_READ_WRITE: c_int = 2;
const ACCESS_READ_WRITE: c_int = 3;
const MAP_SHARED: c_int = 1;
const SHUTDOWN_BOTH: c_int = 2;
const FAMILY_IPV4: c_int = 2;
const NANOSECONDS: i64 = 1_000_000_000;

/// The page, once it is mapped; null before, and `NO_PAGE` where there is none.
static PAGE: AtomicPtr<u64> = AtomicPtr::new(ptr::null_mut());
static ABSENT: AtomicU64 = AtomicU64::new(0);
const NO_PAGE: *mut u64 = &raw const ABSENT as *mut u64;

fn map_page() -> *mut u64 {
    // SAFETY: the name and the path end with a zero byte; the mapping is checked before it is used.
    unsafe {
        let path = getenv(c"FAULT_PAGE".as_ptr());
        if path.is_null() {
            return NO_PAGE;
        }
        let file = open(path, OPEN_READ_WRITE);
        if file < 0 {
            return NO_PAGE;
        }
        let page = mmap(ptr::null_mut(), PAGE_BYTES, ACCESS_READ_WRITE, MAP_SHARED, file, 0);
        syscall(SYS_CLOSE, file);
        if page as isize == -1 { NO_PAGE } else { page.cast() }
    }
}

/// A word of the page; none where no page was named.
fn word(at: usize) -> Option<&'static AtomicU64> {
    let mut page = PAGE.load(Ordering::Acquire);
    if page.is_null() {
        page = map_page();
        PAGE.store(page, Ordering::Release);
    }
    if page == NO_PAGE {
        return None;
    }
    // SAFETY: the page is mapped for the life of the process, and `at` is one of the layout's words, inside it.
    Some(unsafe { AtomicU64::from_ptr(page.add(at)) })
}

fn draw() -> u64 {
    let Some(state) = word(DRAW) else { return 0 };
    let x = state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Whether this call is to fail; a number to choose how by, if so.
fn fails(call: Call) -> Option<u64> {
    let rate = word(RATES + call as usize)?.load(Ordering::Relaxed);
    if rate == 0 {
        return None;
    }
    let drawn = draw();
    if drawn % RATE_OF >= rate {
        return None;
    }
    word(FAILED + call as usize)?.fetch_add(1, Ordering::Relaxed);
    Some(drawn / RATE_OF)
}

fn fail(error: c_int) -> c_int {
    // SAFETY: the C library gives each thread a place for its error.
    unsafe { *__errno_location() = error };
    -1
}

fn one_of(errors: &[c_int], drawn: u64) -> c_int {
    errors[drawn as usize % errors.len()]
}

/// Whether a descriptor is a connection of IPv4: only those are made to fail.
fn is_connection(descriptor: c_int) -> bool {
    let (mut address, mut length) = ([0u16; 64], 128u32);
    // SAFETY: the buffer is as long as it is said to be.
    let got = unsafe { syscall(SYS_GETPEERNAME, descriptor, address.as_mut_ptr(), &mut length) };
    got == 0 && address[0] == FAMILY_IPV4 as u16
}

/// What becomes of a read or write of `length` bytes: an error, or the bytes that it may take at most.
fn transfer(descriptor: c_int, call: Call, length: usize) -> Result<usize, c_int> {
    if fails(Call::Break).is_some() && is_connection(descriptor) {
        // SAFETY: takes plain numbers.
        unsafe { syscall(SYS_SHUTDOWN, descriptor, SHUTDOWN_BOTH) };
        return Err(one_of(&[ETIMEDOUT, EHOSTUNREACH], draw()));
    }
    match fails(call).filter(|_| is_connection(descriptor)) {
        Some(drawn) if drawn % 2 == 0 => Err(EINTR),
        Some(drawn) => Ok(length.min(1 + drawn as usize % 64)),
        None => Ok(length),
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: c_int, out: *mut TimeSpec) -> c_int {
    // SAFETY: the caller's own arguments.
    let result = unsafe { syscall(SYS_CLOCK_GETTIME, clock, out) } as c_int;
    if result != 0 || !matches!(clock, CLOCK_REALTIME | CLOCK_REALTIME_COARSE) {
        return result;
    }
    let Some(offset) = word(CLOCK_OFFSET) else { return result };
    // SAFETY: the call above succeeded, so that `out` can be written.
    unsafe {
        let shifted = (*out).seconds * NANOSECONDS + (*out).nanoseconds + offset.load(Ordering::Relaxed) as i64;
        (*out).seconds = shifted.div_euclid(NANOSECONDS);
        (*out).nanoseconds = shifted.rem_euclid(NANOSECONDS);
    }
    result
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn gettimeofday(out: *mut TimeValue, _zone: *mut c_void) -> c_int {
    let mut now = TimeSpec { seconds: 0, nanoseconds: 0 };
    // SAFETY: `now` stands here; the caller's `out` may be null.
    unsafe {
        clock_gettime(CLOCK_REALTIME, &mut now);
        if !out.is_null() {
            *out = TimeValue { seconds: now.seconds, microseconds: now.nanoseconds / 1000 };
        }
    }
    0
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn time(out: *mut i64) -> i64 {
    let mut now = TimeSpec { seconds: 0, nanoseconds: 0 };
    // SAFETY: `now` stands here; the caller's `out` may be null.
    unsafe {
        clock_gettime(CLOCK_REALTIME, &mut now);
        if !out.is_null() {
            *out = now.seconds;
        }
    }
    now.seconds
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(socket: c_int, address: *mut c_void, length: *mut u32, flags: c_int) -> c_int {
    if let Some(drawn) = fails(Call::Accept) {
        return fail(one_of(&[ECONNABORTED, ENFILE, ENOBUFS], drawn));
    }
    // SAFETY: the caller's own arguments.
    unsafe { syscall(SYS_ACCEPT4, socket, address, length, flags) as c_int }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(family: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(drawn) = fails(Call::Socket).filter(|_| family == FAMILY_IPV4) {
        return fail(one_of(&[ENFILE, ENOBUFS], drawn));
    }
    // SAFETY: takes plain numbers.
    unsafe { syscall(SYS_SOCKET, family, kind, protocol) as c_int }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const c_void, length: u32) -> c_int {
    if let Some(drawn) = fails(Call::Connect) {
        return fail(one_of(&[EADDRNOTAVAIL, ENETUNREACH], drawn));
    }
    // SAFETY: the caller's own arguments.
    unsafe { syscall(SYS_CONNECT, socket, address, length) as c_int }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(epoll: c_int, events: *mut c_void, most: c_int, timeout: c_int) -> c_int {
    if fails(Call::Wait).is_some() {
        return fail(EINTR);
    }
    let no_signals = ptr::null::<c_void>();
    // SAFETY: the caller's own arguments.
    unsafe { syscall(SYS_EPOLL_PWAIT, epoll, events, most, timeout, no_signals, SIGNAL_SET_BYTES) as c_int }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: usize, flags: c_int) -> isize {
    match transfer(socket, Call::Read, length) {
        Err(error) => fail(error) as isize,
        // SAFETY: the caller's own arguments, with a length that is not longer.
        Ok(length) => unsafe {
            syscall(SYS_RECVFROM, socket, buffer, length, flags, ptr::null::<c_void>(), ptr::null::<c_void>())
                as isize
        },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(file: c_int, buffer: *mut c_void, length: usize) -> isize {
    match transfer(file, Call::Read, length) {
        Err(error) => fail(error) as isize,
        // SAFETY: the caller's own arguments, with a length that is not longer.
        Ok(length) => unsafe { syscall(SYS_READ, file, buffer, length) as isize },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: usize, flags: c_int) -> isize {
    match transfer(socket, Call::Write, length) {
        Err(error) => fail(error) as isize,
        // SAFETY: the caller's own arguments, with a length that is not longer.
        Ok(length) => unsafe {
            syscall(SYS_SENDTO, socket, buffer, length, flags, ptr::null::<c_void>(), 0) as isize
        },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(file: c_int, buffer: *const c_void, length: usize) -> isize {
    match transfer(file, Call::Write, length) {
        Err(error) => fail(error) as isize,
        // SAFETY: the caller's own arguments, with a length that is not longer.
        Ok(length) => unsafe { syscall(SYS_WRITE, file, buffer, length) as isize },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(file: c_int, pieces: *const IoVector, count: c_int) -> isize {
    // SAFETY: the caller hands over `count` pieces.
    let first = if count > 0 { unsafe { (*pieces).length } } else { 0 };
    match transfer(file, Call::Write, first) {
        Err(error) => fail(error) as isize,
        // SAFETY: the caller's own arguments; a short write takes a part of the first piece.
        Ok(length) if length < first => unsafe { syscall(SYS_WRITE, file, (*pieces).base, length) as isize },
        // SAFETY: the caller's own arguments.
        Ok(_) => unsafe { syscall(SYS_WRITEV, file, pieces, count) as isize },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn close(descriptor: c_int) -> c_int {
    let fails = fails(Call::Close).filter(|_| is_connection(descriptor));
    // SAFETY: takes a plain number.
    let result = unsafe { syscall(SYS_CLOSE, descriptor) as c_int };
    if fails.is_some() { fail(EINTR) } else { result }
}
