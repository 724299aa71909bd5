#include "ShareTally.h"

#include <algorithm>

namespace sagechute::dispatch {

ShareTally::Second& ShareTally::at(std::size_t second, const std::string& customer)
{
    std::vector<Second>& seconds = m_customers[customer];
    if (seconds.size() <= second)
        seconds.resize(second + 1);
    return seconds[second];
}

void ShareTally::requested(std::size_t second, const std::string& customer, double tokens)
{
    at(second, customer).requested += tokens;
    m_largest = std::max(m_largest, tokens);
}

void ShareTally::refused(std::size_t second, const std::string& customer) { at(second, customer).isRefused = true; }

void ShareTally::started(std::size_t second, const std::string& customer, double tokens)
{
    at(second, customer).servedTokens += tokens;
}

double ShareTally::servedTokens(const std::string& customer, std::size_t from, std::size_t to) const
{
    const auto it = m_customers.find(customer);
    double sum = 0;
    for (std::size_t i = from; it != m_customers.end() && i < std::min(to, it->second.size()); ++i)
        sum += it->second[i].servedTokens;
    return sum;
}

double ShareTally::ratio(const std::vector<Second>& self, const std::vector<Second>& best, std::size_t from) const
{
    double attainable = 0;
    double servedTokens = 0;
    for (std::size_t i = from; i < from + windowSeconds; ++i) {
        if (i >= self.size() || i >= best.size() || !self[i].isRefused)
            return 0;
        attainable += std::min(self[i].requested, best[i].servedTokens);
        servedTokens += self[i].servedTokens;
    }
    constexpr double toleratedRequests = 3;
    return attainable / (servedTokens + toleratedRequests * m_largest);
}

double ShareTally::worstRatio(std::size_t from, std::size_t to) const
{
    double worst = 0;
    for (std::size_t i = from; i + windowSeconds <= to; ++i) {
        const auto best = std::max_element(m_customers.begin(), m_customers.end(), [&](const auto& a, const auto& b) {
            return servedTokens(a.first, i, i + windowSeconds) < servedTokens(b.first, i, i + windowSeconds);
        });
        for (const auto& [customer, seconds] : m_customers)
            worst = std::max(worst, ratio(seconds, best->second, i));
    }
    return worst;
}

} // namespace sagechute::dispatch
