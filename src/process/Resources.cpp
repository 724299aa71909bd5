#include <sagechute/Process.h>

#include <malloc.h>
#include <sys/resource.h>

namespace sagechute::process {

namespace {

    /// Blocks from this size on are mapped by themselves and go back to the system when they are freed. Set explicitly:
    /// otherwise the allocator raises its threshold with each large block that is freed, and keeps such blocks.
    constexpr int mappedBlockBytes = 128 << 10;
    constexpr int trimmedBytes = 1 << 20;

    /// Each arena keeps freed memory of its own.
    constexpr int maxArenas = 4;

} // namespace

void limitFreedMemory()
{
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, trimmedBytes);
    mallopt(M_ARENA_MAX, maxArenas);
}

std::size_t maxDescriptors()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

} // namespace sagechute::process
