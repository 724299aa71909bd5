#pragma once

#include <sagechute/Config.h>

#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace sagechute::operators {

/// Lets a burst through and then one line at a time, so that no flood of refusals can fill the log.
class LineBudget {
public:
    /// @param burst lines at once. @param refill time until one more.
    LineBudget(double burst, Duration refill)
        : m_burst(burst)
        , m_refill(refill)
        , m_tokens(burst)
    {
    }

    /// @return whether a line may be written now.
    bool take(TimePoint now);

private:
    const double m_burst;
    const Duration m_refill;
    double m_tokens;
    std::optional<TimePoint> m_last;
};

/// Decides which denied and refused requests become lines of the audit trail. The lines that are left out are counted,
/// and the next one says how many. Unknown callers and known operators have budgets of their own: wrong keys cannot
/// crowd out an operator's refusals.
class DenialLog {
public:
    /// @return the line to write, with the count of those left out before, or nullopt when it has to be left out
    /// itself.
    std::optional<config::AuditEntry> admit(TimePoint now, config::AuditEntry);

    /// @return a line about those left out since the last one, once there is room for it.
    std::optional<config::AuditEntry> summarize(TimePoint now, std::string at);

private:
    struct Book {
        LineBudget budget;
        std::uint64_t leftOut = 0;
    };

    Book& bookOf(const config::AuditEntry&);

    std::mutex m_mutex;
    Book m_strangers { LineBudget(10, std::chrono::seconds(10)) };
    Book m_operators { LineBudget(50, std::chrono::seconds(1)) };
};

/// @return printable ASCII made of @p text, cut to what fits a line.
std::string cleanText(std::string_view text);

} // namespace sagechute::operators
