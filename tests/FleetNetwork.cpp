/// @file
/// The network between the fake's routers: one ordered stream per pair, datagrams, and forwarded requests.

#include "FleetFake.h"

namespace sagechute::testing {

using namespace std::chrono_literals;
using routing::AttemptEnd;

namespace {

    constexpr Duration silenceDetectionDelay = 2s; ///< Detected by the pings of a stream.
    constexpr Duration connectRetry = 100ms;
    constexpr Duration connectTimeout = 1s;
    constexpr std::uint64_t messageLossInterval = 5; ///< Used by InjectedBug::LosesMessages.

} // namespace

void FleetFake::cut(std::size_t one, std::size_t other, bool cutOff)
{
    if (cutOff)
        m_cuts.insert(std::minmax(one, other));
    else
        m_cuts.erase(std::minmax(one, other));
}

void FleetFake::cutStreams(std::size_t one, std::size_t other, bool cutOff)
{
    if (cutOff)
        m_streamCuts.insert(std::minmax(one, other));
    else
        m_streamCuts.erase(std::minmax(one, other));
}

void FleetFake::isolate(std::size_t n, bool cutOff)
{
    note((cutOff ? "cut off: " : "rejoins: ") + m_nodes[n].settings.life.vm.value);
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
        if (other != n)
            cut(n, other, cutOff);
    }
}

void FleetFake::breakStream(std::size_t one, std::size_t other)
{
    note("the stream between " + life(one).vm.value + " and " + life(other).vm.value + " breaks");
    breakLink(std::minmax(one, other));
}

bool FleetFake::connected(std::size_t one, std::size_t other) const
{
    return m_nodes[other].core && !m_cuts.contains(std::minmax(one, other));
}

bool FleetFake::streamsConnected(std::size_t one, std::size_t other) const
{
    return connected(one, other) && connected(other, one) && !m_streamCuts.contains(std::minmax(one, other));
}

void FleetFake::act(std::size_t n, routing::SendMessage& action)
{
    const auto to = nodeByVm(action.to);
    if (!to || *to == n)
        return;
    if (m_options.injectedBug == InjectedBug::LosesMessages && ++m_bugCounter % messageLossInterval == 0)
        return;
    Link& it = link(n, *to);
    if (action.address.empty() && !it.isUp)
        return; // Nobody can connect to an unknown address.
    if (it.isUp) {
        transmit(n, *to, std::move(action.bytes));
        return;
    }
    it.waiting.push_back({ n, std::move(action.bytes) });
    if (it.isTrying)
        return;
    it.isTrying = true;
    it.tryingSince = m_now;
    at(networkDelay, [this, pair = Pair(std::minmax(n, *to))] { connectLink(pair); });
}

// A loss on a stream is always detected: the stream breaks some time later, and both ends are notified.
void FleetFake::transmit(std::size_t from, std::size_t to, std::string bytes)
{
    const Pair pair = std::minmax(from, to);
    at(networkDelay,
        [this, pair, from, to, epoch = m_links[pair].epoch, sender = life(from), receiver = life(to),
            bytes = std::move(bytes)] {
            if (m_links[pair].epoch != epoch)
                return;
            if (streamsConnected(from, to))
                deliverTo(receiver, routing::PeerMessageReceived { sender, bytes });
            else
                scheduleBreak(pair, silenceDetectionDelay);
        });
}

void FleetFake::connectLink(Pair pair)
{
    const auto [one, other] = pair;
    Link& it = m_links[pair];
    if (it.isUp || it.waiting.empty()) {
        it.isTrying = false;
        return;
    }
    if (isRunning(one) && isRunning(other) && streamsConnected(one, other)) {
        it.isUp = true;
        it.isTrying = false;
        it.isBreaking = false;
        ++it.epoch;
        for (Link::Waiting& message : std::exchange(it.waiting, {}))
            transmit(message.from, message.from == one ? other : one, std::move(message.bytes));
        deliver(one, routing::PeerUp { life(other) });
        deliver(other, routing::PeerUp { life(one) });
        return;
    }
    const bool refused = !m_nodes[one].core || !m_nodes[other].core;
    if (m_now - *it.tryingSince >= (refused ? Duration {} : connectTimeout)) {
        it.tryingSince = m_now;
        for (const std::size_t from : { one, other }) {
            const std::size_t to = from == one ? other : one;
            const bool waits = std::any_of(it.waiting.begin(), it.waiting.end(),
                [&](const Link::Waiting& message) { return message.from == from; });
            if (waits)
                deliver(from, routing::PeerDown { life(to) });
        }
    }
    at(connectRetry, [this, pair] { connectLink(pair); });
}

