#include <sagechute/Process.h>

#include <prometheus/text_serializer.h>

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace sagechute::process {
namespace {

    Duration toDuration(const timeval& time)
    {
        return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
    }

} // namespace

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
{
}

std::string Metrics::exposition() const { return prometheus::TextSerializer().Serialize(m_registry->Collect()); }

Usage usage()
{
    Usage usage;
    std::uint64_t virtualPages = 0;
    std::uint64_t residentPages = 0;
    std::ifstream statm("/proc/self/statm");
    if (statm >> virtualPages >> residentPages)
        usage.residentBytes = residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    // /proc/self/stat counts in hundredths of a second; the same counters come finer from getrusage.
    rusage self {};
    if (getrusage(RUSAGE_SELF, &self) == 0)
        usage.processorTime = toDuration(self.ru_utime) + toDuration(self.ru_stime);
    return usage;
}

} // namespace sagechute::process
