#pragma once

/// @file
/// Exponentially weighted moving average.

#include <cstdint>

namespace sagechute::scheduling {

/// Exponentially weighted moving average. The first kWindow samples are weighted equally, so that the mean does not
/// depend on an initial value.
class MovingMean {
public:
    void add(double sample)
    {
        if (m_samples < kWindow)
            ++m_samples;
        m_value += (sample - m_value) / m_samples;
    }

    double value() const { return m_value; }
    std::uint32_t samples() const { return m_samples; }

private:
    static constexpr std::uint32_t kWindow = 8;

    double m_value = 0;
    std::uint32_t m_samples = 0;
};

} // namespace sagechute::scheduling
