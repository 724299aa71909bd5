#include <sagechute/Standin.h>

#include <algorithm>

namespace sagechute::standin {

OrderDesk::OrderDesk(bool checkFencing, TargetState initial)
    : m_checkFencing(checkFencing)
    , m_state(std::move(initial))
{
}

absl::StatusOr<std::optional<WeightLoad>> OrderDesk::accept(const Order& order)
{
    const bool load = order.order == "load" || order.order == "version";
    if (!load && order.order != "role")
        return makeError(
            ErrorKind::BadRequest, "\"" + order.order + "\" is not an order", "send load, version or role");
    if (m_checkFencing && order.fencing < m_state.fencing)
        return makeError(ErrorKind::Conflict, "the order is older than one that was carried out",
            "take up leadership again before giving orders");
    m_state.fencing = order.fencing;
    if (!order.role.empty())
        m_state.role = order.role;
    if (!load)
        return std::nullopt;
    m_state.loading = true;
    const std::string& model = order.model.empty() ? m_state.model : order.model;
    const std::string& version = order.version.empty() ? m_state.version : order.version;
    return WeightLoad { ++m_lastLoad, model, version };
}

void OrderDesk::finishLoad(const WeightLoad& load)
{
    if (load.number != m_lastLoad)
        return;
    m_state.model = load.model;
    m_state.version = load.version;
    m_state.loading = false;
}

LogOffset LogStream::append(std::string data, std::uint64_t retention)
{
    m_records.push_back(std::move(data));
    const LogOffset offset = next() - 1;
    while (m_records.size() > retention) {
        m_records.pop_front();
        ++m_first;
    }
    return offset;
}

absl::StatusOr<std::vector<std::string_view>> LogStream::read(
    LogOffset from, std::size_t most, std::size_t mostBytes) const
{
    if (from < m_first)
        return makeError(ErrorKind::RetentionExceeded, "records from offset " + std::to_string(from) + " are gone",
            "start from a snapshot, then read from offset " + std::to_string(m_first));
    std::vector<std::string_view> records;
    std::size_t bytes = 0;
    for (LogOffset offset = from; offset < next() && records.size() < most; ++offset) {
        const std::string& record = m_records[offset - m_first];
        bytes += record.size();
        if (bytes > mostBytes && !records.empty())
            break;
        records.emplace_back(record);
    }
    return records;
}

WeightStore::WeightStore(double loadsPerMinute, double burst, TimePoint now)
    : m_perMinute(loadsPerMinute)
    , m_burst(burst)
    , m_loads(burst)
    , m_filledAt(now)
{
}

Duration WeightStore::ask(TimePoint now)
{
    using Minutes = std::chrono::duration<double, std::ratio<60>>;
    m_loads = std::min(m_burst, m_loads + m_perMinute * Minutes(now - m_filledAt).count());
    m_filledAt = now;
    if (m_loads >= 1) {
        m_loads -= 1;
        return Duration::zero();
    }
    return std::chrono::ceil<Duration>(Minutes((1 - m_loads) / m_perMinute));
}

} // namespace sagechute::standin
