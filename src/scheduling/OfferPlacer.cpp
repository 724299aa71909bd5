#include <sagechute/Scheduling.h>

#include <algorithm>
#include <map>

namespace sagechute::scheduling {

namespace {

    constexpr Duration kDigestLifetime = std::chrono::seconds(3);

    // Minimum time between two moves of an offer. Without it all routers would move their offers to the same cell after
    // each digest and back after the next, and requests would spend their time in transit. The symptom is a rate of
    // moves close to the rate of digests.
    constexpr Duration kMinDwellTime = std::chrono::milliseconds(50);

    class DigestPlacer final : public OfferPlacer {
    public:
        explicit DigestPlacer(PoolId pool)
            : m_pool(std::move(pool))
        {
        }

        void setCells(std::uint32_t count, const std::vector<std::uint32_t>& ownedHere) override;
        void updateDigest(TimePoint now, const CellDigest&) override;
        CellId place(TimePoint now, const CustomerId&, Cost virtualService) override;
        void offerRemoved(const CustomerId&, const CellId&) override;
        void offerMoved(const CustomerId&, const CellId& from, const CellId& to) override;
        std::optional<CellId> findBetterCell(
            TimePoint now, const CellId& offered, TimePoint since, Cost virtualService) override;

    private:
        struct Cell {
            CellDigest digest;
            std::optional<TimePoint> updatedAt;
            bool owned = false;
        };

        using Offers = std::vector<std::uint32_t>; ///< Number of waiting offers, by cell.

        bool hasFreshDigest(TimePoint now, std::uint32_t index) const;
        bool hasFreeSlot(TimePoint now, std::uint32_t index) const;
        Cost headService(std::uint32_t index) const;
        std::optional<std::uint32_t> ownedFreeCell(TimePoint now) const;
        std::optional<std::uint32_t> anyFreeCell(TimePoint now, std::uint64_t hash) const;
        std::optional<std::uint32_t> highestHeadService(TimePoint now) const;
        std::optional<std::uint32_t> fewestOffers(
            TimePoint now, std::uint64_t hash, Cost virtualService, const Offers&) const;
        std::uint32_t fallbackCell(TimePoint now, std::uint64_t hash) const;
        std::uint32_t choose(TimePoint now, std::uint64_t hash, Cost virtualService, const Offers&) const;
        Offers& offersOf(const CustomerId&);
        void accountForOffer(std::uint32_t index, Cost virtualService);

        PoolId m_pool;
        std::vector<Cell> m_cells;
        std::vector<std::uint32_t> m_owned;
        std::map<CustomerId, Offers> m_offers;
    };

