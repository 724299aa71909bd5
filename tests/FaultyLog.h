#pragma once

#include <sagechute/Config.h>

#include <catch2/catch.hpp>

#include <deque>
#include <fstream>
#include <map>
#include <sstream>

namespace sagechute::config {

/// The platform's log in memory, with its faults.
class FaultyLog final : public LogPort {
public:
    enum class Fault {
        LostReply, ///< Taken, but the reply is lost.
        TakenLate, ///< The reply is lost, and the record is taken later, at deliverLate().
        Refused, ///< Not taken, and the answer does not say so for certain.
        NotSent, ///< Not taken, for certain.
    };

    std::deque<Fault> faults; ///< For the next appends.
    bool isOut = false;
    std::size_t most = 1000;
    std::function<void(const std::string& stream, const LogRecord&)> onTaken
        = [](const std::string&, const LogRecord&) {};

    LogOffset put(std::string_view stream, std::string_view data)
    {
        Stream& it = m_streams[std::string(stream)];
        it.records.push_back({ it.next++, std::string(data) });
        onTaken(std::string(stream), it.records.back());
        return it.records.back().offset;
    }

    void deliverLate()
    {
        for (const Late& late : std::exchange(m_late, {}))
            put(late.stream, late.data);
    }

    void keepFrom(std::string_view stream, LogOffset first)
    {
        Stream& it = m_streams[std::string(stream)];
        while (!it.records.empty() && it.records.front().offset < first)
            it.records.pop_front();
    }

    LogOffset first(std::string_view stream) { return m_streams[std::string(stream)].first(); }
    LogOffset end(std::string_view stream) { return m_streams[std::string(stream)].next - 1; }
    const std::deque<LogRecord>& kept(std::string_view stream) { return m_streams[std::string(stream)].records; }

private:
    struct Stream {
        LogOffset next = 1;
        std::deque<LogRecord> records;

        LogOffset first() const { return records.empty() ? next : records.front().offset; }
    };

    struct Late {
        std::string stream;
        std::string data;
    };

    absl::StatusOr<LogOffset> onAppend(std::string_view stream, std::string_view data) override
    {
        if (isOut)
            return logUnavailable("outage", true);
        if (faults.empty())
            return put(stream, data);
        const Fault fault = faults.front();
        faults.pop_front();
        if (fault == Fault::LostReply)
            put(stream, data);
        if (fault == Fault::TakenLate)
            m_late.push_back({ std::string(stream), std::string(data) });
        return logUnavailable("no reply", fault != Fault::NotSent);
    }

    absl::StatusOr<LogBatch> onRead(std::string_view stream, LogOffset from, std::chrono::milliseconds) override
    {
        if (isOut)
            return logUnavailable("outage", true);
        const Stream& it = m_streams[std::string(stream)];
        LogBatch batch { it.first(), it.next, {} };
        if (from < batch.first)
            return batch;
        for (const LogRecord& record : it.records) {
            if (record.offset >= from && batch.records.size() < most)
                batch.records.push_back(record);
        }
        return batch;
    }

    std::map<std::string, Stream> m_streams;
    std::vector<Late> m_late;
};

/// A member of the fleet that reads and writes the configuration.
struct Member {
    Member(LogPort& log, const ReplicaLimits& limits)
        : replica(ConfigReplica::make(limits))
        , follower(LogFollower::make(log, *replica))
        , writer(ChangeWriter::make(log, *replica, [this] { return follower->readToEnd(); }))
    {
    }

    std::unique_ptr<ConfigReplica> replica;
    std::unique_ptr<LogFollower> follower;
    std::unique_ptr<ChangeWriter> writer;
};

inline const std::string testSalt = "00112233445566778899aabbccddeeff";

/// @return a change that puts a customer.
inline Change putCustomer(std::string id, const std::string& name, double weight, LogOffset expected)
{
    Change change;
    change.id = std::move(id);
    change.kind = Kind::Customer;
    change.name = name;
    change.expected = expected;
    change.operatorName = "kaito";
    change.from = "10.0.0.1";
    change.at = "2026-12-02T08:00:00Z";
    const nlohmann::json spec = { { "weight", weight }, { "key", "a-random-key-of-" + name } };
    change.spec = canonicalSpec(Kind::Customer, name, spec, testSalt).value();
    return change;
}

inline Change deleteCustomer(std::string id, const std::string& name, LogOffset expected)
{
    Change change = putCustomer(std::move(id), name, 1, expected);
    change.spec.reset();
    return change;
}

/// Compares a session's transcript with its golden file. With SAGECHUTE_UPDATE_GOLDEN set in the environment the file
/// is written anew.
inline void checkGolden(const std::string& name, const std::string& transcript)
{
    const std::string path = std::string(SAGECHUTE_GOLDEN_DIR) + "/" + name + ".golden";
    if (std::getenv("SAGECHUTE_UPDATE_GOLDEN"))
        std::ofstream(path) << transcript;
    std::ifstream file(path);
    std::stringstream buf;
    buf << file.rdbuf();
    INFO("golden file " << path);
    REQUIRE(transcript == buf.str());
}

} // namespace sagechute::config
