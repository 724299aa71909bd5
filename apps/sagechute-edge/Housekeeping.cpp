#include "Housekeeping.h"

#include <Platform.h>

#include <fstream>
#include <sstream>
#include <thread>

namespace sagechute::edge {

namespace {

    /// Gossip wants a call each 50 ms, and time limits are kept to within it.
    constexpr Duration tickInterval = std::chrono::milliseconds(25);

    /// How often the settings file is compared, which may change without a signal, and shares are looked at.
    constexpr Duration settingsInterval = std::chrono::seconds(1);

    /// Some steps within the second over which a router learns what its work costs.
    constexpr Duration crowdInterval = std::chrono::milliseconds(100);

    /// No request for so long: callers have taken up other addresses.
    constexpr Duration quietTime = std::chrono::milliseconds(700);

    std::string readFile(const char* path)
    {
        std::ifstream file(path);
        std::ostringstream content;
        content << file.rdbuf();
        return content.str();
    }

} // namespace

std::optional<int> SettingsWatch::read(Options& options)
{
    process::Settings settings("sagechute-edge", "takes callers' requests on the users' platform");
    options.declare(settings);
    settings.fileVariable(platform::settingsFileVariable);
    if (const char* path = std::getenv(platform::settingsFileVariable))
        m_content = readFile(path);
    return settings.read(m_argc, m_argv);
}

bool SettingsWatch::hasChanged()
{
    const char* path = std::getenv(platform::settingsFileVariable);
    return path && readFile(path) != m_content;
}

Housekeeping::Housekeeping(EdgeState& state, Fleet& fleet, Listeners& listeners, ShareWatch& shareWatch,
    CrashWatch& crashWatch, DueTimers& timers, SettingsWatch& watch)
    : m_state(state)
    , m_fleet(fleet)
    , m_listeners(listeners)
    , m_shareWatch(shareWatch)
    , m_crashWatch(crashWatch)
    , m_timers(timers)
    , m_watch(watch)
{
}

void Housekeeping::run(process::StopSignal& stop)
{
    TimePoint nextCheck = steadyNow() + settingsInterval;
    TimePoint nextLook {};
    while (!stop.wait(tickInterval)) {
        const TimePoint now = steadyNow();
        m_timers.run(now);
        m_crashWatch.tick(now);
        m_fleet.tick(now);
        if (now >= nextLook) {
            m_listeners.followLimits();
            nextLook = now + crowdInterval;
        }
        const bool isAsked = stop.takeReload();
        if (!isAsked && now < nextCheck)
            continue;
        nextCheck = now + settingsInterval;
        m_shareWatch.look(now);
        if (isAsked)
            process::log(process::LogLevel::Info, "reload-asked", { { "by", "SIGHUP" } });
        if (m_watch.hasChanged())
            reload();
    }
}

void Housekeeping::reload()
{
    Options options;
    if (m_watch.read(options)) {
        process::log(process::LogLevel::Error, "settings-refused",
            { { "remedy", "see the message on stderr; the former settings stay in force" } });
        return;
    }
    // Addresses and bounds are those of this life; what may change while it runs is where others are found.
    for (const std::string& it : options.gossipSeeds())
        m_fleet.addSeed(it);
    process::log(process::LogLevel::Info, "settings-reloaded",
        { { "seeds", std::to_string(options.seeds.size()) }, { "note", "other settings are read at the next start" } });
}

void planStop(EdgeState& state, Fleet& fleet, Listeners& listeners, CrashWatch& crashWatch, DueTimers& timers,
    const Options& options)
{
    const TimePoint begin = steadyNow();
    const StopTimes times = stopTimes(Duration(static_cast<Duration::rep>(options.stopGraceSeconds * 1e6)));
    state.isStopping = true;
    process::log(process::LogLevel::Info, "stopping",
        { { "active", std::to_string(state.activeRequests.load()) },
            { "grace-seconds", std::to_string(options.stopGraceSeconds) } });
    bool isTaking = true;
    TimePoint quietSince = begin;
    for (;;) {
        const TimePoint now = steadyNow();
        timers.run(now);
        crashWatch.tick(now);
        fleet.tick(now);
        if (state.activeRequests > 0)
            quietSince = now;
        if (isTaking && now - begin >= times.stopAccepting) {
            state.isRefusing = true;
            listeners.stopTakingCallers();
            isTaking = false;
        }
        const bool isDone = !isTaking && now - quietSince >= quietTime;
        if (isDone || now - begin >= times.end)
            break;
        std::this_thread::sleep_for(tickInterval);
    }
    fleet.leave();
}

} // namespace sagechute::edge
