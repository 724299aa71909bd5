#pragma once

/// @file
/// What other routers have sent to engines since they last told of it.

#include <sagechute/Dispatch.h>

namespace sagechute::dispatch {

/// Estimates it by what this router itself sent lately, as callers spread over all routers alike.
///
/// Load pattern: many routers, whose reports are up to half a second old, send long prompts to engines that keep
/// nothing yet. What the others have sent meanwhile is in no prediction; all are too short together, and what is taken
/// by them comes late and makes the rest late. With the estimate routers take together what engines read in the
/// reports' age.
class UnseenLoad {
public:
    void placed(TimePoint now, std::uint32_t tokensToRead);

    /// @param age of what is known of the others.
    /// @return tokens that each of the engines has been sent by the others and nobody has told of.
    std::uint32_t tokensEach(TimePoint now, Duration age, unsigned others, std::size_t engines) const;

private:
    double decayed(TimePoint now) const;

    double m_tokens = 0; ///< Placed lately; older ones count less.
    TimePoint m_placedAt {};
};

} // namespace sagechute::dispatch