void FleetFake::scheduleBreak(Pair pair, Duration delay)
{
    Link& it = m_links[pair];
    if (!it.isUp || it.isBreaking)
        return;
    it.isBreaking = true;
    at(delay, [this, pair, epoch = it.epoch] {
        if (m_links[pair].epoch == epoch)
            breakLink(pair);
    });
}

void FleetFake::breakLink(Pair pair)
{
    Link& it = m_links[pair];
    if (!it.isUp)
        return;
    it.isUp = false;
    it.isBreaking = false;
    ++it.epoch;
    deliver(pair.first, routing::PeerDown { life(pair.second) });
    deliver(pair.second, routing::PeerDown { life(pair.first) });
}

void FleetFake::act(std::size_t n, routing::ForgetPeer& action)
{
    const auto to = nodeByVm(action.vm);
    if (!to)
        return;
    Link& it = link(n, *to);
    std::erase_if(it.waiting, [n](const Link::Waiting& message) { return message.from == n; });
    if (!it.isUp)
        return;
    it.isUp = false;
    ++it.epoch;
    deliver(*to, routing::PeerDown { life(n) });
}

void FleetFake::act(std::size_t n, routing::SendDatagram& action)
{
    const auto to = nodeByAddress(action.address);
    if (!to || !connected(n, *to))
        return;
    const double sample = m_random.fraction();
    const int copies = sample < m_options.loss ? 0 : sample < 2 * m_options.loss ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const Duration late { static_cast<Duration::rep>(
            m_options.jitter.count() ? m_random.below(static_cast<std::uint64_t>(m_options.jitter.count())) : 0) };
        at(networkDelay + late, [this, to, from = m_nodes[n].settings.gossipAddress, bytes = action.bytes] {
            deliver(*to, routing::DatagramReceived { from, bytes });
        });
    }
}

void FleetFake::act(std::size_t n, routing::StartForward& action)
{
    const auto to = nodeByAddress(action.address);
    routing::AttemptEnded failed;
    failed.id = action.id;
    failed.attempt = action.attempt;
    failed.end = AttemptEnd::NothingSent;
    setWaiting(action.id, false);
    if (!to || !m_nodes[*to].core || !streamsConnected(n, *to)) {
        at(to && m_nodes[*to].core ? connectTimeout : networkDelay,
            [this, failed] { deliverTo(failed.id.origin, failed); });
        return;
    }
    at(networkDelay, [this, n, to, action, failed] {
        Node& holder = m_nodes[*to];
        if (!holder.core) {
            deliverTo(failed.id.origin, failed);
            return;
        }
        const Send original = m_sends.at(action.id);
        const RequestId id { holder.settings.life, ++holder.serial };
        m_sends[id] = original;
        m_forwards[id] = { n, *to, action.id, action.attempt };
        routing::RequestArrived arrival;
        arrival.id = id;
        arrival.customer.value = original.customer;
        arrival.service.value = original.service;
        arrival.repeatable = original.repeatable;
        arrival.streamed = original.streamed;
        arrival.forwarded = true;
        arrival.resend = delivery::ResendKey { arrival.customer, *original.session, original.sequence };
        deliver(*to, std::move(arrival));
    });
}

void FleetFake::endForward(const RequestId& atHolder, AttemptEnd end, const CallerEnd& callerEnd)
{
    const auto found = m_forwards.find(atHolder);
    if (found == m_forwards.end())
        return;
    const Forward forward = found->second;
    m_forwards.erase(found);
    routing::AttemptEnded ended;
    ended.id = forward.relayed;
    ended.attempt = forward.attempt;
    ended.end = streamsConnected(forward.from, forward.to) || end != AttemptEnd::Completed ? end : AttemptEnd::Stalled;
    if (ended.end == AttemptEnd::Completed)
        ended.answer = { callerEnd.outcome, 200, "application/json", callerEnd.body, toString(atHolder) };
    at(ended.end == AttemptEnd::Stalled ? silenceDetectionDelay : networkDelay,
        [this, ended] { deliverTo(ended.id.origin, ended); });
}

// A crash breaks the connections of forwarded requests in both directions.
void FleetFake::endForwardsTo(std::size_t n)
{
    const std::map<RequestId, Forward> forwards = m_forwards;
    for (const auto& [id, forward] : forwards) {
        if (forward.to == n)
            endForward(id, AttemptEnd::Broken, {});
        else if (forward.from == n)
            deliverTo(id.origin, routing::CallerDisconnected { id });
    }
}

} // namespace sagechute::testing
