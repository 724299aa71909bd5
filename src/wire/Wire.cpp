#include <sagechute/Wire.h>

#include <nlohmann/json.hpp>

#include <cmath>
#include <limits>

namespace sagechute::wire {

using nlohmann::json;

namespace {

    // Costs travel as integers: an eighth of a cost unit is far below the error of any estimate and saves 5 bytes of 9.
    constexpr double costScale = 8;
    constexpr double largestCost = 1e15;

    struct DecodeFailure { };

    json costToJson(Cost cost)
    {
        if (std::isnan(cost))
            cost = 0;
        return static_cast<std::int64_t>(std::llround(std::clamp(cost, -largestCost, largestCost) * costScale));
    }

    /// Reads the parts of a message in order. Any mismatch throws DecodeFailure, which decode() turns into one error: a
    /// decoder must neither crash nor accept a message that has more or fewer parts than its kind.
    class Reader {
    public:
        explicit Reader(const json& array)
            : m_array(array)
        {
            if (!array.is_array())
                throw DecodeFailure {};
        }

        const json& next()
        {
            if (m_index >= m_array.size())
                throw DecodeFailure {};
            return m_array[m_index++];
        }

        template <typename Number> Number number()
        {
            const json& it = next();
            if (!it.is_number_unsigned() || it.get<std::uint64_t>() > std::numeric_limits<Number>::max())
                throw DecodeFailure {};
            return static_cast<Number>(it.get<std::uint64_t>());
        }

        Cost cost()
        {
            const json& it = next();
            if (!it.is_number_integer())
                throw DecodeFailure {};
            return static_cast<double>(it.get<std::int64_t>()) / costScale;
        }

        std::string text()
        {
            const json& it = next();
            if (!it.is_string())
                throw DecodeFailure {};
            return it.get<std::string>();
        }

        std::string bytes()
        {
            const json& it = next();
            if (!it.is_binary())
                throw DecodeFailure {};
            const auto& buf = it.get_binary();
            return { buf.begin(), buf.end() };
        }

        bool boolean() { return number<std::uint8_t>() != 0; }
        std::chrono::milliseconds milliseconds() { return std::chrono::milliseconds(number<std::uint32_t>()); }

        template <typename Item> std::vector<Item> list(Item (*read)(Reader&))
        {
            const json& array = next();
            if (!array.is_array())
                throw DecodeFailure {};
            std::vector<Item> items;
            items.reserve(array.size());
            for (const json& it : array) {
                Reader reader(it);
                items.push_back(read(reader));
                reader.finish();
            }
            return items;
        }

        void finish() const
        {
            if (m_index != m_array.size())
                throw DecodeFailure {};
        }

    private:
        const json& m_array;
        std::size_t m_index = 0;
    };

    json bytesToJson(const std::string& bytes)
    {
        return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
    }

    std::int64_t millisecondsCount(std::chrono::milliseconds value)
    {
        return std::clamp<std::int64_t>(value.count(), 0, std::numeric_limits<std::uint32_t>::max());
    }

    void write(json& out, const OfferMessage& m)
    {
        json avoid = json::array();
        for (const TargetId& it : m.avoid)
            avoid.push_back(it.value);
        out.insert(out.end(), { m.cell, m.serial, m.customer.value, costToJson(m.hint), json(m.prefixes) });
        out.push_back(m.deadlineIn ? json(static_cast<std::uint64_t>(millisecondsCount(*m.deadlineIn)) + 1) : json(0U));
        out.push_back(std::move(avoid));
    }

    void read(Reader& in, OfferMessage& m)
    {
        m.cell = in.number<CellKey>();
        m.serial = in.number<std::uint64_t>();
        m.customer.value = in.text();
        m.hint = in.cost();
        const json& prefixes = in.next();
        if (!prefixes.is_array())
            throw DecodeFailure {};
        Reader prefixReader(prefixes);
        for (std::size_t n = 0; n < prefixes.size(); ++n)
            m.prefixes.push_back(prefixReader.number<std::uint64_t>());
        if (auto deadline = in.number<std::uint64_t>()) {
            if (deadline - 1 > std::numeric_limits<std::uint32_t>::max())
                throw DecodeFailure {};
            m.deadlineIn = std::chrono::milliseconds(deadline - 1);
        }
        const json& avoid = in.next();
        if (!avoid.is_array())
            throw DecodeFailure {};
        Reader avoidReader(avoid);
        for (std::size_t n = 0; n < avoid.size(); ++n)
            m.avoid.push_back(TargetId { avoidReader.text() });
    }

