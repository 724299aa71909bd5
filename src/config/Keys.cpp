#include <sagechute/Config.h>

#include "config/Keys.h"
#include "config/Text.h"

#include <absl/strings/escaping.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <algorithm>

namespace sagechute::config {
namespace {

    constexpr std::size_t keyIdDigits = 12;

    std::string toHex(const unsigned char* bytes, std::size_t size)
    {
        return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char*>(bytes), size));
    }

} // namespace

// One round of HMAC and no slow key derivation: the keys are random texts, not passwords, so there is no list of likely
// ones to try; and the digest is computed for every request, where a slow one would let a flood of wrong keys take the
// router's processors.
KeyDigest digestKey(std::string_view key, std::string_view salt)
{
    unsigned char buf[SHA256_DIGEST_LENGTH];
    unsigned size = 0;
    HMAC(EVP_sha256(), salt.data(), static_cast<int>(salt.size()), reinterpret_cast<const unsigned char*>(key.data()),
        key.size(), buf, &size);
    return { std::string(salt), toHex(buf, size) };
}

bool keyMatches(std::string_view key, const KeyDigest& expected)
{
    const KeyDigest actual = digestKey(key, expected.salt);
    // An ordinary comparison ends at the first difference; its duration would tell a guesser how much of a digest was
    // right.
    return actual.digest.size() == expected.digest.size()
        && CRYPTO_memcmp(actual.digest.data(), expected.digest.data(), actual.digest.size()) == 0;
}

std::string keyIdOf(std::string_view key)
{
    unsigned char buf[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), buf);
    return toHex(buf, keyIdDigits / 2);
}

bool isPlainKey(std::string_view text)
{
    return text.size() >= shortestKey && text.size() <= longestKey
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

bool isKeyId(std::string_view text) { return isHex(text, keyIdDigits, keyIdDigits); }

bool isSalt(std::string_view text) { return isHex(text, shortestSalt, longestSalt); }

bool isDigest(std::string_view text) { return isHex(text, 2 * SHA256_DIGEST_LENGTH, 2 * SHA256_DIGEST_LENGTH); }

} // namespace sagechute::config
