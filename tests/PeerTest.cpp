#include "peer/MessageFramer.h"
#include "peer/Socket.h"

#include <sagechute/Peer.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace sagechute;
using namespace sagechute::peer;
using namespace std::chrono_literals;

namespace {

constexpr auto kPatience = 20s;

RouterLife lifeOf(const std::string& vm, Incarnation incarnation = 1) { return { VmId { vm }, incarnation }; }

/// Keeps what a router is told, one line each.
class Recorder final : public StreamListener {
public:
    bool waitFor(const std::string& line, std::ptrdiff_t times = 1)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, kPatience, [&] { return count(line) >= times; });
    }

    bool has(const std::string& line)
    {
        const std::lock_guard lock(m_mutex);
        return count(line) > 0;
    }

    std::vector<std::string> messages()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> found;
        std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(found),
            [](const std::string& line) { return line.find(": ") != std::string::npos; });
        return found;
    }

private:
    std::ptrdiff_t count(const std::string& line) const { return std::count(m_lines.begin(), m_lines.end(), line); }

    void add(const std::string& line)
    {
        const std::lock_guard lock(m_mutex);
        m_lines.push_back(line);
        m_changed.notify_all();
    }

    static std::string name(const RouterLife& life) { return life.vm.value + "." + std::to_string(life.incarnation); }
    void onMessage(const RouterLife& from, std::string_view text) override
    {
        add(name(from) + ": " + std::string(text));
    }
    void onUp(const RouterLife& peer) override { add("up " + name(peer)); }
    void onDown(const RouterLife& peer) override { add("down " + name(peer)); }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_lines;
};

/// One router's transport with what it was told.
struct Router {
    explicit Router(const RouterLife& life, const std::function<void(StreamOptions&)>& adjust = {})
    {
        StreamOptions options;
        options.listenAddress = "127.0.0.1:0";
        options.self = life;
        options.fleetSecret = "secret";
        options.pingInterval = 100ms;
        options.pingTimeout = 300ms;
        if (adjust)
            adjust(options);
        streams = *MessageStreams::make(options, recorder);
    }

    void send(const std::string& vm, const std::string& address, const std::string& message)
    {
        streams->send(VmId { vm }, address, message);
    }

    Recorder recorder;
    std::unique_ptr<MessageStreams> streams;
};

/// Stands between two routers. freeze() makes every connection so far go silent for good, as when a middlebox has lost
/// track of them: no byte passes and nobody is told. New connections work.
class Middlebox {
public:
    explicit Middlebox(std::string target)
        : m_target(std::move(target))
        , m_listener(*listenTcp("127.0.0.1:0"))
        , m_thread([this] { run(); })
    {
    }

    ~Middlebox()
    {
        m_stopping = true;
        m_thread.join();
    }

    std::string address() const { return SocketAddress::local(m_listener.value()).text(); }
    int accepted() const { return m_accepted; }
    void freeze() { m_frozenBelow = m_accepted.load(); }
    void passNothing() { m_frozenBelow = 1 << 20; }

private:
    struct Link {
        UniqueFd near;
        UniqueFd far;
        int number;
    };

    void run()
    {
        while (!m_stopping) {
            ::usleep(1000);
            const int fd = ::accept(m_listener.value(), nullptr, nullptr);
            if (fd >= 0)
                m_links.push_back({ UniqueFd(fd), *connectTcp(m_target), m_accepted++ });
            for (Link& it : m_links) {
                if (it.number < m_frozenBelow)
                    continue;
                pass(it.near.value(), it.far.value());
                pass(it.far.value(), it.near.value());
            }
        }
    }

    static void pass(int from, int to)
    {
        char buf[4096];
        const ssize_t n = ::recv(from, buf, sizeof buf, MSG_DONTWAIT);
        if (n > 0)
            ::send(to, buf, static_cast<std::size_t>(n), MSG_NOSIGNAL);
        if (n == 0)
            ::shutdown(to, SHUT_WR);
    }

    std::string m_target;
    UniqueFd m_listener;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_accepted = 0;
    std::atomic<int> m_frozenBelow = 0;
    std::vector<Link> m_links;
    std::thread m_thread;
};

