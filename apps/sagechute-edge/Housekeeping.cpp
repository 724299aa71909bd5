#include "Housekeeping.h"

#include <Platform.h>

#include <fstream>
#include <sstream>
#include <thread>

namespace sagechute::edge {

namespace {

    /// Gossip needs a tick every 50 ms; this is also the resolution of the timers.
    constexpr Duration tickInterval = std::chrono::milliseconds(25);

    /// Interval at which the settings file, which may change without a signal, is compared and customers' shares are
    /// recorded.
    constexpr Duration settingsCheckInterval = std::chrono::seconds(1);

    /// Gives several samples within the second over which a router measures the cost of its work.
    constexpr Duration overloadCheckInterval = std::chrono::milliseconds(100);

    /// After this time without requests, callers have switched to other addresses.
    constexpr Duration idleTimeBeforeStop = std::chrono::milliseconds(700);

    std::string readFile(const char* path)
    {
        std::ifstream file(path);
        std::ostringstream content;
        content << file.rdbuf();
        return content.str();
    }

} // namespace

std::optional<int> SettingsWatcher::read(Options& options)
{
    process::Settings settings("sagechute-edge", "takes callers' requests on the users' platform");
    options.declare(settings);
    settings.fileVariable(platform::settingsFileVariable);
    if (const char* path = std::getenv(platform::settingsFileVariable))
        m_content = readFile(path);
    return settings.read(m_argc, m_argv);
}

bool SettingsWatcher::hasChanged()
{
    const char* path = std::getenv(platform::settingsFileVariable);
    return path && readFile(path) != m_content;
}

Housekeeping::Housekeeping(EdgeState& state, Fleet& fleet, Listeners& listeners, ShareMonitor& shareMonitor,
    ColdMonitor& coldMonitor, DepartureMonitor& departureMonitor, CrashMonitor& crashMonitor, TimerQueue& timers,
    SettingsWatcher& settingsWatcher)
    : m_state(state)
    , m_fleet(fleet)
    , m_listeners(listeners)
    , m_shareMonitor(shareMonitor)
    , m_coldMonitor(coldMonitor)
    , m_departureMonitor(departureMonitor)
    , m_crashMonitor(crashMonitor)
    , m_timers(timers)
    , m_settingsWatcher(settingsWatcher)
{
}

void Housekeeping::run(process::StopSignal& stop)
{
    TimePoint nextSettingsCheck = steadyNow() + settingsCheckInterval;
    TimePoint nextOverloadCheck {};
    while (!stop.wait(tickInterval)) {
        const TimePoint now = steadyNow();
        m_departureMonitor.update();
        m_timers.runDue(now);
        m_crashMonitor.tick(now);
        m_fleet.tick(now);
        if (now >= nextOverloadCheck) {
            m_listeners.updateLimits();
            nextOverloadCheck = now + overloadCheckInterval;
        }
        const bool isReloadRequested = stop.takeReload();
        if (!isReloadRequested && now < nextSettingsCheck)
            continue;
        nextSettingsCheck = now + settingsCheckInterval;
        m_shareMonitor.update(now);
        m_coldMonitor.update(now);
        if (isReloadRequested)
            process::log(process::LogLevel::Info, "reload-asked", { { "by", "SIGHUP" } });
        if (m_settingsWatcher.hasChanged())
            reload();
    }
}

void Housekeeping::reload()
{
    Options options;
    if (m_settingsWatcher.read(options)) {
        process::log(process::LogLevel::Error, "settings-refused",
            { { "remedy", "see the message on standard error; the previous settings stay in force" } });
        return;
    }
    // Only the seeds can change at run time; addresses and bounds are fixed until the next start.
    for (const std::string& it : options.gossipSeeds())
        m_fleet.addSeed(it);
    process::log(process::LogLevel::Info, "settings-reloaded",
        { { "seeds", std::to_string(options.seeds.size()) },
            { "note", "other changed settings take effect at the next start" } });
}

void drainAndStop(EdgeState& state, Fleet& fleet, Listeners& listeners, DepartureMonitor& departureMonitor,
    CrashMonitor& crashMonitor, TimerQueue& timers, const Options& options)
{
    const TimePoint begin = steadyNow();
    const StopTimes times = stopTimes(Duration(static_cast<Duration::rep>(options.stopGraceSeconds * 1e6)));
    state.isStopping = true;
    process::log(process::LogLevel::Info, "stopping",
        { { "active", std::to_string(state.activeRequests.load()) },
            { "grace-seconds", std::to_string(options.stopGraceSeconds) } });
    bool isAccepting = true;
    TimePoint idleSince = begin;
    for (;;) {
        const TimePoint now = steadyNow();
        departureMonitor.update();
        timers.runDue(now);
        crashMonitor.tick(now);
        fleet.tick(now);
        // An answer that is complete may still wait for its caller to read.
        if (state.activeRequests > 0 || listeners.openCallerRequests() > 0)
            idleSince = now;
        if (isAccepting && now - begin >= times.stopAccepting) {
            state.isRejectingRequests = true;
            listeners.stopListeningForCallers();
            isAccepting = false;
        }
        const bool isDone = !isAccepting && now - idleSince >= idleTimeBeforeStop;
        if (isDone || now - begin >= times.end)
            break;
        std::this_thread::sleep_for(tickInterval);
    }
    fleet.leave();
}

} // namespace sagechute::edge
