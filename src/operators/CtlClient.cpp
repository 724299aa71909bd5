#include "operators/CtlClient.h"

#include "operators/ChangeService.h"
#include "operators/Documents.h"

#include <algorithm>
#include <array>

namespace sagechute::operators {
namespace {

    using nlohmann::json;
    using std::chrono::milliseconds;

    constexpr milliseconds firstPause { 250 };
    constexpr milliseconds longestPause { 2000 };
    constexpr milliseconds waitSlice { 10'000 };
    constexpr std::size_t idDigits = 16;

    struct StatusMeaning {
        int status;
        int code;
    };
    constexpr std::array<StatusMeaning, 11> meanings { {
        { 400, exitRefused },
        { 401, exitNoAccess },
        { 403, exitNoAccess },
        { 404, exitNotFound },
        { 409, exitConflict },
        { 410, exitNotFound },
        { 413, exitRefused },
        { 429, exitUnavailable },
        { 502, exitUnavailable },
        { 503, exitUnavailable },
        { 504, exitUnavailable },
    } };

    int exitCodeOf(int status)
    {
        if (status >= 200 && status < 300)
            return exitDone;
        const auto it = std::find_if(
            meanings.begin(), meanings.end(), [&](const StatusMeaning& meaning) { return meaning.status == status; });
        return it == meanings.end() ? exitInternal : it->code;
    }

    std::string textIn(const json& document, const char* name)
    {
        const auto it = document.is_object() ? document.find(name) : document.end();
        return it != document.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

    std::string messageOf(const json& document, int status)
    {
        const std::string message = textIn(document, "message");
        const std::string remedy = textIn(document, "remedy");
        if (message.empty())
            return "the API answered with HTTP status " + std::to_string(status);
        return remedy.empty() ? message : message + "; " + remedy;
    }

    /// Whether asking again under the same id may help: nothing is known yet of the change, or it was not taken for
    /// want of room.
    bool isWorthRepeating(const ApiAnswer& answer)
    {
        return answer.status == 0 || answer.status == 429 || answer.status == 503;
    }

    std::string withId(const CtlResult& result, const std::string& id)
    {
        const bool isCertain = result.document.is_object() && result.document.contains("mayHaveBeenTaken")
            && result.document["mayHaveBeenTaken"] == false;
        if (isCertain)
            return result.message + " (nothing was changed)";
        const bool isSaid = result.message.find("may have been taken") != std::string::npos;
        const std::string doubt = isSaid ? " (" : " (it may have been taken; ";
        return result.message + doubt + "see: sagechutectl change " + id + ")";
    }

} // namespace

std::string resourcePath(std::string_view kind, std::string_view name)
{
    return "/v1/resources/" + net::percentEncoded(kind) + "/" + net::percentEncoded(name);
}

CtlResult judge(const ApiAnswer& answer)
{
    CtlResult result;
    if (answer.status == 0) {
        result.exitCode = exitUnavailable;
        result.message = "no answer from the API: " + answer.detail + "; check --api, or try another API";
        return result;
    }
    absl::StatusOr<json> document = parseJsonStrictly(answer.body);
    if (!document.ok()) {
        const int code = exitCodeOf(answer.status);
        result.exitCode = code == exitDone ? exitInternal : code;
        result.message = "the answer with HTTP status " + std::to_string(answer.status)
            + " is not JSON; check that --api names a sagechute API";
        return result;
    }
    result.document = *std::move(document);
    result.exitCode = exitCodeOf(answer.status);
    if (!result.ok())
        result.message = messageOf(result.document, answer.status);
    return result;
}

CtlResult CtlClient::get(const std::string& target) { return judge(m_port.call("GET", target, "")); }

CtlResult CtlClient::tryOut(const DeclaredResource& resource)
{
    json body = { { "spec", resource.spec } };
    if (resource.expected)
        body["expected"] = *resource.expected;
    return judge(m_port.call("POST", resourcePath(resource.kind, resource.name) + "?dryRun=1", toText(body)));
}

CtlResult CtlClient::put(const DeclaredResource& resource)
{
    json body = { { "spec", resource.spec } };
    if (resource.expected)
        body["expected"] = *resource.expected;
    return change("PUT", resourcePath(resource.kind, resource.name), toText(body));
}

CtlResult CtlClient::remove(const std::string& kind, const std::string& name, std::optional<LogOffset> expected)
{
    std::string target = resourcePath(kind, name);
    if (expected)
        target += "?expected=" + std::to_string(*expected);
    return change("DELETE", target, "");
}

CtlResult CtlClient::change(const std::string& method, const std::string& target, const std::string& body)
{
    const std::string id = "ctl-" + randomHex(idDigits);
    const std::string numbered = target + (target.find('?') == std::string::npos ? "?" : "&") + "changeId=" + id;
    const TimePoint until = m_port.now() + m_timeout;
    milliseconds pause = firstPause;
    while (true) {
        const ApiAnswer answer = m_port.call(method, numbered, body);
        CtlResult result = judge(answer);
        if (!isWorthRepeating(answer))
            return result;
        if (m_port.now() + pause >= until) {
            result.message = withId(result, id);
            return result;
        }
        m_port.pause(pause);
        pause = std::min(pause * 2, longestPause);
    }
}

CtlResult CtlClient::awaitInForce(LogOffset offset)
{
    const TimePoint until = m_port.now() + m_timeout;
    while (true) {
        const TimePoint now = m_port.now();
        const auto left = std::chrono::duration_cast<milliseconds>(std::max(until - now, Duration::zero()));
        const std::string waitMs = std::to_string(std::min(left, waitSlice).count());
        CtlResult result = get("/v1/progress/" + std::to_string(offset) + "?waitMs=" + waitMs);
        const bool isDone = result.ok() && result.document.at("progress").value("everywhere", false);
        if (isDone || result.exitCode == exitNoAccess)
            return result;
        if (m_port.now() >= until) {
            if (result.ok())
                result.exitCode = exitNotYetInForce;
            return result;
        }
        if (!result.ok())
            m_port.pause(firstPause);
    }
}

} // namespace sagechute::operators
