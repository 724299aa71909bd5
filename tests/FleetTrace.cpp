/// @file
/// The fake's golden transcript: one line for each relevant event and action.

#include "FleetFake.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace sagechute::testing {

using routing::AttemptEnd;

namespace {

    constexpr std::string_view messageNames[] = { "offer", "withdraw", "grant", "decline", "not-owner", "settle",
        "progress", "resync", "summary", "ledger-pull", "config-pull", "config-records", "config-snapshot",
        "outcome-part", "outcomes-taken", "inherited", "resync-request" };

    constexpr std::uint64_t frameBytes = 9;

    template <typename Message> std::string detailOf(const Message& it)
    {
        if constexpr (requires {
                          it.target;
                          it.serial;
                      })
            return " " + std::to_string(it.serial) + " at " + it.target.value;
        else if constexpr (requires { it.serial; })
            return " " + std::to_string(it.serial);
        return {};
    }

    std::string detailOf(const wire::ResyncMessage& it)
    {
        std::string text = " of " + std::to_string(it.running.size()) + " running";
        for (const wire::RunningEntry& entry : it.running)
            text += " " + std::to_string(entry.serial);
        return text;
    }

    std::string_view nameOf(AttemptEnd end)
    {
        static constexpr std::string_view names[]
            = { "completed", "nothing sent", "broken", "silent", "crossed", "rejected", "not resumable" };
        return names[static_cast<std::size_t>(end)];
    }

    std::string describe(const routing::RequestArrived& it)
    {
        return "request " + toString(it.id) + " of " + it.customer.value + " for " + it.service.value
            + (it.forwarded ? ", handed over" : "");
    }
    std::string describe(const routing::AttemptEnded& it)
    {
        return "attempt " + std::to_string(it.attempt) + " of " + toString(it.id) + ": " + std::string(nameOf(it.end))
            + (it.nextPosition ? " at position " + std::to_string(it.nextPosition) : "");
    }
    std::string describe(const routing::CallerDisconnected& it) { return "caller of " + toString(it.id) + " is gone"; }
    std::string describe(const routing::PeerUp& it) { return "stream up with " + it.peer.vm.value; }
    std::string describe(const routing::PeerDown& it) { return "stream down with " + it.peer.vm.value; }
    std::string describe(const routing::StopRequested&) { return "stop requested"; }
    std::string describe(const routing::StartAttempt& it)
    {
        return "start " + toString(it.id) + " attempt " + std::to_string(it.attempt) + " at " + it.target.value
            + (it.freshConnection ? " on a new connection" : "")
            + (it.resumeFrom ? " from position " + std::to_string(*it.resumeFrom) : "");
    }
    std::string describe(const routing::StartForward& it)
    {
        return "hand over " + toString(it.id) + " to " + it.to.value;
    }
    std::string describe(const routing::CancelAttempt& it) { return "cancel " + toString(it.id); }
    std::string describe(const routing::Answer& it)
    {
        return "answer " + toString(it.id) + " " + std::string(toString(it.answer.outcome)) + ": " + it.answer.body;
    }
    std::string describe(const routing::Refuse& it)
    {
        return "refuse " + toString(it.id) + " " + std::string(toString(it.outcome)) + ", "
            + std::string(toString(errorKind(it.error))) + ": " + std::string(it.error.message());
    }
    std::string describe(const routing::EndStream& it)
    {
        return "end stream " + toString(it.id) + " " + std::string(toString(it.outcome));
    }
    std::string describe(const routing::StopListening&) { return "stop listening"; }
    std::string describe(const routing::Exit&) { return "exit"; }

    /// Other events and actions are left out of the transcript.
    template <typename Other> std::string describe(const Other&) { return {}; }

} // namespace

void FleetFake::note(const std::string& line)
{
    if (m_isTranscribing)
        m_transcript
            += std::to_string(m_now.time_since_epoch() / std::chrono::milliseconds(1)) + "ms -- " + line + "\n";
}

void FleetFake::trace(std::size_t n, const routing::Event& event)
{
    if (!m_isTranscribing)
        return;
    if (const std::string line = std::visit([](const auto& it) { return describe(it); }, event); !line.empty())
        m_transcript += std::to_string(m_now.time_since_epoch() / std::chrono::milliseconds(1)) + "ms "
            + life(n).vm.value + " <- " + line + "\n";
}

void FleetFake::trace(std::size_t n, const routing::Action& action)
{
    std::string line;
    if (const auto* message = std::get_if<routing::SendMessage>(&action)) {
        const wire::Message decoded = *wire::decode(message->bytes);
        const std::string name { messageNames[decoded.index()] };
        ++m_messages[name];
        m_controlBytes += message->bytes.size() + frameBytes;
        if (message->purpose != routing::Purpose::Ledger)
            line = name + std::visit([](const auto& it) { return detailOf(it); }, decoded) + " to " + message->to.value;
    } else if (m_isTranscribing) {
        line = std::visit([](const auto& it) { return describe(it); }, action);
    }
    if (m_isTranscribing && !line.empty())
        m_transcript += std::to_string(m_now.time_since_epoch() / std::chrono::milliseconds(1)) + "ms "
            + life(n).vm.value + " -> " + line + "\n";
}

std::uint64_t FleetFake::messagesOf(std::string_view kind) const
{
    const auto it = m_messages.find(std::string(kind));
    return it == m_messages.end() ? 0 : it->second;
}

bool matchesGolden(const std::string& name, const std::string& text, std::string& difference)
{
    const std::string path = std::string(SAGECHUTE_GOLDEN_DIR) + "/" + name;
    if (std::getenv("SAGECHUTE_WRITE_GOLDEN")) {
        std::ofstream(path) << text;
        return true;
    }
    std::ifstream file(path);
    std::stringstream expected;
    expected << file.rdbuf();
    if (expected.str() == text)
        return true;
    std::istringstream left(expected.str());
    std::istringstream right(text);
    std::string want;
    std::string got;
    while (std::getline(left, want) && std::getline(right, got) && want == got) { }
    difference = "want: " + want + "\ngot:  " + got;
    return false;
}

} // namespace sagechute::testing