template <typename Condition> bool eventually(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(2ms);
    }
    return true;
}

} // namespace

TEST_CASE("a framed message survives any cut of the byte stream")
{
    REQUIRE(rc::check("round trip", [](const std::vector<std::string>& messages) {
        std::string bytes;
        for (const std::string& it : messages)
            appendFrame(bytes, it);
        MessageFramer framer;
        std::vector<std::string> got;
        const auto sink = [&got](std::string_view message) {
            got.emplace_back(message);
            return true;
        };
        for (std::size_t at = 0; at < bytes.size();) {
            const auto n = *rc::gen::inRange<std::size_t>(1, 40);
            RC_ASSERT(framer.feed(std::string_view(bytes).substr(at, n), sink));
            at += n;
        }
        RC_ASSERT(got == messages);
    }));
}

TEST_CASE("a length beyond the limit ends the stream of messages")
{
    // Symptom: a router's memory grows without bound. Sequence: a faulty peer announces a message of 256 MB, or a
    // length that never ends. Cause: a length taken at its word.
    const auto ignore = [](std::string_view) { return true; };
    CHECK_FALSE(MessageFramer().feed("\xff\xff\xff\x7f", ignore));
    CHECK_FALSE(MessageFramer().feed("\x80\x80\x80\x80\x80\x80", ignore));
}

TEST_CASE("messages pass in order both ways over one stream, and each side knows the other's life")
{
    Router a(lifeOf("a", 7));
    Router b(lifeOf("b", 9));
    a.send("b", b.streams->listenAddress(), "hello");
    REQUIRE(b.recorder.waitFor("a.7: hello"));
    CHECK(b.recorder.has("up a.7"));
    CHECK(a.recorder.has("up b.9"));
    b.send("a", "127.0.0.1:1", "answer on the same stream");
    REQUIRE(a.recorder.waitFor("b.9: answer on the same stream"));

    const std::string large(3 << 20, 'x');
    b.send("a", "127.0.0.1:1", large);
    b.send("a", "127.0.0.1:1", "last");
    REQUIRE(a.recorder.waitFor("b.9: last"));
    CHECK(a.recorder.messages()[1].size() == large.size() + 5);
    CHECK(b.streams->bytes().sent > large.size());
    CHECK(a.streams->bytes().received > large.size());
}

TEST_CASE("crossing connection attempts lose nothing and keep the order")
{
    // Symptom: a grant overtakes the offer list it belongs to, or is lost. Sequence: two routers without a stream send
    // to each other at the same moment, both connections come up, and each side changes to another one. Cause: two ways
    // at once.
    constexpr int kMessages = 300;
    for (int round = 0; round < 10; ++round) {
        Router a(lifeOf("a"));
        Router b(lifeOf("b"));
        for (int i = 0; i < kMessages; ++i) {
            a.send("b", b.streams->listenAddress(), std::to_string(i));
            b.send("a", a.streams->listenAddress(), std::to_string(i));
            if (i % 50 == 0)
                std::this_thread::sleep_for(1ms);
        }
        for (auto [router, from] : { std::make_pair(&a, "b.1: "), std::make_pair(&b, "a.1: ") }) {
            REQUIRE(router->recorder.waitFor(from + std::to_string(kMessages - 1)));
            const auto messages = router->recorder.messages();
            REQUIRE(messages.size() == kMessages);
            for (int i = 0; i < kMessages; ++i)
                REQUIRE(messages[static_cast<std::size_t>(i)] == from + std::to_string(i));
        }
        CHECK_FALSE(a.recorder.has("down b.1"));
        CHECK_FALSE(b.recorder.has("down a.1"));
    }
}