    void DigestPlacer::setCells(std::uint32_t count, const std::vector<std::uint32_t>& ownedHere)
    {
        if (m_cells.size() != count)
            m_offers.clear(); // the indices refer to different cells now
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

    void DigestPlacer::updateDigest(TimePoint now, const CellDigest& digest)
    {
        if (digest.index < m_cells.size())
            m_cells[digest.index] = { digest, now, m_cells[digest.index].owned };
    }

    bool DigestPlacer::hasFreshDigest(TimePoint now, std::uint32_t index) const
    {
        const auto& updatedAt = m_cells[index].updatedAt;
        return updatedAt && now - *updatedAt < kDigestLifetime;
    }

    bool DigestPlacer::hasFreeSlot(TimePoint now, std::uint32_t index) const
    {
        return hasFreshDigest(now, index) && m_cells[index].digest.freeSlots > 0;
    }

    Cost DigestPlacer::headService(std::uint32_t index) const
    {
        // With an empty queue, the next free slot goes to any new offer.
        const CellDigest& digest = m_cells[index].digest;
        return digest.waiting ? digest.headService : std::numeric_limits<Cost>::infinity();
    }

    std::optional<std::uint32_t> DigestPlacer::ownedFreeCell(TimePoint now) const
    {
        std::optional<std::uint32_t> best;
        for (const std::uint32_t it : m_owned) {
            if (hasFreeSlot(now, it) && (!best || m_cells[it].digest.freeSlots > m_cells[*best].digest.freeSlots))
                best = it;
        }
        return best;
    }

    std::optional<std::uint32_t> DigestPlacer::anyFreeCell(TimePoint now, std::uint64_t hash) const
    {
        // Starts at a position derived from the customer, so that routers do not all fill the same cell first.
        for (std::uint32_t n = 0; n < m_cells.size(); ++n) {
            const std::uint32_t index = (hash + n) % m_cells.size();
            if (hasFreeSlot(now, index))
                return index;
        }
        return std::nullopt;
    }

    std::optional<std::uint32_t> DigestPlacer::highestHeadService(TimePoint now) const
    {
        std::optional<std::uint32_t> best;
        for (std::uint32_t index = 0; index < m_cells.size(); ++index) {
            if (hasFreshDigest(now, index) && (!best || headService(index) > headService(*best)))
                best = index;
        }
        return best;
    }

    std::uint32_t DigestPlacer::fallbackCell(TimePoint now, std::uint64_t hash) const
    {
        if (!m_owned.empty())
            return m_owned[hash % m_owned.size()];
        for (std::uint32_t n = 0; n < m_cells.size(); ++n) {
            const std::uint32_t index = (hash + n) % m_cells.size();
            if (hasFreshDigest(now, index))
                return index;
        }
        return hash % m_cells.size();
    }

    std::optional<std::uint32_t> DigestPlacer::fewestOffers(
        TimePoint now, std::uint64_t hash, Cost virtualService, const Offers& offers) const
    {
        // While requests wait in all cells, each customer must wait in every cell. A customer with all its offers in
        // one cell gets a share of that cell at most, and its gap to a customer alone in another cell grows without
        // bound.
        struct Rank {
            std::uint32_t offers = 0;
            bool isBehind = false; ///< Another customer would be served first in that cell.
            bool isRemote = false;
            auto operator<=>(const Rank&) const = default;
        };
        std::optional<std::uint32_t> best;
        Rank bestRank;
        for (std::uint32_t n = 0; n < m_cells.size(); ++n) {
            const std::uint32_t index = (hash + n) % m_cells.size();
            if (!hasFreshDigest(now, index))
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
        if (const auto index = ownedFreeCell(now))
            return *index;
        if (const auto index = anyFreeCell(now, hash))
            return *index;
        if (const auto index = fewestOffers(now, hash, virtualService, offers))
            return *index;
        return fallbackCell(now, hash);
    }

    void DigestPlacer::accountForOffer(std::uint32_t index, Cost virtualService)
    {
        // Accounts for this router's own offers until the next digest; otherwise a whole burst would go to one free
        // slot.
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
        accountForOffer(index, virtualService);
        ++offers[index];
        return { m_pool, index };
    }

    void DigestPlacer::offerRemoved(const CustomerId& customer, const CellId& cell)
    {
        const auto it = m_offers.find(customer);
        if (it == m_offers.end() || cell.index >= it->second.size() || !it->second[cell.index])
            return;
        --it->second[cell.index];
        const auto isZero = [](std::uint32_t n) { return !n; };
        if (std::all_of(it->second.begin(), it->second.end(), isZero))
            m_offers.erase(it);
    }

    void DigestPlacer::offerMoved(const CustomerId& customer, const CellId& from, const CellId& to)
    {
        offerRemoved(customer, from);
        if (to.index < m_cells.size())
            ++offersOf(customer)[to.index];
    }

    std::optional<CellId> DigestPlacer::findBetterCell(
        TimePoint now, const CellId& offered, TimePoint since, Cost virtualService)
    {
        if (now - since < kMinDwellTime || offered.index >= m_cells.size())
            return std::nullopt;
        if (hasFreeSlot(now, offered.index))
            return std::nullopt;
        if (const auto free = anyFreeCell(now, offered.index + 1)) {
            accountForOffer(*free, virtualService);
            return CellId { m_pool, *free };
        }
        if (!hasFreshDigest(now, offered.index) || virtualService <= headService(offered.index))
            return std::nullopt;
        const auto destination = highestHeadService(now);
        if (!destination || *destination == offered.index || virtualService >= headService(*destination))
            return std::nullopt;
        accountForOffer(*destination, virtualService);
        return CellId { m_pool, *destination };
    }

} // namespace

std::unique_ptr<OfferPlacer> OfferPlacer::make(PoolId pool) { return std::make_unique<DigestPlacer>(std::move(pool)); }

} // namespace sagechute::scheduling
