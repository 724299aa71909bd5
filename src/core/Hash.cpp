#include <sagechute/Core.h>

#include <xxhash.h>

namespace sagechute {

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed) { return XXH64(bytes.data(), bytes.size(), seed); }

std::uint64_t SeededRandom::onNext()
{
    m_state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31);
}

} // namespace sagechute
