#include "operators/Keys.h"

#include <algorithm>
#include <array>

namespace sagechute::operators {
namespace {

    constexpr std::array<std::string_view, 2> roleNames { "view", "change" };
    constexpr std::string_view bearerPrefix = "Bearer ";
    constexpr std::size_t shortestKey = 8;
    constexpr std::string_view entryForm = "write each as NAME:ROLE:KEY with role view or change, separated by commas";

    absl::Status badEntry(std::size_t place, std::string_view what)
    {
        return makeError(
            ErrorKind::BadRequest, "operator key " + std::to_string(place) + " " + std::string(what), entryForm);
    }

    std::optional<Role> findRole(std::string_view text)
    {
        const auto it = std::find(roleNames.begin(), roleNames.end(), text);
        if (it == roleNames.end())
            return std::nullopt;
        return static_cast<Role>(it - roleNames.begin());
    }

    absl::StatusOr<OperatorKey> parseEntry(std::string_view entry, std::size_t place)
    {
        const std::size_t first = entry.find(':');
        const std::size_t second = first == std::string_view::npos ? first : entry.find(':', first + 1);
        if (second == std::string_view::npos)
            return badEntry(place, "has not three parts");
        const std::optional<Role> role = findRole(entry.substr(first + 1, second - first - 1));
        if (!role)
            return badEntry(place, "has an unknown role");
        if (first == 0)
            return badEntry(place, "has no name");
        if (entry.size() - second - 1 < shortestKey)
            return badEntry(place, "has a key of fewer than 8 characters");
        return OperatorKey { std::string(entry.substr(0, first)), *role, std::string(entry.substr(second + 1)) };
    }

} // namespace

std::string_view toString(Role role) { return roleNames[static_cast<std::size_t>(role)]; }

absl::StatusOr<std::vector<OperatorKey>> parseOperatorKeys(std::string_view text)
{
    std::vector<OperatorKey> keys;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        const absl::StatusOr<OperatorKey> key = parseEntry(text.substr(0, comma), keys.size() + 1);
        if (!key.ok())
            return key.status();
        const auto sameName = [&](const OperatorKey& other) { return other.name == key->name; };
        if (std::any_of(keys.begin(), keys.end(), sameName))
            return badEntry(keys.size() + 1, "repeats a name");
        keys.push_back(*key);
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    }
    if (keys.empty())
        return makeError(ErrorKind::BadRequest, "no operator keys are set", entryForm);
    return keys;
}

bool equalInConstantTime(std::string_view given, std::string_view secret)
{
    // What goes wrong without this: memcmp ends at the first difference, so whoever measures many answers learns a key
    // byte by byte. Every byte of the secret is looked at whatever was given; only the given text's length shows.
    volatile unsigned char difference = given.size() == secret.size() ? 0 : 1;
    for (std::size_t i = 0; i < secret.size(); ++i) {
        const char c = given.empty() ? '\0' : given[i % given.size()];
        difference = static_cast<unsigned char>(difference | static_cast<unsigned char>(c ^ secret[i]));
    }
    return difference == 0;
}

const OperatorKey* authenticate(const std::vector<OperatorKey>& keys, const std::vector<net::Field>& headers)
{
    const std::optional<std::string_view> header = net::findField(headers, "Authorization");
    if (!header || !header->starts_with(bearerPrefix))
        return nullptr;
    const std::string_view given = header->substr(bearerPrefix.size());
    const OperatorKey* found = nullptr;
    // No early end here either: the place of a key in the settings is nobody's business.
    for (const OperatorKey& key : keys) {
        if (equalInConstantTime(given, key.key))
            found = &key;
    }
    return found;
}

} // namespace sagechute::operators
