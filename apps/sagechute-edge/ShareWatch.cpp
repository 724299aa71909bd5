#include "ShareWatch.h"

#include <algorithm>
#include <cmath>

namespace sagechute::edge {

namespace {

    using CustomerEntry = std::pair<const CustomerId, dispatch::CustomerUsage>;

    /// Below this part of what is asked for, customers are turned away for want of engines or of routers' cores.
    constexpr double enoughGranted = 0.98;

    double askedBy(const dispatch::CustomerUsage& use) { return use.requested + use.shed; }

    /// @return what the customer was granted, as a part of what it could have had beside the best served one.
    double servedPart(const dispatch::CustomerUsage& use, const dispatch::CustomerUsage& best)
    {
        const double could = std::min(askedBy(use), best.granted);
        return could > 0 ? use.granted / could : 1;
    }

    std::string tokens(double n) { return std::to_string(std::llround(n)); }

    /// @return "CUSTOMER:GRANTED/ASKED", in tokens.
    std::string describe(const CustomerEntry* it)
    {
        if (!it)
            return "none";
        const dispatch::CustomerUsage& use = it->second;
        return it->first.value + ":" + tokens(use.granted) + "/" + tokens(use.requested + use.shed);
    }

} // namespace

void ShareWatch::look(TimePoint now)
{
    const dispatch::FairShareSnapshot view
        = m_state.withDispatcher([&](dispatch::Dispatcher& it) { return it.shares(now); });
    m_metrics.shares(view);
    const CustomerEntry* most = nullptr;
    double granted = 0;
    double requested = 0;
    for (const CustomerEntry& it : view.customers) {
        granted += it.second.granted;
        requested += askedBy(it.second);
        if (!most || it.second.granted > most->second.granted)
            most = &it;
    }
    if (granted >= enoughGranted * requested)
        return;
    const CustomerEntry* least = most;
    for (const CustomerEntry& it : view.customers) {
        if (servedPart(it.second, most->second) < servedPart(least->second, most->second))
            least = &it;
    }
    process::log(process::LogLevel::Info, "customer-shares",
        { { "level", std::isfinite(view.level) ? tokens(view.level) : "none" }, { "capacity", tokens(view.capacity) },
            { "granted", tokens(granted) }, { "asked", tokens(requested) }, { "most", describe(most) },
            { "least", describe(least) },
            { "sums-age-ms",
                view.oldestReportAge ? std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(*view.oldestReportAge).count())
                                     : "none" } });
}

} // namespace sagechute::edge
