#include <sagechute/Standin.h>

#include <xxhash.h>

#include <memory>

namespace sagechute::standin {
namespace {

    constexpr std::size_t hashDigits = 16;
    constexpr std::size_t tokenDigits = 8;

    std::string hex(std::uint64_t value)
    {
        static constexpr char digits[] = "0123456789abcdef";
        std::string text(hashDigits, '0');
        for (std::size_t i = hashDigits; i-- > 0; value >>= 4)
            text[i] = digits[value & 0xF];
        return text;
    }

    struct StateDeleter {
        void operator()(XXH64_state_t* state) const { XXH64_freeState(state); }
    };

} // namespace

std::string tokenText(std::string_view prompt, std::uint64_t index)
{
    std::string text = hex(XXH64(prompt.data(), prompt.size(), index));
    text.resize(tokenDigits);
    return text;
}

std::string wholeText(std::string_view prompt, std::uint64_t tokens)
{
    std::string text;
    text.reserve(tokens * (tokenDigits + 1));
    for (std::uint64_t i = 0; i < tokens; ++i) {
        if (i > 0)
            text += ' ';
        text += tokenText(prompt, i);
    }
    return text;
}

std::string echoHash(std::string_view body) { return hex(XXH64(body.data(), body.size(), 0)); }

std::vector<std::string> prefixHashes(std::string_view prompt)
{
    // One pass over the prompt: the digest of the running state equals the hash of all bytes so far.
    std::unique_ptr<XXH64_state_t, StateDeleter> state(XXH64_createState());
    XXH64_reset(state.get(), 0);
    std::vector<std::string> hashes;
    hashes.reserve(prompt.size() / prefixBlockBytes);
    for (std::size_t end = prefixBlockBytes; end <= prompt.size(); end += prefixBlockBytes) {
        XXH64_update(state.get(), prompt.data() + end - prefixBlockBytes, prefixBlockBytes);
        hashes.push_back(hex(XXH64_digest(state.get())));
    }
    return hashes;
}

} // namespace sagechute::standin
