#include <sagechute/News.h>

namespace sagechute::news {

std::optional<Stall> StallDetector::observe(TimePoint now)
{
    const std::optional<TimePoint> last = std::exchange(m_last, now);
    if (!last || now - *last < m_limit)
        return std::nullopt;
    return Stall { *last, now };
}

} // namespace sagechute::news