    template <typename SerialMessage> void writeSerial(json& out, const SerialMessage& m)
    {
        out.insert(out.end(), { m.cell, m.serial });
    }

    template <typename SerialMessage> void readSerial(Reader& in, SerialMessage& m)
    {
        m.cell = in.number<CellKey>();
        m.serial = in.number<std::uint64_t>();
    }

    void write(json& out, const WithdrawMessage& m) { writeSerial(out, m); }
    void read(Reader& in, WithdrawMessage& m) { readSerial(in, m); }
    void write(json& out, const DeclineMessage& m) { writeSerial(out, m); }
    void read(Reader& in, DeclineMessage& m) { readSerial(in, m); }
    void write(json& out, const NotOwnerMessage& m) { writeSerial(out, m); }
    void read(Reader& in, NotOwnerMessage& m) { readSerial(in, m); }

    void write(json& out, const GrantMessage& m)
    {
        writeSerial(out, m);
        out.insert(out.end(), { m.target.value, costToJson(m.charged), millisecondsCount(m.expiresIn) });
    }

    void read(Reader& in, GrantMessage& m)
    {
        readSerial(in, m);
        m.target.value = in.text();
        m.charged = in.cost();
        m.expiresIn = in.milliseconds();
    }

    void write(json& out, const SettleMessage& m)
    {
        writeSerial(out, m);
        out.insert(out.end(), { costToJson(m.cost), static_cast<unsigned>(m.health) });
    }

    void read(Reader& in, SettleMessage& m)
    {
        readSerial(in, m);
        m.cost = in.cost();
        const auto health = in.number<std::uint8_t>();
        if (health > static_cast<std::uint8_t>(TargetHealth::Broken))
            throw DecodeFailure {};
        m.health = static_cast<TargetHealth>(health);
    }

    void write(json& out, const ProgressMessage& m)
    {
        json entries = json::array();
        for (const ProgressEntry& it : m.entries)
            entries.push_back(json::array({ it.serial, costToJson(it.soFar) }));
        out.insert(out.end(), { json(m.cell), std::move(entries) });
    }

    void read(Reader& in, ProgressMessage& m)
    {
        m.cell = in.number<CellKey>();
        m.entries = in.list<ProgressEntry>([](Reader& reader) {
            const auto serial = reader.number<std::uint64_t>();
            return ProgressEntry { serial, reader.cost() };
        });
    }

    void write(json& out, const ResyncMessage& m)
    {
        json running = json::array();
        for (const RunningEntry& it : m.running)
            running.push_back(json::array({ it.serial, it.customer.value, it.target.value, costToJson(it.charged) }));
        out.insert(out.end(), { json(m.cell), std::move(running) });
    }

    void read(Reader& in, ResyncMessage& m)
    {
        m.cell = in.number<CellKey>();
        m.running = in.list<RunningEntry>([](Reader& reader) {
            RunningEntry entry;
            entry.serial = reader.number<std::uint64_t>();
            entry.customer.value = reader.text();
            entry.target.value = reader.text();
            entry.charged = reader.cost();
            return entry;
        });
    }

    void write(json& out, const ResyncRequestMessage& m) { out.push_back(m.cell); }
    void read(Reader& in, ResyncRequestMessage& m) { m.cell = in.number<CellKey>(); }

    void write(json& out, const SummaryMessage& m)
    {
        const scheduling::PoolSummary& s = m.summary;
        json customers = json::array();
        for (const scheduling::CustomerServiceEntry& it : s.customers)
            customers.push_back(json::array(
                { it.customer.value, costToJson(it.service), costToJson(it.lift), it.backlogged ? 1U : 0U }));
        json cells = json::array();
        for (const scheduling::CellDigest& it : s.cells)
            cells.push_back(json::array({ it.index, it.freeSlots, it.waiting, costToJson(it.headService) }));
        out.insert(out.end(),
            { json(s.pool.value), json(s.life.vm.value), json(s.life.incarnation), json(s.sequence),
                json(s.full ? 1U : 0U), costToJson(s.virtualTime), std::move(customers), std::move(cells) });
    }

