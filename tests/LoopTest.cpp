// The event loop that callers', targets' and routers' connections share: src/net/Loop.h.

#include "net/Loop.h"

#include <catch2/catch.hpp>

#include <sys/epoll.h>
#include <sys/eventfd.h>

using namespace sagechute;
using namespace sagechute::net;
using namespace std::chrono_literals;

namespace {

/// Calls a function when its descriptor is readable.
class Reader final : public Loop::Handler {
public:
    explicit Reader(std::function<void()> onReadable)
        : m_fd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
        , m_onReadable(std::move(onReadable))
    {
    }

    int fd() const { return m_fd.value(); }
    void makeReadable() { eventfd_write(m_fd.value(), 1); }

private:
    void onReady(std::uint32_t) override
    {
        eventfd_t n = 0;
        eventfd_read(m_fd.value(), &n);
        m_onReadable();
    }

    void onDeferred() override { }

    FileDescriptor m_fd;
    std::function<void()> m_onReadable;
};

} // namespace

// Symptom: a router of an eighth of a core that is flooded keeps a list of targets from six seconds ago; each of its
// calls to the store and to other routers ends with "no connection was made in time".
// Sequence: one round of the loop takes longer than the 200 ms that a connection may take; it is made meanwhile. Cause:
// at the end of the round the loop looked at the clock, and ended the call before it had asked for what had arrived.
TEST_CASE("what arrived before a timeout was due is handled before it, however long a round of the loop takes")
{
    auto loop = Loop::make();
    REQUIRE(loop.ok());
    std::vector<std::string> order;
    std::atomic<bool> isDone { false };
    Reader answer([&] { order.emplace_back("answer"); });
    Reader busy([&] {
        (*loop)->callAt(steadyNow() + 60ms, [&] {
            order.emplace_back("timeout");
            isDone = true;
        });
        std::this_thread::sleep_for(20ms);
        answer.makeReadable();
        std::this_thread::sleep_for(100ms);
    });
    (*loop)->postAndWait([&] {
        (*loop)->watch(busy.fd(), EPOLLIN, busy);
        (*loop)->watch(answer.fd(), EPOLLIN, answer);
    });
    busy.makeReadable();
    while (!isDone)
        std::this_thread::sleep_for(5ms);
    (*loop)->postAndWait([&] {
        (*loop)->unwatch(busy.fd());
        (*loop)->unwatch(answer.fd());
    });
    CHECK(order == std::vector<std::string> { "answer", "timeout" });
}
