#include "ShareMonitor.h"

#include "AgeText.h"

#include <algorithm>
#include <cmath>

namespace sagechute::edge {

namespace {

    using CustomerEntry = std::pair<const CustomerId, dispatch::CustomerUsage>;

    /// If less than this part of the demand is granted, customers are refused for lack of engines or router CPU.
    constexpr double minGrantedRatio = 0.98;

    double demandOf(const dispatch::CustomerUsage& use) { return use.requested + use.shed; }

    /// @return the customer's grant as a ratio of its demand, which is capped at the grant of the best served customer.
    double servedRatio(const dispatch::CustomerUsage& use, const dispatch::CustomerUsage& best)
    {
        const double attainable = std::min(demandOf(use), best.granted);
        return attainable > 0 ? use.granted / attainable : 1;
    }

    /// @return "CUSTOMER:GRANTED/ASKED", in tokens.
    std::string describeUse(const CustomerEntry* it)
    {
        if (!it)
            return "none";
        const dispatch::CustomerUsage& use = it->second;
        return it->first.value + ":" + formatTokens(use.granted) + "/" + formatTokens(use.requested + use.shed);
    }

} // namespace

void ShareMonitor::update(TimePoint now)
{
    const dispatch::FairShareSnapshot view
        = m_state.withDispatcher([&](dispatch::Dispatcher& it) { return it.shares(now); });
    m_metrics.recordShares(view);
    const CustomerEntry* most = nullptr;
    double granted = 0;
    double requested = 0;
    for (const CustomerEntry& it : view.customers) {
        granted += it.second.granted;
        requested += demandOf(it.second);
        if (!most || it.second.granted > most->second.granted)
            most = &it;
    }
    if (granted >= minGrantedRatio * requested)
        return;
    const CustomerEntry* least = most;
    for (const CustomerEntry& it : view.customers) {
        if (servedRatio(it.second, most->second) < servedRatio(least->second, most->second))
            least = &it;
    }
    process::log(process::LogLevel::Info, "customer-shares",
        { { "level", std::isfinite(view.level) ? formatTokens(view.level) : "none" },
            { "capacity", formatTokens(view.capacity) }, { "granted", formatTokens(granted) },
            { "asked", formatTokens(requested) }, { "most", describeUse(most) }, { "least", describeUse(least) },
            { "sums-age-ms",
                view.oldestReportAge ? std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(*view.oldestReportAge).count())
                                     : "none" } });
}

} // namespace sagechute::edge
