#include <sagechute/Delivery.h>

#include <algorithm>
#include <unordered_map>

namespace sagechute::delivery {
namespace {

    class TokenBuckets final : public RetryBudget {
    public:
        explicit TokenBuckets(const RetrySettings& settings)
            : m_settings(settings)
        {
        }

        void firstAttempt(const CustomerId& customer) override
        {
            m_spentOverAll = std::max(0.0, m_spentOverAll - m_settings.budgetFraction);
            const auto it = m_spent.find(customer);
            if (it == m_spent.end())
                return;
            it->second -= m_settings.budgetFraction;
            if (it->second <= 0)
                m_spent.erase(it);
        }

        std::optional<Duration> takeRetry(const CustomerId& customer, unsigned attempts, Random& random) override
        {
            if (attempts >= m_settings.attemptsMost)
                return std::nullopt;
            const auto it = m_spent.find(customer);
            const double spent = it == m_spent.end() ? 0 : it->second;
            if (!fits(spent, m_settings.burst) || !fits(m_spentOverAll, m_settings.burstOverAll))
                return std::nullopt;
            m_spent[customer] = spent + 1;
            m_spentOverAll += 1;
            return backoff(attempts, random);
        }

    private:
        // Ten first attempts earn one retry; their tenths don't add up to one exactly.
        static bool fits(double spent, double burst) { return spent + 1 <= burst + 1e-9; }

        // Half fixed, half random: the random half spreads requests that failed together, the fixed half keeps any of
        // them from going back at once to what has just failed.
        Duration backoff(unsigned attempts, Random& random) const
        {
            Duration ceiling = std::min(m_settings.backoffLeast, m_settings.backoffMost);
            for (unsigned n = 1; n < attempts && ceiling < m_settings.backoffMost; ++n)
                ceiling = ceiling > m_settings.backoffMost / 2 ? m_settings.backoffMost : ceiling * 2;
            const Duration fixed = ceiling / 2;
            const auto spread = static_cast<std::uint64_t>((ceiling - fixed).count());
            return fixed + Duration(static_cast<Duration::rep>(random.below(spread + 1)));
        }

        const RetrySettings m_settings;
        // What is missing from each full bucket. A full bucket needs no entry, so the table holds only customers with
        // recent retries.
        std::unordered_map<CustomerId, double> m_spent;
        double m_spentOverAll = 0;
    };

} // namespace

std::unique_ptr<RetryBudget> RetryBudget::make(const RetrySettings& settings)
{
    return std::make_unique<TokenBuckets>(settings);
}

} // namespace sagechute::delivery
