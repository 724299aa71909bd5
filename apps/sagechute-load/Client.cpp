#include "Client.h"

#include <nlohmann/json.hpp>

namespace sagechute::load {

namespace {

    constexpr Duration askAgainAfter = std::chrono::milliseconds(200);
    constexpr std::chrono::milliseconds askTimeout(2000);

} // namespace

absl::StatusOr<Location> parseLocation(std::string_view body)
{
    const auto document = parseJsonStrictly(body);
    if (!document.ok())
        return document.status();
    Location location;
    try {
        for (const auto& it : document->at("addresses"))
            location.addresses.push_back(it.at("address").get<std::string>());
        location.keep = std::chrono::seconds(document->at("keepSeconds").get<std::int64_t>());
        location.session = document->at("session").get<std::string>();
    } catch (const nlohmann::json::exception& error) {
        return makeError(ErrorKind::BadRequest,
            std::string("the answer to /v1/locate has another form: ") + error.what(),
            "compare it with docs/design/protocols.md");
    }
    if (location.addresses.empty())
        return makeError(ErrorKind::BadRequest, "the answer to /v1/locate names no address", "ask another router");
    return location;
}

void CollectingSink::onHeaders(int, const std::vector<net::Field>& fields) { m_response.headers = fields; }

bool CollectingSink::onBody(std::string_view bytes)
{
    m_response.body += bytes;
    return true;
}

void CollectingSink::onEnd(const net::TransferResult& result)
{
    m_response.result = result;
    m_loop.post([done = std::move(m_done), response = std::move(m_response)] { done(response); });
}

Client::Client(EventLoop& loop, net::HttpClient& http, std::string key, std::string zone, std::string service,
    std::vector<std::string> entries, std::vector<std::string> pinnedTo, std::uint64_t seed)
    : m_loop(loop)
    , m_http(http)
    , m_key(std::move(key))
    , m_zone(std::move(zone))
    , m_service(std::move(service))
    , m_entries(pinnedTo.empty() ? std::move(entries) : pinnedTo)
    , m_pinnedTo(std::move(pinnedTo))
    , m_nextEntry(seed % m_entries.size())
{
}

void Client::locate(std::function<void(const Location&)> use)
{
    if (m_located && steadyNow() < m_keptUntil)
        return use(m_location);
    m_waiting.push_back(std::move(use));
    if (!m_asking)
        ask();
}

void Client::ask()
{
    m_asking = true;
    net::ClientRequest request;
    request.url = "http://" + m_entries[m_nextEntry] + "/v1/locate?service=" + m_service
        + (m_zone.empty() ? "" : "&zone=" + m_zone);
    request.headers = { { "Authorization", "Bearer " + m_key } };
    request.totalTimeout = askTimeout;
    m_nextEntry = (m_nextEntry + 1) % m_entries.size();
    m_http.start(std::move(request),
        std::make_unique<CollectingSink>(m_loop, [this](const net::ClientResponse& response) { onAnswer(response); }));
}

void Client::onAnswer(const net::ClientResponse& response)
{
    if (!net::isUncut(response.result.end) || response.result.httpStatus != 200)
        return askAgainLater();
    absl::StatusOr<Location> location = parseLocation(response.body);
    if (!location.ok())
        return askAgainLater();
    // Sequence numbers belong to a session. A number used twice in one session would be answered from memory.
    if (location->session != m_location.session)
        m_nextSequence = 1;
    m_location = *std::move(location);
    if (!m_pinnedTo.empty())
        m_location.addresses = m_pinnedTo;
    m_keptUntil = steadyNow() + m_location.keep;
    m_located = true;
    m_asking = false;
    std::deque<std::function<void(const Location&)>> waiting;
    waiting.swap(m_waiting);
    for (auto& use : waiting)
        use(m_location);
}

void Client::askAgainLater()
{
    m_loop.after(askAgainAfter, [this] { ask(); });
}

} // namespace sagechute::load
