#pragma once

/// @file
/// What customers asked for and got, second by second, and how unequal that is.

#include <sagechute/Core.h>

#include <map>
#include <string>
#include <vector>

namespace sagechute::dispatch {

/// Tokens by customer and second.
class ShareTally {
public:
    void asked(std::size_t second, const std::string& customer, double tokens);
    void refused(std::size_t second, const std::string& customer);
    void began(std::size_t second, const std::string& customer, double tokens);

    /// The largest, over all spans of six seconds and all customers that are turned away in each second of one, of what
    /// the customer could have had by the measure of the one that got most, as a multiple of what it got. Three of the
    /// largest requests are left to chance. Two or more breaks the operators' rule.
    /// @param from second from which spans begin. @param to second at which the last one ends.
    double worstRatio(std::size_t from, std::size_t to) const;

    /// @return what the customer got in [from, to).
    double got(const std::string& customer, std::size_t from, std::size_t to) const;

private:
    struct Second {
        double asked = 0;
        double got = 0;
        bool isRefused = false;
    };

    static constexpr std::size_t span = 6; ///< Seconds.

    Second& at(std::size_t second, const std::string& customer);
    double ratio(const std::vector<Second>& self, const std::vector<Second>& best, std::size_t from) const;

    std::map<std::string, std::vector<Second>> m_customers;
    double m_largest = 0;
};

} // namespace sagechute::dispatch
