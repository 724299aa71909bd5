#pragma once

/// @file
/// Requested and served tokens per customer and second, with a measure of unfairness.

#include <sagechute/Core.h>

#include <map>
#include <string>
#include <vector>

namespace sagechute::dispatch {

/// Tokens by customer and second.
class ShareTally {
public:
    void requested(std::size_t second, const std::string& customer, double tokens);
    void refused(std::size_t second, const std::string& customer);
    void started(std::size_t second, const std::string& customer, double tokens);

    /// Worst unfairness over all windows of six seconds and all customers that have requests refused in each second of
    /// the window: what the customer could have had if it were served like the best-served one, as a multiple of what
    /// it got. A difference of three of the largest requests is tolerated as noise. A ratio of 2 or more violates the
    /// fairness rule of the operators.
    /// @param from second at which the first window begins. @param to second at which the last one ends.
    double worstRatio(std::size_t from, std::size_t to) const;

    /// @return tokens served to the customer in [from, to).
    double servedTokens(const std::string& customer, std::size_t from, std::size_t to) const;

private:
    struct Second {
        double requested = 0;
        double servedTokens = 0;
        bool isRefused = false;
    };

    static constexpr std::size_t windowSeconds = 6; ///< Seconds.

    Second& at(std::size_t second, const std::string& customer);
    double ratio(const std::vector<Second>& self, const std::vector<Second>& best, std::size_t from) const;

    std::map<std::string, std::vector<Second>> m_customers;
    double m_largest = 0;
};

} // namespace sagechute::dispatch
