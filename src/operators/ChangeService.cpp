#include "operators/ChangeService.h"

#include "operators/Documents.h"

#include <array>
#include <ctime>
#include <random>

namespace sagechute::operators {
namespace {

    using nlohmann::json;

    constexpr std::size_t saltDigits = 32;
    constexpr std::size_t changeIdDigits = 16;
    constexpr std::string_view retrySeconds = "2";

    std::string resourceText(const ChangeRequest& request)
    {
        return std::string(config::toString(request.kind)) + "/" + request.name;
    }

    absl::Status notThere(const ChangeRequest& request)
    {
        return makeError(
            ErrorKind::NotFound, resourceText(request) + " does not exist", "list the kind to see which there are");
    }

    /// The answer that carries an error of a change: it always names the change, so that its end can be asked for.
    net::ServerResponse changeError(const ChangeRequest& request, const absl::Status& error)
    {
        json document = errorDocument(error);
        document["changeId"] = request.id;
        const bool isOutage = errorKind(error) == ErrorKind::LogUnavailable;
        document["mayHaveBeenTaken"] = isOutage && config::mayHaveBeenTaken(error);
        net::ServerResponse response = net::jsonResponse(httpStatus(errorKind(error)), document);
        if (isOutage)
            response.headers.push_back({ "Retry-After", std::string(retrySeconds) });
        return response;
    }

    absl::Status conflict(const config::Applied& applied)
    {
        return makeError(ErrorKind::Conflict, applied.reason.empty() ? "another change came first" : applied.reason,
            "get the resource, look at what changed, and apply again");
    }

