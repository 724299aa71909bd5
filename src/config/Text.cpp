#include "config/Text.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace sagechute::config {
namespace {

    constexpr std::size_t longestName = 63;
    constexpr std::size_t longestChangeId = 64;

    bool isLowerOrDigit(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); }

    bool isPort(std::string_view text)
    {
        std::uint16_t port = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
        return ec == std::errc() && end == text.data() + text.size() && port > 0 && text.front() != '0';
    }

} // namespace

std::string clip(std::string_view text, std::size_t most)
{
    if (text.size() <= most)
        return std::string(text);
    while (most > 0 && (static_cast<unsigned char>(text[most]) & 0xC0U) == 0x80U)
        --most;
    return std::string(text.substr(0, most));
}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > longestName)
        return false;
    if (!isLowerOrDigit(text.front()) || !isLowerOrDigit(text.back()))
        return false;
    return std::all_of(text.begin(), text.end(), [](char c) { return isLowerOrDigit(c) || c == '-' || c == '.'; });
}

bool isChangeId(std::string_view text)
{
    const auto isAllowed
        = [](char c) { return isLowerOrDigit(c) || (c >= 'A' && c <= 'Z') || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= longestChangeId && std::all_of(text.begin(), text.end(), isAllowed);
}

bool isHex(std::string_view text, std::size_t least, std::size_t most)
{
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() >= least && text.size() <= most && std::all_of(text.begin(), text.end(), isDigit);
}

bool isEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size() || !isPort(std::string_view(text).substr(colon + 1)))
        return false;
    const std::string address = text.substr(0, colon);
    in6_addr buf {};
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        return inet_pton(AF_INET6, address.substr(1, address.size() - 2).c_str(), &buf) == 1;
    return inet_pton(AF_INET, address.c_str(), &buf) == 1;
}

std::string shortNumber(double value)
{
    char buf[32];
    const auto [end, ec] = std::to_chars(std::begin(buf), std::end(buf), value);
    return ec == std::errc() ? std::string(buf, end) : std::string("?");
}

} // namespace sagechute::config
