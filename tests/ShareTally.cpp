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

void ShareTally::asked(std::size_t second, const std::string& customer, double tokens)
{
    at(second, customer).asked += tokens;
    m_largest = std::max(m_largest, tokens);
}

void ShareTally::refused(std::size_t second, const std::string& customer) { at(second, customer).isRefused = true; }

void ShareTally::began(std::size_t second, const std::string& customer, double tokens)
{
    at(second, customer).got += tokens;
}

double ShareTally::got(const std::string& customer, std::size_t from, std::size_t to) const
{
    const auto it = m_customers.find(customer);
    double sum = 0;
    for (std::size_t i = from; it != m_customers.end() && i < std::min(to, it->second.size()); ++i)
        sum += it->second[i].got;
    return sum;
}

double ShareTally::ratio(const std::vector<Second>& self, const std::vector<Second>& best, std::size_t from) const
{
    double could = 0;
    double got = 0;
    for (std::size_t i = from; i < from + span; ++i) {
        if (i >= self.size() || i >= best.size() || !self[i].isRefused)
            return 0;
        could += std::min(self[i].asked, best[i].got);
        got += self[i].got;
    }
    constexpr double chance = 3;
    return could / (got + chance * m_largest);
}

double ShareTally::worstRatio(std::size_t from, std::size_t to) const
{
    double worst = 0;
    for (std::size_t i = from; i + span <= to; ++i) {
        const auto best = std::max_element(m_customers.begin(), m_customers.end(),
            [&](const auto& a, const auto& b) { return got(a.first, i, i + span) < got(b.first, i, i + span); });
        for (const auto& [customer, seconds] : m_customers)
            worst = std::max(worst, ratio(seconds, best->second, i));
    }
    return worst;
}

} // namespace sagechute::dispatch
