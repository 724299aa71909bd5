#pragma once

#include <sagechute/Config.h>

#include <deque>
#include <unordered_map>

namespace sagechute::config {

/// What came of the latest changes, by their ids.
///
/// Without it a change whose append was answered late, and which its writer sent again, would be judged twice: a
/// resource that somebody deleted in between would come back. The memory is bounded by offsets, so that all readers
/// forget at the same place; Change::base keeps a repeat from arriving after that.
class ChangeMemory {
public:
    explicit ChangeMemory(std::size_t records);

    // The index points into the list: a copy's index would point into the original.
    ChangeMemory(const ChangeMemory&) = delete;
    ChangeMemory& operator=(const ChangeMemory&) = delete;
    ChangeMemory(ChangeMemory&&) = default;
    ChangeMemory& operator=(ChangeMemory&&) = default;
    ~ChangeMemory() = default;

    /// @return whether a change of @p base may still be judged at @p offset.
    bool covers(LogOffset base, LogOffset offset) const { return offset - base <= m_records; }

    void remember(const Applied&);

    /// Forgets what is too old at @p offset.
    void advance(LogOffset offset);

    const Applied* find(std::string_view changeId) const;
    const std::deque<Applied>& all() const { return m_order; }

private:
    std::size_t m_records;
    std::deque<Applied> m_order; ///< References into a deque stay valid while only its ends change.
    std::unordered_map<std::string_view, const Applied*> m_byId;
};

} // namespace sagechute::config
