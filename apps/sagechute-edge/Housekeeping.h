#pragma once

#include "CrashWatch.h"
#include "DueTimers.h"
#include "Fleet.h"
#include "Listeners.h"
#include "ShareWatch.h"

namespace sagechute::edge {

/// Reads the settings, and notices when their file changes, with or without a signal.
class SettingsWatch {
public:
    SettingsWatch(int argc, const char* const* argv)
        : m_argc(argc)
        , m_argv(argv)
    {
    }

    /// @return an exit code when the process should end; see process::Settings::read().
    std::optional<int> read(Options&);

    /// @return whether the file has changed since it was read last.
    bool hasChanged();

private:
    const int m_argc;
    const char* const* m_argv;
    std::string m_content;
};

/// The thread that does what comes due, until the process is asked to stop.
class Housekeeping {
public:
    Housekeeping(EdgeState&, Fleet&, Listeners&, ShareWatch&, CrashWatch&, DueTimers&, SettingsWatch&);
    void run(process::StopSignal&);

private:
    void reload();

    EdgeState& m_state;
    Fleet& m_fleet;
    Listeners& m_listeners;
    ShareWatch& m_shareWatch;
    CrashWatch& m_crashWatch;
    DueTimers& m_timers;
    SettingsWatch& m_watch;
};

/// Carries out the planned stop: out of the answers to callers at once, new connections for a while, requests in
/// flight to their end.
void planStop(EdgeState&, Fleet&, Listeners&, CrashWatch&, DueTimers&, const Options&);

} // namespace sagechute::edge
