#include "operators/CtlCommands.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

namespace sagechute::operators {
namespace {

    using nlohmann::json;

    constexpr std::size_t changesAtOnce = 16;
    constexpr int mostRaces = 5;

    /// Runs @p task for each index on a few threads.
    template <typename Task> void forEach(std::size_t n, Task task)
    {
        std::atomic<std::size_t> next = 0;
        const auto work = [&] {
            for (std::size_t i = next++; i < n; i = next++)
                task(i);
        };
        std::vector<std::thread> threads;
        for (std::size_t i = 1; i < std::min(n, changesAtOnce); ++i)
            threads.emplace_back(work);
        work();
        for (std::thread& thread : threads)
            thread.join();
    }

    /// Resources of one kind have no order among themselves; kinds have.
    std::vector<CtlResult> putAll(CtlClient& client, const std::vector<DeclaredResource>& resources)
    {
        std::vector<CtlResult> results(resources.size());
        for (std::size_t first = 0; first < resources.size();) {
            std::size_t last = first;
            while (last < resources.size() && resources[last].kind == resources[first].kind)
                ++last;
            forEach(last - first, [&](std::size_t i) { results[first + i] = client.put(resources[first + i]); });
            first = last;
        }
        return results;
    }

    std::string resultWord(const CtlResult& result)
    {
        switch (result.exitCode) {
        case exitDone:
            return result.document.value("changed", false) ? "changed" : "unchanged";
        case exitConflict:
            return "conflict";
        case exitUnavailable:
            return "unavailable";
        case exitInternal:
            return "failed";
        default:
            return "refused";
        }
    }

    /// The offset at which a change, or the unchanged resource, took effect.
    LogOffset offsetOf(const CtlResult& result)
    {
        const json& document = result.document;
        if (document.contains("change"))
            return document.at("change").value("offset", LogOffset { 0 });
        return document.contains("resource") ? document.at("resource").value("version", LogOffset { 0 }) : 0;
    }

    std::string progressText(const json& progress)
    {
        return "in force on " + memberText(progress, "inForce") + " of " + memberText(progress, "routers") + " routers";
    }