    void read(Reader& in, SummaryMessage& m)
    {
        scheduling::PoolSummary& s = m.summary;
        s.pool.value = in.text();
        s.life.vm.value = in.text();
        s.life.incarnation = in.number<Incarnation>();
        s.sequence = in.number<std::uint64_t>();
        s.full = in.boolean();
        s.virtualTime = in.cost();
        s.customers = in.list<scheduling::CustomerServiceEntry>([](Reader& reader) {
            scheduling::CustomerServiceEntry service;
            service.customer.value = reader.text();
            service.service = reader.cost();
            service.lift = reader.cost();
            service.backlogged = reader.boolean();
            return service;
        });
        s.cells = in.list<scheduling::CellDigest>([](Reader& reader) {
            scheduling::CellDigest digest;
            digest.index = reader.number<std::uint32_t>();
            digest.freeSlots = reader.number<std::uint32_t>();
            digest.waiting = reader.number<std::uint32_t>();
            digest.headService = reader.cost();
            return digest;
        });
    }

    void write(json& out, const LedgerPullMessage& m) { out.push_back(m.pool.value); }
    void read(Reader& in, LedgerPullMessage& m) { m.pool.value = in.text(); }
    void write(json& out, const ConfigPullMessage& m) { out.push_back(m.after); }
    void read(Reader& in, ConfigPullMessage& m) { m.after = in.number<LogOffset>(); }

    void write(json& out, const ConfigRecordsMessage& m)
    {
        json records = json::array();
        for (const config::LogRecord& it : m.records)
            records.push_back(json::array({ json(it.offset), bytesToJson(it.data) }));
        out.push_back(std::move(records));
    }

    void read(Reader& in, ConfigRecordsMessage& m)
    {
        m.records = in.list<config::LogRecord>([](Reader& reader) {
            config::LogRecord record;
            record.offset = reader.number<LogOffset>();
            record.data = reader.bytes();
            return record;
        });
    }

    void write(json& out, const ConfigSnapshotMessage& m) { out.push_back(bytesToJson(m.snapshot)); }
    void read(Reader& in, ConfigSnapshotMessage& m) { m.snapshot = in.bytes(); }

    void write(json& out, const OutcomePartMessage& m)
    {
        out.insert(out.end(), { json(m.part), json(m.parts), bytesToJson(m.bytes) });
    }

    void read(Reader& in, OutcomePartMessage& m)
    {
        m.part = in.number<std::uint32_t>();
        m.parts = in.number<std::uint32_t>();
        m.bytes = in.bytes();
    }

    void write(json&, const OutcomesTakenMessage&) { }
    void read(Reader&, OutcomesTakenMessage&) { }

    void write(json& out, const InheritedMessage& m)
    {
        out.insert(out.end(), { json(m.life.vm.value), json(m.life.incarnation) });
    }

    void read(Reader& in, InheritedMessage& m)
    {
        m.life.vm.value = in.text();
        m.life.incarnation = in.number<Incarnation>();
    }

    template <std::size_t index> Message readAlternative(Reader& in)
    {
        std::variant_alternative_t<index, Message> message;
        read(in, message);
        return message;
    }

    using ReadFunction = Message (*)(Reader&);

    template <std::size_t... indexes> constexpr auto readTable(std::index_sequence<indexes...>)
    {
        return std::array<ReadFunction, sizeof...(indexes)> { &readAlternative<indexes>... };
    }

    constexpr auto readers = readTable(std::make_index_sequence<std::variant_size_v<Message>> {});

} // namespace

CellKey cellKey(const scheduling::CellId& cell)
{
    return static_cast<CellKey>(stableHash(cell.pool.value, cell.index + 1));
}

std::string_view kindName(const Message& message)
{
    static constexpr std::array<std::string_view, std::variant_size_v<Message>> names { "offer", "withdraw", "grant",
        "decline", "not-owner", "settle", "progress", "resync", "summary", "ledger-pull", "config-pull",
        "config-records", "config-snapshot", "outcome-part", "outcomes-taken", "inherited" };
    return names[message.index()];
}

std::string encode(const Message& message)
{
    json out = json::array({ message.index() });
    std::visit([&](const auto& m) { write(out, m); }, message);
    return encodeCbor(out);
}

absl::StatusOr<Message> decode(std::string_view bytes)
{
    absl::StatusOr<json> item = decodeCbor(bytes);
    if (!item.ok())
        return item.status();
    try {
        Reader in(*item);
        const auto kind = in.number<std::uint8_t>();
        if (kind >= readers.size())
            throw DecodeFailure {};
        Message message = readers[kind](in);
        in.finish();
        return message;
    } catch (const DecodeFailure&) {
        return makeError(
            ErrorKind::BadRequest, "a message between routers has an unknown form", "run the same release on all VMs");
    }
}

} // namespace sagechute::wire
