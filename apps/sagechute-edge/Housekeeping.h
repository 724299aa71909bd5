#pragma once

#include "ColdMonitor.h"
#include "CrashMonitor.h"
#include "DepartureMonitor.h"
#include "Fleet.h"
#include "Listeners.h"
#include "ShareMonitor.h"
#include "TimerQueue.h"

namespace sagechute::edge {

/// Reads the settings and detects changes of the settings file, with or without a signal.
class SettingsWatcher {
public:
    SettingsWatcher(int argc, const char* const* argv)
        : m_argc(argc)
        , m_argv(argv)
    {
    }

    /// @return an exit code if the process should exit; see process::Settings::read().
    std::optional<int> read(Options&);

    /// @return whether the file has changed since it was last read.
    bool hasChanged();

private:
    const int m_argc;
    const char* const* m_argv;
    std::string m_content;
};

/// Runs periodic work on the calling thread until the process is asked to stop: timers, gossip and heartbeats, overload
/// control, and the reload of settings.
class Housekeeping {
public:
    Housekeeping(EdgeState&, Fleet&, Listeners&, ShareMonitor&, ColdMonitor&, DepartureMonitor&, CrashMonitor&,
        TimerQueue&, SettingsWatcher&);
    void run(process::StopSignal&);

private:
    void reload();

    EdgeState& m_state;
    Fleet& m_fleet;
    Listeners& m_listeners;
    ShareMonitor& m_shareMonitor;
    ColdMonitor& m_coldMonitor;
    DepartureMonitor& m_departureMonitor;
    CrashMonitor& m_crashMonitor;
    TimerQueue& m_timers;
    SettingsWatcher& m_settingsWatcher;
};

/// Stops gracefully: the router disappears from lookup answers at once, accepts requests for a while longer, and lets
/// requests in flight complete.
void drainAndStop(EdgeState&, Fleet&, Listeners&, DepartureMonitor&, CrashMonitor&, TimerQueue&, const Options&);

} // namespace sagechute::edge
