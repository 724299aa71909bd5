#include "operators/ApiRequest.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace sagechute::operators {
namespace {

    using nlohmann::json;

    constexpr std::size_t longestChangeId = 64;
    constexpr std::string_view bodyForm = R"(send {"spec":{...}}, with "expected" and "changeId" if wanted)";

    absl::Status badParameter(std::string_view name, std::string_view what, std::string_view remedy)
    {
        return makeError(
            ErrorKind::BadRequest, "query parameter " + std::string(name) + " " + std::string(what), remedy);
    }

    absl::Status badBody(std::string_view what) { return makeError(ErrorKind::BadRequest, what, bodyForm); }

    /// Ids end up in paths, logs and shells: only characters that need no quoting anywhere.
    absl::Status checkChangeId(std::string_view id)
    {
        constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
        if (!id.empty() && id.size() <= longestChangeId && id.find_first_not_of(allowed) == std::string_view::npos)
            return absl::OkStatus();
        return makeError(ErrorKind::BadRequest,
            "the change id is empty, too long or has characters that are not allowed",
            "use 1 to 64 letters, digits, dots, dashes and underscores");
    }

    absl::Status readId(const json& value, ChangeRequest& request)
    {
        if (!value.is_string())
            return badBody("field /changeId is not a text");
        request.id = value.get<std::string>();
        return checkChangeId(request.id);
    }

    absl::Status readExpected(const json& value, ChangeRequest& request)
    {
        if (!value.is_number_unsigned())
            return badBody("field /expected is not a whole number");
        request.expected = value.get<LogOffset>();
        return absl::OkStatus();
    }

    absl::Status readSpec(const json& value, ChangeRequest& request)
    {
        if (!value.is_object())
            return badBody("field /spec is not an object");
        request.spec = value;
        return absl::OkStatus();
    }

    struct BodyField {
        std::string_view name;
        absl::Status (*read)(const json&, ChangeRequest&);
    };
    constexpr BodyField bodyFields[] = {
        { "changeId", readId },
        { "expected", readExpected },
        { "spec", readSpec },
    };

    absl::Status readBodyField(const std::string& name, const json& value, ChangeRequest& request)
    {
        for (const BodyField& field : bodyFields) {
            if (field.name == name)
                return field.read(value, request);
        }
        return badBody("field /" + name + " is unknown");
    }

} // namespace

absl::StatusOr<Query> Query::make(const std::vector<net::Field>& fields, std::initializer_list<std::string_view> known)
{
    Query query;
    for (const net::Field& field : fields) {
        if (std::find(known.begin(), known.end(), field.name) == known.end())
            return badParameter(field.name, "is unknown here", "leave it out; the API's page lists those there are");
        if (query.has(field.name))
            return badParameter(field.name, "is given twice", "give it once");
        query.m_fields.push_back(field);
    }
    return query;
}

absl::StatusOr<std::uint64_t> Query::count(std::string_view name, std::uint64_t absent, std::uint64_t most) const
{
    const std::optional<std::string_view> text = net::findField(m_fields, name);
    if (!text)
        return absent;
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), number);
    if (ec != std::errc {} || end != text->data() + text->size() || number > most)
        return badParameter(
            name, "is not a whole number in its range", "write a number from 0 to " + std::to_string(most));
    return number;
}

absl::StatusOr<bool> Query::flag(std::string_view name) const
{
    const absl::StatusOr<std::uint64_t> number = count(name, 0, 1);
    if (!number.ok())
        return number.status();
    return *number == 1;
}

absl::Status readChangeBody(std::string_view body, ChangeRequest& request)
{
    const absl::StatusOr<json> document = parseJsonStrictly(body);
    if (!document.ok())
        return document.status();
    if (!document->is_object())
        return badBody("the body is not an object");
    for (const auto& [name, value] : document->items()) {
        if (absl::Status status = readBodyField(name, value, request); !status.ok())
            return status;
    }
    return request.spec ? absl::OkStatus() : badBody("field /spec is missing");
}

absl::Status readChangeQuery(const net::ServerRequest& http, ChangeRequest& request)
{
    const absl::StatusOr<Query> query = Query::make(http.query, { "dryRun", "expected", "changeId" });
    if (!query.ok())
        return query.status();
    const absl::StatusOr<bool> dryRun = query->flag("dryRun");
    if (!dryRun.ok())
        return dryRun.status();
    request.dryRun = *dryRun;
    if (query->has("expected")) {
        const auto expected = query->count("expected", 0, std::numeric_limits<LogOffset>::max());
        if (!expected.ok())
            return expected.status();
        request.expected = *expected;
    }
    if (const auto id = net::findField(http.query, "changeId")) {
        request.id = std::string(*id);
        return checkChangeId(request.id);
    }
    return absl::OkStatus();
}

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> parts;
    while (!path.empty()) {
        path.remove_prefix(path.front() == '/' ? 1 : 0);
        const std::size_t slash = path.find('/');
        parts.emplace_back(path.substr(0, slash));
        path.remove_prefix(slash == std::string_view::npos ? path.size() : slash);
    }
    return parts;
}

} // namespace sagechute::operators
