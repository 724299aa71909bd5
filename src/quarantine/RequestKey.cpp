#include <sagechute/Quarantine.h>

#include <openssl/evp.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <memory>

namespace sagechute::quarantine {

namespace {

    using Digest = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

    /// Hashes the length first, so that moving bytes from one part to the next changes the digest.
    void add(EVP_MD_CTX* digest, std::string_view part)
    {
        const std::uint64_t size = part.size();
        EVP_DigestUpdate(digest, &size, sizeof(size));
        EVP_DigestUpdate(digest, part.data(), part.size());
    }

} // namespace

RequestKey requestKeyOf(const RequestContent& content)
{
    const Digest digest(EVP_MD_CTX_new(), EVP_MD_CTX_free);
    EVP_DigestInit_ex(digest.get(), EVP_sha256(), nullptr);
    for (const std::string_view it :
        { std::string_view(content.customer.value), content.method, content.host, content.target, content.body })
        add(digest.get(), it);
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes {};
    EVP_DigestFinal_ex(digest.get(), bytes.data(), nullptr);
    RequestKey key = 0;
    std::memcpy(&key, bytes.data(), sizeof(key));
    return key;
}

std::string toHex(RequestKey key)
{
    std::array<char, 17> buf {};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(key));
    return buf.data();
}

std::optional<RequestKey> requestKeyFromHex(std::string_view text)
{
    constexpr int hexadecimal = 16;
    RequestKey key = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), key, hexadecimal);
    return ec == std::errc {} && end == text.data() + text.size() ? std::optional(key) : std::nullopt;
}

} // namespace sagechute::quarantine
