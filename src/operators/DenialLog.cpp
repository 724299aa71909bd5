#include "operators/DenialLog.h"

#include <algorithm>

namespace sagechute::operators {
namespace {

    constexpr std::size_t longestText = 160;

    std::string countText(std::uint64_t leftOut) { return std::to_string(leftOut) + " more were left out before"; }

} // namespace

bool LineBudget::take(TimePoint now)
{
    const Duration passed = m_last ? now - *m_last : Duration::zero();
    m_last = now;
    const double refilled = std::chrono::duration<double>(passed) / std::chrono::duration<double>(m_refill);
    m_tokens = std::min(m_burst, m_tokens + refilled);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

DenialLog::Book& DenialLog::bookOf(const config::AuditEntry& entry)
{
    return entry.operatorName.empty() ? m_strangers : m_operators;
}

std::optional<config::AuditEntry> DenialLog::admit(TimePoint now, config::AuditEntry entry)
{
    const std::lock_guard lock(m_mutex);
    Book& book = bookOf(entry);
    if (!book.budget.take(now)) {
        ++book.leftOut;
        return std::nullopt;
    }
    if (book.leftOut > 0)
        entry.reason += "; " + countText(book.leftOut);
    book.leftOut = 0;
    return entry;
}

std::optional<config::AuditEntry> DenialLog::summarize(TimePoint now, std::string at)
{
    const std::lock_guard lock(m_mutex);
    for (Book* book : { &m_strangers, &m_operators }) {
        if (book->leftOut == 0 || !book->budget.take(now))
            continue;
        config::AuditEntry entry;
        entry.at = std::move(at);
        entry.action = book == &m_strangers ? "denied" : "refused";
        entry.verdict = entry.action;
        entry.reason = countText(book->leftOut);
        book->leftOut = 0;
        return entry;
    }
    return std::nullopt;
}

std::string cleanText(std::string_view text)
{
    std::string clean(text.substr(0, longestText));
    std::replace_if(
        clean.begin(), clean.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
    return clean;
}

} // namespace sagechute::operators
