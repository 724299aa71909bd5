#include <sagechute/Core.h>

#include "core/Concat.h"
#include <nlohmann/json.hpp>

namespace sagechute {

namespace {

    using nlohmann::json;

    constexpr std::string_view jsonRemedy = "Send one JSON document in UTF-8 without duplicate names or deep nesting";

    /// Builds the document from the parser's events, so that a fault stops the parser where it stands.
    class StrictBuilder final : public nlohmann::json_sax<json> {
    public:
        explicit StrictBuilder(int maxDepth)
            : m_maxDepth(maxDepth)
        {
        }

        json takeDocument() { return std::move(m_document); }
        const std::string& problem() const { return m_problem; }

        bool null() override { return add(nullptr); }
        bool boolean(bool value) override { return add(value); }
        bool number_integer(number_integer_t value) override { return add(value); }
        bool number_unsigned(number_unsigned_t value) override { return add(value); }
        bool number_float(number_float_t value, const string_t&) override { return add(value); }
        bool string(string_t& value) override { return add(std::move(value)); }
        bool binary(binary_t& value) override { return add(std::move(value)); }
        bool start_object(std::size_t) override { return open(json::object()); }
        bool start_array(std::size_t) override { return open(json::array()); }
        bool end_object() override { return close(); }
        bool end_array() override { return close(); }

        bool key(string_t& name) override
        {
            auto [it, isNew] = m_open.back()->emplace(name, nullptr);
            if (!isNew)
                return fail(concat("the name \"", name, "\" appears twice in ", path()));
            m_slot = &*it;
            m_names.back() = std::move(name);
            return true;
        }

        bool parse_error(std::size_t position, const std::string&, const nlohmann::detail::exception& error) override
        {
            std::string_view what = error.what();
            auto prefixEnd = what.find("] ");
            if (prefixEnd != std::string_view::npos)
                what.remove_prefix(prefixEnd + 2);
            return fail(concat("at byte ", position, ": ", what));
        }

    private:
        bool fail(std::string problem)
        {
            m_problem = std::move(problem);
            return false;
        }

        std::string path() const
        {
            std::string text = "/";
            for (std::size_t i = 0; i + 1 < m_names.size(); ++i)
                text += concat(i ? "/" : "", m_names[i]);
            return text;
        }

        json* place(json&& value)
        {
            if (m_open.empty()) {
                m_document = std::move(value);
                return &m_document;
            }
            if (m_open.back()->is_array()) {
                m_open.back()->push_back(std::move(value));
                return &m_open.back()->back();
            }
            *m_slot = std::move(value);
            return m_slot;
        }

        bool add(json value)
        {
            place(std::move(value));
            return true;
        }

        bool open(json container)
        {
            if (static_cast<int>(m_open.size()) >= m_maxDepth)
                return fail(concat("nested deeper than ", m_maxDepth, " at ", path()));
            bool isArray = container.is_array();
            m_open.push_back(place(std::move(container)));
            m_names.emplace_back(isArray ? "[]" : "");
            return true;
        }

        bool close()
        {
            m_open.pop_back();
            m_names.pop_back();
            return true;
        }

        int m_maxDepth;
        json m_document;
        std::vector<json*> m_open; ///< A container isn't moved while it is open: its parent takes no other element.
        std::vector<std::string> m_names;
        json* m_slot = nullptr;
        std::string m_problem;
    };

    absl::Status jsonError(std::string_view problem)
    {
        return makeError(ErrorKind::BadRequest, concat("Not acceptable as JSON: ", problem), jsonRemedy);
    }

} // namespace

absl::StatusOr<json> parseJsonStrictly(std::string_view text, int maxDepth)
{
    // The library's lexer takes a zero byte for the end of the text. Without this check a document followed by a zero
    // byte and anything else would pass, and two readers of one record could see different things in it.
    auto zero = text.find('\0');
    if (zero != std::string_view::npos)
        return jsonError(concat("at byte ", zero, ": zero byte"));

    StrictBuilder builder(maxDepth);
    if (!json::sax_parse(text.begin(), text.end(), &builder))
        return jsonError(builder.problem());
    return builder.takeDocument();
}

} // namespace sagechute
