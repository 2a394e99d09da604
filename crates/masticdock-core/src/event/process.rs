//! Events 1000 to 1999: start, settings and stop of a process.

super::events! {
    /// A process started.
    PROCESS_STARTED = 1000, Info, "a process started", "none";
    /// A process is ready.
    PROCESS_READY = 1001, Info, "a process holds a configuration and takes work", "none";
    /// A process drains before its stop.
    PROCESS_DRAINING = 1002, Info, "a process takes no new work and ends the work in progress", "wait; event 1003 follows";
    /// A process stopped after draining.
    PROCESS_STOPPED = 1003, Info, "a process stopped with no request in progress", "none";
    /// The settings are invalid.
    SETTINGS_INVALID = 1100, Error, "the settings file has an error; the process does not start", "correct the line named, then run `masticdockd check FILE`";
}