TEST_CASE("a connection that went silent is found and replaced, and both sides are told")
{
    // Symptom: offers to one owner vanish for minutes though the owner is well. Sequence: a middlebox forgets the
    // connection; writes still succeed locally and no reset ever comes. Cause: TCP alone never says that a peer is
    // silent.
    Router a(lifeOf("a"));
    Router b(lifeOf("b"));
    Middlebox box(b.streams->listenAddress());
    a.send("b", box.address(), "one");
    REQUIRE(b.recorder.waitFor("a.1: one"));
    box.freeze();
    a.send("b", box.address(), "lost");
    REQUIRE(a.recorder.waitFor("down b.1"));
    a.send("b", box.address(), "two");
    REQUIRE(a.recorder.waitFor("up b.1", 2));
    REQUIRE(b.recorder.waitFor("a.1: two"));
    CHECK_FALSE(b.recorder.has("a.1: lost"));

    // The acceptor's side of the silent connection is told, too: it sends nothing, but the peer's new connection makes
    // it ask.
    REQUIRE(b.recorder.waitFor("down a.1"));
    REQUIRE(b.recorder.waitFor("up a.1", 2));
    b.send("a", "127.0.0.1:1", "back");
    REQUIRE(a.recorder.waitFor("b.1: back"));
}

TEST_CASE("a peer that accepts and never answers is tried anew")
{
    // Symptom: a router waits for ever for a stream. Sequence: the other side's kernel accepts, its process is stopped.
    // Cause: a connection attempt without a deadline.
    Router b(lifeOf("b"));
    Middlebox box(b.streams->listenAddress());
    box.passNothing();
    Router a(lifeOf("a"));
    a.send("b", box.address(), "kept");
    REQUIRE(eventually([&box] { return box.accepted() >= 2; }));
    box.freeze();
    REQUIRE(b.recorder.waitFor("a.1: kept"));
}

TEST_CASE("a peer without the fleet's secret, or another VM at the address, gets no message")
{
    // Symptom: a router of a test fleet takes part in the live one. Sequence: an address is given to another fleet's or
    // another VM's process. Cause: whoever listens at an address is believed.
    Router a(lifeOf("a"));
    Router stranger(lifeOf("b"), [](StreamOptions& options) { options.fleetSecret = "other"; });
    Router c(lifeOf("c"));
    Middlebox toStranger(stranger.streams->listenAddress());
    Middlebox toOther(c.streams->listenAddress());
    a.send("b", toStranger.address(), "private");
    REQUIRE(eventually([&] { return toStranger.accepted() >= 2; }));
    stranger.send("a", a.streams->listenAddress(), "forged");
    a.send("b", toOther.address(), "private");
    REQUIRE(eventually([&] { return toOther.accepted() >= 2; }));
    CHECK(stranger.recorder.messages().empty());
    CHECK(c.recorder.messages().empty());
    CHECK(a.recorder.messages().empty());
    CHECK_FALSE(a.recorder.has("up b.1"));
}

TEST_CASE("bytes that are no HTTP/2 close the connection and harm nothing")
{
    Router b(lifeOf("b"));
    const UniqueFd fd = *connectTcp(b.streams->listenAddress());
    const std::string junk(100000, '\x93');
    pollfd polled { fd.value(), POLLOUT, 0 };
    ::poll(&polled, 1, 5000);
    ::send(fd.value(), junk.data(), junk.size(), MSG_NOSIGNAL);
    char buf[4096];
    REQUIRE(eventually([&] {
        const ssize_t n = ::recv(fd.value(), buf, sizeof buf, MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno == ECONNRESET);
    }));
    Router a(lifeOf("a"));
    a.send("b", b.streams->listenAddress(), "still here");
    REQUIRE(b.recorder.waitFor("a.1: still here"));
}

// Guards against connections that prove nothing, and keep other routers out until they time out.
TEST_CASE("a crowd of connections without a proof doesn't keep a peer out")
{
    constexpr auto longTimeout = 60s;
    Router b(lifeOf("b"), [&](StreamOptions& options) { options.pingTimeout = longTimeout; });
    std::vector<UniqueFd> crowd;
    constexpr int connections = 400;
    for (int i = 0; i < connections; ++i) {
        crowd.push_back(*connectTcp(b.streams->listenAddress()));
        pollfd polled { crowd.back().value(), POLLOUT, 0 };
        ::poll(&polled, 1, 5000);
    }
    Router a(lifeOf("a"));
    a.send("b", b.streams->listenAddress(), "let me in");
    REQUIRE(b.recorder.waitFor("a.1: let me in"));
}

