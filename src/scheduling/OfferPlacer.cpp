#include <sagechute/Scheduling.h>

#include <algorithm>
#include <map>

namespace sagechute::scheduling {

namespace {

    constexpr Duration kDigestLifetime = std::chrono::seconds(3);

    // An offer stays at least this long. Without it all routers would follow each digest to the same cell and back, and
    // requests would spend their time on the way; the sign is a move rate near the digest rate.
    constexpr Duration kShortestStay = std::chrono::milliseconds(50);

    class DigestPlacer final : public OfferPlacer {
    public:
        explicit DigestPlacer(PoolId pool)
            : m_pool(std::move(pool))
        {
        }

        void setCells(std::uint32_t count, const std::vector<std::uint32_t>& ownedHere) override;
        void learn(TimePoint now, const CellDigest&) override;
        CellId place(TimePoint now, const CustomerId&, Cost virtualService) override;
        void left(const CustomerId&, const CellId&) override;
        void moved(const CustomerId&, const CellId& from, const CellId& to) override;
        std::optional<CellId> better(
            TimePoint now, const CellId& offered, TimePoint since, Cost virtualService) override;

    private:
        struct Cell {
            CellDigest digest;
            std::optional<TimePoint> learnedAt;
            bool owned = false;
        };

        using Offers = std::vector<std::uint32_t>; ///< Number waiting, by cell.

        bool isKnown(TimePoint now, std::uint32_t index) const;
        bool hasFreeSlot(TimePoint now, std::uint32_t index) const;
        Cost headService(std::uint32_t index) const;
        std::optional<std::uint32_t> ownFree(TimePoint now) const;
        std::optional<std::uint32_t> otherFree(TimePoint now, std::uint64_t hash) const;
        std::optional<std::uint32_t> furthestAhead(TimePoint now) const;
        std::optional<std::uint32_t> fewestOffers(
            TimePoint now, std::uint64_t hash, Cost virtualService, const Offers&) const;
        std::uint32_t home(TimePoint now, std::uint64_t hash) const;
        std::uint32_t choose(TimePoint now, std::uint64_t hash, Cost virtualService, const Offers&) const;
        Offers& offersOf(const CustomerId&);
        void expect(std::uint32_t index, Cost virtualService);

        PoolId m_pool;
        std::vector<Cell> m_cells;
        std::vector<std::uint32_t> m_owned;
        std::map<CustomerId, Offers> m_offers;
    };

    void DigestPlacer::setCells(std::uint32_t count, const std::vector<std::uint32_t>& ownedHere)
    {
        if (m_cells.size() != count)
            m_offers.clear(); // the same index is another cell now
        m_cells.resize(std::max<std::uint32_t>(1, count));
        m_owned.clear();
        for (auto& it : m_cells)
            it.owned = false;
        for (const std::uint32_t index : ownedHere) {
            if (index >= m_cells.size() || m_cells[index].owned)
                continue;
            m_cells[index].owned = true;
            m_owned.push_back(index);
        }
    }

    void DigestPlacer::learn(TimePoint now, const CellDigest& digest)
    {
        if (digest.index < m_cells.size())
            m_cells[digest.index] = { digest, now, m_cells[digest.index].owned };
    }

    bool DigestPlacer::isKnown(TimePoint now, std::uint32_t index) const
    {
        const auto& learnedAt = m_cells[index].learnedAt;
        return learnedAt && now - *learnedAt < kDigestLifetime;
    }

    bool DigestPlacer::hasFreeSlot(TimePoint now, std::uint32_t index) const
    {
        return isKnown(now, index) && m_cells[index].digest.freeSlots > 0;
    }

    Cost DigestPlacer::headService(std::uint32_t index) const
    {
        // Where nobody waits, the next slot goes to whoever comes.
        const CellDigest& digest = m_cells[index].digest;
        return digest.waiting ? digest.headService : std::numeric_limits<Cost>::infinity();
    }

    std::optional<std::uint32_t> DigestPlacer::ownFree(TimePoint now) const
    {
        std::optional<std::uint32_t> best;
        for (const std::uint32_t it : m_owned) {
            if (hasFreeSlot(now, it) && (!best || m_cells[it].digest.freeSlots > m_cells[*best].digest.freeSlots))
                best = it;
        }
        return best;
    }

    std::optional<std::uint32_t> DigestPlacer::otherFree(TimePoint now, std::uint64_t hash) const
    {
        // From the customer's own starting point, so that not every router fills the same cell first.
        for (std::uint32_t n = 0; n < m_cells.size(); ++n) {
            const std::uint32_t index = (hash + n) % m_cells.size();
            if (hasFreeSlot(now, index))
                return index;
        }
        return std::nullopt;
    }

