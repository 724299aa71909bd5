#pragma once

#include <sagechute/Core.h>

#include <array>
#include <list>

namespace sagechute::net {

class ServerConnection;

/// What a connection does, by which it yields to others when there is no room for all.
enum class Standing {
    Lingering, ///< All is said; the caller is waited for to close.
    Silent, ///< It has sent nothing since it was opened, or since a request of it was denied.
    InHead,
    InBody,
    InDroppedBody, ///< The body that is read is not kept.
    Kept, ///< Its last request was served, and it may be used again.
    Stuck, ///< Its caller takes nothing of an answer.
    Busy, ///< A request is served.
};

/// The connections of one server on one loop, each by its standing and how long it has had that.
class YieldOrder {
public:
    using Line = std::list<ServerConnection*>;

    /// Where a connection is in the order. Kept by the connection.
    struct Place {
        Standing standing = Standing::Silent;
        TimePoint since {};
        Line::iterator it;
    };

    void add(Place&, ServerConnection&, TimePoint now);

    /// Has no effect if the connection has that standing already.
    void move(Place&, Standing, TimePoint now);

    /// As move(), and the time with that standing begins anew.
    void renew(Place&, Standing, TimePoint now);
    void remove(Place&);

    /// @return the connection to close for a new one: the one without a whole request for longest; then the one unused
    ///         for longest; then one whose caller has taken nothing for some seconds. Null: all are in use.
    ServerConnection* firstToLeave(TimePoint now) const;

    /// @return the connection whose request has been incomplete for longest; null: there is none.
    ServerConnection* firstInRequest(TimePoint now) const;

    /// @return the connection whose body has been incomplete for longest and for some seconds; null: there is none.
    ServerConnection* firstWithSlowBody(TimePoint now) const;

    /// @return the connection whose caller has taken nothing of its answer for longest; null: there is none.
    ServerConnection* firstStuck(TimePoint now) const;

private:
    static constexpr std::size_t standings = static_cast<std::size_t>(Standing::Busy) + 1;

    Line& line(Standing standing) { return m_lines[static_cast<std::size_t>(standing)]; }
    ServerConnection* first(Standing) const;
    ServerConnection* oldestOf(std::initializer_list<Standing>) const;

    std::array<Line, standings> m_lines; ///< Each by time.
};

} // namespace sagechute::net