TEST_CASE("a late message from an older life says so")
{
    // Symptom: a settlement of a former life is booked to the new one. Sequence: a VM's process is replaced, the old
    // one still runs for a moment and sends. Cause: a message taken for its VM's latest life.
    Router b(lifeOf("b"));
    Router old(lifeOf("a", 1));
    Router young(lifeOf("a", 2));
    old.send("b", b.streams->listenAddress(), "early");
    REQUIRE(b.recorder.waitFor("a.1: early"));
    young.send("b", b.streams->listenAddress(), "new");
    REQUIRE(b.recorder.waitFor("a.2: new"));
    CHECK(b.recorder.has("down a.1"));
    old.send("b", b.streams->listenAddress(), "late");
    REQUIRE(b.recorder.waitFor("a.1: late"));
    b.send("a", "127.0.0.1:1", "for the new life");
    REQUIRE(young.recorder.waitFor("b.1: for the new life"));
    CHECK_FALSE(old.recorder.has("b.1: for the new life"));
}

TEST_CASE("too much waiting for one peer is dropped and told")
{
    // Symptom: a router runs out of memory while one peer can't be reached. Sequence: messages wait for a stream
    // without a bound. Cause: no limit per peer.
    Router a(lifeOf("a"), [](StreamOptions& options) { options.maxQueuedBytes = 1000; });
    a.send("b", "127.0.0.1:1", std::string(600, 'x'));
    CHECK_FALSE(a.recorder.has("down b.0"));
    a.send("b", "127.0.0.1:1", std::string(600, 'x'));
    REQUIRE(a.recorder.waitFor("down b.0"));
}

TEST_CASE("an idle stream ends in order and the next message opens a new one")
{
    const auto shortIdle = [](StreamOptions& options) { options.idleClose = 100ms; };
    Router a(lifeOf("a"), shortIdle);
    Router b(lifeOf("b"), shortIdle);
    Middlebox box(b.streams->listenAddress());
    for (int i = 1; i <= 3; ++i) {
        a.send("b", box.address(), "go");
        REQUIRE(b.recorder.waitFor("a.1: go", i));
        REQUIRE(b.recorder.waitFor("up a.1", i));
        std::this_thread::sleep_for(300ms);
    }
    CHECK(box.accepted() == 3);
    CHECK_FALSE(a.recorder.has("down b.1"));
    CHECK_FALSE(b.recorder.has("down a.1"));
}

TEST_CASE("a restarted peer is connected anew")
{
    Router a(lifeOf("a"));
    auto b = std::make_unique<Router>(lifeOf("b", 1));
    const std::string address = b->streams->listenAddress();
    a.send("b", address, "one");
    REQUIRE(b->recorder.waitFor("a.1: one"));
    b.reset();
    REQUIRE(a.recorder.waitFor("down b.1"));
    a.send("b", address, "two");
    Router reborn(lifeOf("b", 2), [&address](StreamOptions& options) { options.listenAddress = address; });
    REQUIRE(reborn.recorder.waitFor("a.1: two"));
    REQUIRE(a.recorder.waitFor("up b.2"));
}

TEST_CASE("datagrams arrive with their sender's address and are counted with headers")
{
    std::atomic<std::uint64_t> echoed = 0;
    std::unique_ptr<DatagramSocket> b;
    std::mutex mutex;
    auto a = *DatagramSocket::make(
        "127.0.0.1:0", [&](const std::string&, std::string_view bytes) { echoed += bytes.size(); });
    b = *DatagramSocket::make("127.0.0.1:0", [&](const std::string& from, std::string_view bytes) {
        const std::lock_guard lock(mutex);
        b->send(from, bytes);
    });
    {
        const std::lock_guard lock(mutex);
        a->send(b->listenAddress(), "12345");
    }
    REQUIRE(eventually([&] { return echoed == 5; }));
    CHECK(a->bytes().sent == 33);
    CHECK(a->bytes().received == 33);
    CHECK_FALSE(DatagramSocket::make("nowhere", {}).ok());
}