    std::string differenceLine(const json& difference)
    {
        return "  " + memberText(difference, "path") + ": " + memberText(difference, "before") + " -> "
            + memberText(difference, "after");
    }

} // namespace

std::optional<std::vector<DeclaredResource>> Ctl::readFile()
{
    if (m_options.file.empty()) {
        usage("give the document with -f FILE");
        return std::nullopt;
    }
    std::ifstream file;
    if (m_options.file != "-")
        file.open(m_options.file, std::ios::binary);
    if (!file) {
        usage("cannot read " + m_options.file);
        return std::nullopt;
    }
    std::istream& in = m_options.file == "-" ? std::cin : file;
    const std::string text { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
    auto resources = parseDeclaration(text);
    if (resources.ok())
        return *std::move(resources);
    m_err << "sagechutectl: " << m_options.file << ": " << resources.status().message() << "; "
          << errorRemedy(resources.status()) << std::endl;
    return std::nullopt;
}

int Ctl::apply()
{
    const auto resources = readFile();
    if (!resources)
        return exitWrongUsage;
    const std::vector<CtlResult> results = putAll(m_client, *resources);
    const int code = printApplied(*resources, results);
    if (code != exitDone || !m_options.wait)
        return code;
    LogOffset last = 0;
    for (const CtlResult& result : results)
        last = std::max(last, offsetOf(result));
    return awaitAndReport(last);
}

int Ctl::printApplied(const std::vector<DeclaredResource>& resources, const std::vector<CtlResult>& results)
{
    int code = exitDone;
    json documents = json::array();
    Table table({ "RESOURCE", "RESULT", "OFFSET", "DETAIL" });
    for (std::size_t i = 0; i < results.size(); ++i) {
        code = std::max(code, results[i].exitCode);
        documents.push_back({ { "resource", resources[i].text() }, { "result", resultWord(results[i]) },
            { "answer", results[i].document }, { "message", results[i].message } });
        table.add({ resources[i].text(), resultWord(results[i]),
            results[i].ok() ? std::to_string(offsetOf(results[i])) : "-", results[i].message });
    }
    if (!printJson(documents))
        print(table);
    return code;
}

int Ctl::awaitAndReport(LogOffset offset)
{
    const CtlResult result = m_client.awaitInForce(offset);
    if (!result.ok() && result.exitCode != exitNotYetInForce)
        return fail(result);
    const json& progress = result.document.at("progress");
    if (printJson(result.document))
        return result.exitCode;
    printLine("offset " + std::to_string(offset) + ": " + progressText(progress));
    for (const json& router : progress.value("lagging", json::array()))
        printLine("  " + memberText(router, "vm") + " is behind: " + memberText(router, "why"));
    if (result.exitCode == exitNotYetInForce)
        m_err << "sagechutectl: accepted, but not yet in force everywhere; see: sagechutectl who-is-behind"
              << std::endl;
    return result.exitCode;
}

int Ctl::finish(const std::string& what, const CtlResult& result)
{
    if (!result.ok())
        return fail(result);
    const bool isChanged = result.document.value("changed", false);
    if (!printJson(result.document)) {
        printLine(what + ": " + (isChanged ? "accepted at offset " : "already so since offset ")
            + std::to_string(offsetOf(result)));
    }
    return m_options.wait ? awaitAndReport(offsetOf(result)) : exitDone;
}

int Ctl::diff()
{
    const auto resources = readFile();
    if (!resources)
        return exitWrongUsage;
    std::vector<CtlResult> results(resources->size());
    forEach(results.size(), [&](std::size_t i) { results[i] = m_client.tryOut((*resources)[i]); });
    int code = exitDone;
    json documents = json::array();
    for (std::size_t i = 0; i < results.size(); ++i) {
        const CtlResult& result = results[i];
        documents.push_back({ { "resource", (*resources)[i].text() }, { "answer", result.document } });
        if (!result.ok()) {
            code = std::max(code, result.exitCode);
            m_err << "sagechutectl: " << (*resources)[i].text() << ": " << printable(result.message) << std::endl;
            continue;
        }
        if (!result.document.value("wouldChange", false))
            continue;
        code = std::max<int>(code, exitDiffers);
        if (m_options.output == OutputForm::Json)
            continue;
        printLine((*resources)[i].text() + (result.document.value("exists", false) ? "" : " (new)"));
        for (const json& difference : result.document.value("differences", json::array()))
            printLine(differenceLine(difference));
    }
    printJson(documents);
    return code;
}

int Ctl::remove()
{
    return finish(word(1) + "/" + word(2) + " deleted", m_client.remove(word(1), word(2), m_options.expected));
}

int Ctl::drain()
{
    if (word(1) == "target")
        return changeField("target", word(2), "state", m_options.undo ? "serving" : "leaving", false);
    if (word(1) == "vm")
        return changeField("vm", word(2), "drain", !m_options.undo, true);
    return usage("drain takes target NAME or vm NAME");
}

int Ctl::changeField(
    const std::string& kind, const std::string& name, const std::string& field, const json& value, bool mayCreate)
{
    const std::string target = resourcePath(kind, name);
    CtlResult result;
    for (int i = 0; i < mostRaces; ++i) {
        const CtlResult current = m_client.get(target);
        const bool isNew = current.exitCode == exitNotFound && mayCreate;
        if (!current.ok() && !isNew)
            return fail(current);
        DeclaredResource resource { kind, name, isNew ? json::object() : current.document.at("spec"), 0 };
        if (!isNew)
            resource.expected = current.document.value("version", LogOffset { 0 });
        resource.spec[field] = value;
        result = m_client.put(resource);
        // Somebody changed another field in between: only this one field is ours to set, so look again and set it.
        if (result.exitCode != exitConflict)
            break;
    }
    return finish(kind + "/" + name + " " + field + "=" + valueText(value), result);
}

int Ctl::showChange()
{
    const CtlResult result = m_client.get("/v1/changes/" + net::percentEncoded(word(1)));
    if (!result.ok())
        return fail(result);
    const std::string verdict = memberText(result.document, "verdict");
    if (!printJson(result.document)) {
        printLine("change " + word(1) + " of " + memberText(result.document, "kind") + "/"
            + memberText(result.document, "name") + ": " + verdict + " at offset "
            + memberText(result.document, "offset"));
        if (!memberText(result.document, "reason").empty())
            printLine("  " + memberText(result.document, "reason"));
        if (verdict == "accepted")
            printLine("  " + progressText(result.document.at("progress")));
    }
    return verdict == "accepted" ? exitDone : exitConflict;
}

} // namespace sagechute::operators