    std::optional<std::uint32_t> DigestPlacer::furthestAhead(TimePoint now) const
    {
        std::optional<std::uint32_t> best;
        for (std::uint32_t index = 0; index < m_cells.size(); ++index) {
            if (isKnown(now, index) && (!best || headService(index) > headService(*best)))
                best = index;
        }
        return best;
    }

    std::uint32_t DigestPlacer::home(TimePoint now, std::uint64_t hash) const
    {
        if (!m_owned.empty())
            return m_owned[hash % m_owned.size()];
        for (std::uint32_t n = 0; n < m_cells.size(); ++n) {
            const std::uint32_t index = (hash + n) % m_cells.size();
            if (isKnown(now, index))
                return index;
        }
        return hash % m_cells.size();
    }

    std::optional<std::uint32_t> DigestPlacer::fewestOffers(
        TimePoint now, std::uint64_t hash, Cost virtualService, const Offers& offers) const
    {
        // While work waits everywhere, each customer must wait in every cell. With all its offers in one cell it gets
        // that cell's share at most, and its gap to a customer alone in another cell grows without end.
        struct Rank {
            std::uint32_t offers = 0;
            bool behind = false; ///< Another customer would be served first there.
            bool foreign = false;
            auto operator<=>(const Rank&) const = default;
        };
        std::optional<std::uint32_t> best;
        Rank bestRank;
        for (std::uint32_t n = 0; n < m_cells.size(); ++n) {
            const std::uint32_t index = (hash + n) % m_cells.size();
            if (!isKnown(now, index))
                continue;
            const Rank rank { offers[index], virtualService > headService(index), !m_cells[index].owned };
            if (best && bestRank <= rank)
                continue;
            best = index;
            bestRank = rank;
        }
        return best;
    }

    std::uint32_t DigestPlacer::choose(
        TimePoint now, std::uint64_t hash, Cost virtualService, const Offers& offers) const
    {
        if (const auto index = ownFree(now))
            return *index;
        if (const auto index = otherFree(now, hash))
            return *index;
        if (const auto index = fewestOffers(now, hash, virtualService, offers))
            return *index;
        return home(now, hash);
    }

    void DigestPlacer::expect(std::uint32_t index, Cost virtualService)
    {
        // Until the next digest this router reckons with its own offers; else a burst would all follow one free slot.
        CellDigest& digest = m_cells[index].digest;
        if (digest.freeSlots) {
            --digest.freeSlots;
            return;
        }
        digest.headService = std::min(headService(index), virtualService);
        ++digest.waiting;
    }

    DigestPlacer::Offers& DigestPlacer::offersOf(const CustomerId& customer)
    {
        Offers& offers = m_offers[customer];
        offers.resize(m_cells.size());
        return offers;
    }

    CellId DigestPlacer::place(TimePoint now, const CustomerId& customer, Cost virtualService)
    {
        if (m_cells.empty())
            return { m_pool, 0 };
        Offers& offers = offersOf(customer);
        const std::uint32_t index = choose(now, stableHash(customer.value), virtualService, offers);
        expect(index, virtualService);
        ++offers[index];
        return { m_pool, index };
    }

    void DigestPlacer::left(const CustomerId& customer, const CellId& cell)
    {
        const auto it = m_offers.find(customer);
        if (it == m_offers.end() || cell.index >= it->second.size() || !it->second[cell.index])
            return;
        --it->second[cell.index];
        const auto isNone = [](std::uint32_t n) { return !n; };
        if (std::all_of(it->second.begin(), it->second.end(), isNone))
            m_offers.erase(it);
    }

    void DigestPlacer::moved(const CustomerId& customer, const CellId& from, const CellId& to)
    {
        left(customer, from);
        if (to.index < m_cells.size())
            ++offersOf(customer)[to.index];
    }

    std::optional<CellId> DigestPlacer::better(
        TimePoint now, const CellId& offered, TimePoint since, Cost virtualService)
    {
        if (now - since < kShortestStay || offered.index >= m_cells.size())
            return std::nullopt;
        if (hasFreeSlot(now, offered.index))
            return std::nullopt;
        if (const auto free = otherFree(now, offered.index + 1)) {
            expect(*free, virtualService);
            return CellId { m_pool, *free };
        }
        if (!isKnown(now, offered.index) || virtualService <= headService(offered.index))
            return std::nullopt;
        const auto ahead = furthestAhead(now);
        if (!ahead || *ahead == offered.index || virtualService >= headService(*ahead))
            return std::nullopt;
        expect(*ahead, virtualService);
        return CellId { m_pool, *ahead };
    }

} // namespace

std::unique_ptr<OfferPlacer> OfferPlacer::make(PoolId pool) { return std::make_unique<DigestPlacer>(std::move(pool)); }

} // namespace sagechute::scheduling
