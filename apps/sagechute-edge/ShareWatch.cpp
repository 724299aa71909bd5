#include "ShareWatch.h"

#include <cmath>

namespace sagechute::edge {

namespace {

    using CustomerEntry = std::pair<const CustomerId, dispatch::CustomerUse>;

    bool isMostlyRefused(const dispatch::CustomerUse& use) { return use.asked + use.turnedAway > 2 * use.granted; }

    std::string tokens(double n) { return std::to_string(std::llround(n)); }

    /// @return "CUSTOMER:GRANTED/ASKED", in tokens.
    std::string describe(const CustomerEntry* it)
    {
        if (!it)
            return "none";
        const dispatch::CustomerUse& use = it->second;
        return it->first.value + ":" + tokens(use.granted) + "/" + tokens(use.asked + use.turnedAway);
    }

} // namespace

void ShareWatch::look(TimePoint now)
{
    const dispatch::SharesView view = m_state.withDispatcher([&](dispatch::Dispatcher& it) { return it.shares(now); });
    m_metrics.shares(view);
    if (!std::isfinite(view.level) || view.level <= 0)
        return;
    const CustomerEntry* most = nullptr;
    const CustomerEntry* least = nullptr;
    double granted = 0;
    double asked = 0;
    for (const CustomerEntry& it : view.customers) {
        granted += it.second.granted;
        asked += it.second.asked + it.second.turnedAway;
        if (!most || it.second.granted > most->second.granted)
            most = &it;
        if (isMostlyRefused(it.second) && (!least || it.second.granted < least->second.granted))
            least = &it;
    }
    process::log(process::LogLevel::Info, "customer-shares",
        { { "level", tokens(view.level) }, { "capacity", tokens(view.capacity) }, { "granted", tokens(granted) },
            { "asked", tokens(asked) }, { "most", describe(most) }, { "least-of-refused", describe(least) },
            { "sums-age-ms",
                view.sumsAge
                    ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*view.sumsAge).count())
                    : "none" } });
}

} // namespace sagechute::edge
