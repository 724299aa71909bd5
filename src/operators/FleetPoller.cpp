#include "operators/FleetPoller.h"

#include <sagechute/LogService.h>

#include <algorithm>
#include <utility>

namespace sagechute::operators {
namespace {

    constexpr std::string_view scheme = "http://";
    constexpr std::size_t mostStatusBytes = 4 << 20;
    constexpr Duration patience = std::chrono::milliseconds(200);
    constexpr Duration unseenTooLong = std::chrono::seconds(6);

    std::string addressOf(std::string_view url)
    {
        if (url.starts_with(scheme))
            url.remove_prefix(scheme.size());
        while (url.ends_with('/'))
            url.remove_suffix(1);
        return std::string(url);
    }

    std::vector<std::string> addressesOf(const std::vector<std::string>& urls)
    {
        std::vector<std::string> addresses;
        std::transform(urls.begin(), urls.end(), std::back_inserter(addresses), addressOf);
        return addresses;
    }

    void addMissing(std::vector<std::string>& addresses, const std::vector<std::string>& more)
    {
        for (const std::string& it : more) {
            if (std::find(addresses.begin(), addresses.end(), it) == addresses.end())
                addresses.push_back(it);
        }
    }

    absl::Status unreached(const std::string& what)
    {
        return makeError(ErrorKind::Internal, what, "look at the router's log, or replace its VM");
    }

    absl::StatusOr<RouterStatus> judge(const net::TransferResult& result, const std::string& body)
    {
        if (!net::isUncut(result.end))
            return unreached(result.detail.empty() ? "no answer in time" : result.detail);
        if (result.httpStatus != 200)
            return unreached("HTTP status " + std::to_string(result.httpStatus));
        if (body.size() > mostStatusBytes)
            return unreached("its status is too large");
        return parseRouterStatus(body);
    }

} // namespace

/// Collects one router's answer.
class FleetPoller::StatusSink final : public net::TransferSink {
public:
    StatusSink(FleetPoller& poller, std::string address)
        : m_poller(poller)
        , m_address(std::move(address))
    {
    }

private:
    void onHeaders(int, const std::vector<net::Field>&) override { }

    bool onBody(std::string_view bytes) override
    {
        if (m_body.size() <= mostStatusBytes)
            m_body += bytes;
        return true;
    }

    void onEnd(const net::TransferResult& result) override { m_poller.arrived({ m_address, judge(result, m_body) }); }

    FleetPoller& m_poller;
    const std::string m_address;
    std::string m_body;
};

FleetPoller::FleetPoller(const ApiOptions& options, net::HttpClient& client, std::function<void()> onPoll)
    : m_seeds(addressesOf(options.routers))
    , m_platformUrl(options.platformUrl)
    , m_fleetSecret(options.fleetSecret)
    , m_timeout(options.pollTimeout)
    , m_fanOut(std::max<std::size_t>(options.pollFanOut, 1))
    , m_client(client)
    , m_onPoll(std::move(onPoll))
    , m_interval(options.pollIdle)
{
}

FleetPoller::~FleetPoller() { stop(); }

void FleetPoller::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
    for (const net::TransferId transfer : m_transfers)
        m_client.cancel(transfer);
    std::unique_lock lock(m_mutex);
    m_arrival.wait(lock, [this] { return m_pending.empty(); });
}

void FleetPoller::start()
{
    m_thread = std::thread([this] { run(); });
}

FleetPicture FleetPoller::picture() const
{
    const std::lock_guard lock(m_mutex);
    return m_picture;
}

Progress FleetPoller::progress(LogOffset offset) const
{
    const std::lock_guard lock(m_mutex);
    return m_picture.progress(offset);
}

void FleetPoller::setInterval(std::chrono::milliseconds interval)
{
    {
        const std::lock_guard lock(m_mutex);
        m_interval = interval;
    }
    m_wake.notify_all();
}

void FleetPoller::run()
{
    while (true) {
        poll();
        m_onPoll();
        std::unique_lock lock(m_mutex);
        m_lastPoll = steadyNow();
        // The interval may shrink meanwhile, hence the due time is worked out anew at each wake-up.
        while (!m_stopping && steadyNow() < m_lastPoll + m_interval)
            m_wake.wait_for(lock, m_lastPoll + m_interval - steadyNow());
        if (m_stopping)
            return;
    }
}

void FleetPoller::poll()
{
    m_transfers.clear();
    for (const std::string& address : chooseAddresses())
        ask(address);
    std::unique_lock lock(m_mutex);
    // A router that does not answer must not hold back what the others say: its answer counts in a later round.
    m_arrival.wait_for(lock, patience, [this] { return m_pending.empty(); });
    m_picture.absorb(steadyNow(), std::exchange(m_arrived, {}));
}

void FleetPoller::ask(const std::string& address)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_pending.insert(address).second)
            return;
    }
    net::ClientRequest request;
    request.url = std::string(scheme) + address + "/v1/status";
    request.totalTimeout = m_timeout;
    request.connectTimeout = m_timeout;
    if (!m_fleetSecret.empty())
        request.headers.push_back({ "X-Sagechute-Fleet-Secret", m_fleetSecret });
    m_transfers.push_back(m_client.start(std::move(request), std::make_unique<StatusSink>(*this, address)));
}

void FleetPoller::arrived(PollResult result)
{
    const std::lock_guard lock(m_mutex);
    m_pending.erase(result.address);
    m_arrived.push_back(std::move(result));
    m_arrival.notify_all();
}

std::vector<std::string> FleetPoller::chooseAddresses()
{
    const FleetPicture known = picture();
    std::vector<std::string> addresses = known.addresses();
    // The settings' routers may all have been replaced since, and the learnt ones may all be cut off: ask both kinds.
    addMissing(addresses, m_seeds);
    const bool isSeen = known.asOf() && steadyNow() - *known.asOf() < unseenTooLong;
    if (!isSeen)
        addMissing(addresses, listedAddresses());
    if (addresses.size() <= m_fanOut)
        return addresses;
    std::rotate(
        addresses.begin(), addresses.begin() + static_cast<std::ptrdiff_t>(m_turn % addresses.size()), addresses.end());
    m_turn += m_fanOut;
    addresses.resize(m_fanOut);
    return addresses;
}

std::vector<std::string> FleetPoller::listedAddresses()
{
    std::vector<std::string> addresses;
    if (m_platformUrl.empty())
        return addresses;
    const auto listed = logservice::listVms(m_client, m_platformUrl, m_timeout);
    if (!listed.ok())
        return addresses;
    for (const logservice::ListedVm& vm : *listed) {
        if (net::parseEndpoint(vm.address).ok())
            addresses.push_back(vm.address);
    }
    return addresses;
}

} // namespace sagechute::operators
