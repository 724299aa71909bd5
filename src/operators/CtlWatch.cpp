#include "operators/CtlCommands.h"
#include "operators/EventReader.h"

#include <ostream>

namespace sagechute::operators {
namespace {

    using nlohmann::json;

    constexpr std::chrono::milliseconds reconnectPause { 1000 };

    /// Follows one watch over as many connections as it takes.
    class WatchSession {
    public:
        using Printer = std::function<bool(const json&)>;

        WatchSession(CtlClient& client, std::string target, LogOffset from, Printer printer)
            : m_client(client)
            , m_target(std::move(target))
            , m_from(from)
            , m_printer(std::move(printer))
        {
        }

        /// Reads one connection to its end.
        /// @return Done when no more is wanted, else how the connection ended.
        CtlResult readOnce()
        {
            m_mustList = false;
            EventReader reader([this](const ServerEvent& event) { return take(event); });
            const ApiAnswer answer = m_client.port().stream(m_target + "?watch=1&from=" + std::to_string(m_from),
                [&](std::string_view bytes) { return reader.take(bytes); });
            if (m_isOver || answer.status == 200)
                return {};
            return judge(answer);
        }

        bool isOver() const { return m_isOver; }
        bool mustList() const { return m_mustList; }
        LogOffset from() const { return m_from; }
        void restartAt(LogOffset offset) { m_from = offset; }

    private:
        bool take(const ServerEvent& event)
        {
            if (event.name == "list-again") {
                m_mustList = true;
                return false;
            }
            // The offset moves on only with what has been handed over: a connection that breaks here repeats nothing
            // and skips nothing.
            if (event.name == "change" && !handOver(event))
                return false;
            if (!event.id.empty())
                m_from = std::max<LogOffset>(m_from, std::strtoull(event.id.c_str(), nullptr, 10));
            return true;
        }

        bool handOver(const ServerEvent& event)
        {
            const absl::StatusOr<json> document = parseJsonStrictly(event.data);
            if (!document.ok() || !document->is_object() || document->value("offset", LogOffset { 0 }) <= m_from)
                return true;
            m_isOver = !m_printer(*document);
            return !m_isOver;
        }

        CtlClient& m_client;
        const std::string m_target;
        LogOffset m_from;
        const Printer m_printer;
        bool m_isOver = false;
        bool m_mustList = false;
    };

    std::string changeLine(const json& change)
    {
        std::string line
            = memberText(change, "offset") + " " + memberText(change, "kind") + "/" + memberText(change, "name");
        if (change.value("deleted", false))
            return line + " deleted";
        return line + " " + memberText(change, "spec");
    }

} // namespace

int Ctl::watch()
{
    const std::string target = "/v1/resources" + (word(1) == "all" ? "" : "/" + net::percentEncoded(word(1)));
    LogOffset from = m_options.from.value_or(0);
    if (!m_options.from) {
        const CtlResult list = m_client.get(target);
        if (!list.ok())
            return fail(list);
        from = list.document.value("offset", LogOffset { 0 });
    }
    std::uint64_t printed = 0;
    WatchSession session(m_client, target, from, [&](const json& change) {
        if (m_options.output == OutputForm::Json)
            m_out << change.dump(-1, ' ', false, json::error_handler_t::replace) << "\n";
        else
            printLine(changeLine(change));
        m_out.flush();
        return ++printed != m_options.count;
    });
    while (true) {
        const CtlResult result = session.readOnce();
        if (session.isOver())
            return exitDone;
        if (session.mustList() || memberText(result.document, "kind") == toString(ErrorKind::RetentionExceeded)) {
            const CtlResult list = m_client.get(target);
            if (!list.ok())
                return fail(list);
            session.restartAt(list.document.value("offset", LogOffset { 0 }));
            m_err << "sagechutectl: changes were missed, they are no longer held; see: sagechutectl get " << word(1)
                  << "; going on from offset " << session.from() << std::endl;
            continue;
        }
        if (!result.ok() && result.exitCode != exitUnavailable)
            return fail(result);
        m_err << "sagechutectl: connection lost, going on from offset " << session.from() << std::endl;
        m_client.port().pause(reconnectPause);
    }
}

} // namespace sagechute::operators
