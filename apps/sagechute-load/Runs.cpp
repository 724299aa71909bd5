#include "Runs.h"

namespace sagechute::load {

void RunCounter::record(const std::string& target, std::int64_t life, std::unordered_map<std::string, unsigned> counts)
{
    m_counts[{ target, life }] = std::move(counts);
}

unsigned RunCounter::runs(const std::string& tag) const
{
    unsigned sum = 0;
    for (const auto& life : m_counts) {
        const auto it = life.second.find(tag);
        if (it != life.second.end())
            sum += it->second;
    }
    return sum;
}

void Tally::add(const RequestRecord& request, unsigned runs)
{
    ++requests;
    resends += request.sends > 1 ? request.sends - 1 : 0;
    addEnd(request);
    if (!request.repeatable && runs > 1) {
        ++doubled;
        note(faults, request, "ran " + std::to_string(runs) + " times");
    }
    const bool toldNotRun = request.last.end == SendEnd::NotRun || request.last.end == SendEnd::Unreachable;
    if (toldNotRun && runs > 0) {
        ++falseNotRun;
        note(faults, request, "was said not to have run, but did");
    }
    if (request.last.end == SendEnd::Completed && runs == 0) {
        ++completedUncounted;
        note(faults, request, "was answered, but no target counted a run");
    }
}

void Tally::addEnd(const RequestRecord& request)
{
    const Verdict& verdict = request.last;
    switch (verdict.end) {
    case SendEnd::Completed:
        ++completed;
        cost += verdict.cost;
        tokens += verdict.tokens;
        return;
    case SendEnd::Unreachable:
        ++unreachable;
        ++refusedNotRun;
        ++refusalsByKind["unreachable"];
        return;
    case SendEnd::NotRun:
        ++refusedNotRun;
        ++refusalsByKind[verdict.kind.empty() ? "no-kind" : verdict.kind];
        return;
    case SendEnd::CutOff:
        ++cutOff;
        ++unknown;
        return;
    case SendEnd::Unknown:
        ++unknown;
        ++refusalsByKind["unknown:" + verdict.kind];
        note(doubts, request, verdict.kind + ": " + verdict.detail);
        return;
    case SendEnd::Incomplete:
        ++incomplete;
        note(doubts, request, verdict.kind + ": " + verdict.detail);
        return;
    case SendEnd::Crossed:
        ++crossed;
        break;
    case SendEnd::Malformed:
        ++malformed;
        break;
    case SendEnd::Lost:
        ++lost;
        break;
    }
    note(faults, request, std::string(toString(verdict.end)) + ": " + verdict.detail);
}

void Tally::note(std::vector<std::string>& notes, const RequestRecord& request, const std::string& what)
{
    constexpr std::size_t mostNotes = 20;
    if (notes.size() < mostNotes)
        notes.push_back(request.tag + " (" + request.last.requestId + ") " + what);
}

} // namespace sagechute::load
