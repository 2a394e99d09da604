//! Events 1000 to 1999: process start, settings and shutdown.

super::events! {
    /// A process started.
    PROCESS_STARTED = 1000, Info, "a process started", "none";
    /// A process is ready for work.
    PROCESS_READY = 1001, Info, "this process has loaded a configuration and accepts work", "none";
    /// A process drains before it stops.
    PROCESS_DRAINING = 1002, Info, "this process accepts no new work and completes the work in progress", "wait; event 1003 follows";
    /// A process stopped after draining.
    PROCESS_STOPPED = 1003, Info, "this process stopped with no request in progress", "none";
    /// The settings file is invalid.
    SETTINGS_INVALID = 1100, Error, "the settings file has an error; the process does not start", "correct the line named, then run `masticdockd check FILE`";
}
