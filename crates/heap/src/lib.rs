//! The heap of the process. The C library keeps memory that was freed in the middle of its heap until it is told to return it,
//! so a process that held much once would stay large.

/// Returns freed memory to the operating system, if the C library can. Takes about a millisecond for 30 MB.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub fn release_free_memory() {
    // SAFETY: `malloc_trim` has no preconditions, and may be called from any thread (malloc_trim(3)).
    #[allow(unsafe_code)]
    unsafe {
        libc::malloc_trim(0);
    }
}

/// Does nothing: this C library has no such call.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn release_free_memory() {}