    absl::Status reusedId(const ChangeRequest& request, const config::Applied& earlier)
    {
        return makeError(ErrorKind::Conflict,
            "the change id " + request.id + " belongs to a change of " + std::string(config::toString(earlier.kind))
                + "/" + earlier.name,
            "use a new id for each change");
    }

} // namespace

std::string timeText()
{
    const std::time_t now = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
    std::tm parts {};
    gmtime_r(&now, &parts);
    std::array<char, 32> buf {};
    const std::size_t n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return { buf.data(), n };
}

std::string randomHex(std::size_t digits)
{
    std::random_device source;
    std::string text;
    while (text.size() < digits)
        text += "0123456789abcdef"[source() % 16];
    return text;
}

ChangeService::ChangeService(config::LogPort& log, SharedReplica& replica, config::LogFollower& follower,
    const FleetPoller& poller, RefusalListener onRefusal)
    : m_replica(replica)
    , m_follower(follower)
    , m_poller(poller)
    , m_onRefusal(std::move(onRefusal))
    , m_writer(config::ChangeWriter::make(log, replica, [&follower] { return follower.readToEnd(); }))
{
}

net::ServerResponse ChangeService::run(ChangeRequest request)
{
    if (request.id.empty())
        request.id = "c-" + randomHex(changeIdDigits);
    const absl::StatusOr<net::ServerResponse> response = tryRun(request);
    if (response.ok())
        return *response;
    if (errorKind(response.status()) == ErrorKind::BadRequest && !request.dryRun)
        m_onRefusal(request, response.status());
    return changeError(request, response.status());
}

absl::StatusOr<net::ServerResponse> ChangeService::tryRun(ChangeRequest& request)
{
    if (const auto earlier = m_replica.outcomeOf(request.id))
        return repeat(request, *earlier);
    // A stale copy would make a change from a version that is gone, or call unchanged what somebody has changed since.
    if (!request.dryRun) {
        if (absl::Status status = readAll(); !status.ok())
            return status;
    }
    return request.spec ? put(request) : remove(request);
}

absl::StatusOr<net::ServerResponse> ChangeService::repeat(
    const ChangeRequest& request, const config::Applied& earlier) const
{
    if (earlier.kind != request.kind || earlier.name != request.name)
        return reusedId(request, earlier);
    return answer(earlier, true);
}

config::Change ChangeService::makeChange(
    const ChangeRequest& request, const std::optional<config::Resource>& current) const
{
    config::Change change;
    change.id = request.id;
    change.kind = request.kind;
    change.name = request.name;
    change.expected = request.expected.value_or(current ? current->version : 0);
    change.spec = request.spec;
    change.operatorName = request.operatorName;
    change.from = request.from;
    change.at = timeText();
    return change;
}

absl::Status ChangeService::readAll()
{
    absl::Status status = m_follower.readToEnd();
    if (status.ok())
        return status;
    return config::logUnavailable(
        "the change was not sent, since the log cannot be read: " + std::string(status.message()), false);
}

absl::StatusOr<net::ServerResponse> ChangeService::put(ChangeRequest& request)
{
    const std::optional<config::Resource> current = m_replica.find(request.kind, request.name);
    // The salt in use, if any: the same key then gives the same digest, and applying a document twice changes nothing.
    const std::string salt = current ? saltOf(current->spec) : std::string();
    const auto canonical
        = config::canonicalSpec(request.kind, request.name, *request.spec, salt.empty() ? randomHex(saltDigits) : salt);
    if (!canonical.ok())
        return canonical.status();
    request.spec = *canonical;
    const config::Change change = makeChange(request, current);
    if (request.dryRun)
        return tryOut(change, current);
    const bool isSame = current && keepKey(*canonical, current->spec) == current->spec;
    if (isSame && change.expected == current->version)
        return unchanged(*current);
    return submit(change);
}

net::ServerResponse ChangeService::unchanged(const config::Resource& resource) const
{
    return net::jsonResponse(200,
        { { "changed", false }, { "resource", resourceDocument(resource) },
            { "progress", progressDocument(m_poller.progress(resource.version)) } });
}

absl::StatusOr<net::ServerResponse> ChangeService::remove(const ChangeRequest& request)
{
    const std::optional<config::Resource> current = m_replica.find(request.kind, request.name);
    if (!current)
        return notThere(request);
    const config::Change change = makeChange(request, current);
    return request.dryRun ? tryOut(change, current) : submit(change);
}

absl::StatusOr<net::ServerResponse> ChangeService::tryOut(
    const config::Change& change, const std::optional<config::Resource>& current)
{
    if (absl::Status status = m_replica.tryOut(change); !status.ok())
        return status;
    const json before = current ? current->spec : json::object();
    const json after = change.spec ? keepKey(*change.spec, before) : json::object();
    const bool isSame = current && change.spec && before == after;
    json document = {
        { "dryRun", true },
        { "wouldChange", !isSame },
        { "exists", current.has_value() },
        { "differences", differencesDocument(compareSpecs(before, after)) },
        { "offset", m_replica.offset() },
    };
    return net::jsonResponse(200, document);
}

absl::StatusOr<net::ServerResponse> ChangeService::submit(const config::Change& change)
{
    const absl::StatusOr<config::Applied> applied = m_writer->submit(change);
    if (!applied.ok())
        return applied.status();
    if (applied->verdict == config::Verdict::Conflict)
        return conflict(*applied);
    if (applied->verdict != config::Verdict::Accepted)
        return makeError(ErrorKind::BadRequest, applied->reason, "correct the resource and apply again");
    return answer(*applied, false);
}

net::ServerResponse ChangeService::answer(const config::Applied& applied, bool repeated) const
{
    json document = { { "changed", applied.verdict == config::Verdict::Accepted }, { "repeated", repeated } };
    document["change"] = appliedDocument(applied);
    document["progress"] = progressDocument(m_poller.progress(applied.offset));
    if (applied.verdict == config::Verdict::Conflict)
        document.update(errorDocument(conflict(applied)));
    if (const auto resource = m_replica.find(applied.kind, applied.name))
        document["resource"] = resourceDocument(*resource);
    return net::jsonResponse(applied.verdict == config::Verdict::Accepted ? 200 : 409, document);
}

absl::StatusOr<config::Applied> ChangeService::lookUp(const std::string& changeId)
{
    const absl::Status fresh = m_follower.readToEnd();
    if (const auto applied = m_replica.outcomeOf(changeId))
        return *applied;
    if (!fresh.ok())
        return fresh;
    return makeError(ErrorKind::NotFound,
        "no change " + changeId + " is known up to offset " + std::to_string(m_replica.offset()),
        "send it again with the same change id; it cannot take effect twice");
}

} // namespace sagechute::operators
