#include "delivery/OutcomePart.h"

#include <nlohmann/json.hpp>

#include <array>

namespace sagechute::delivery {
namespace {

    using nlohmann::json;

    constexpr std::uint64_t kVersion = 1;

    // Answers come from targets: their bytes need not be text.
    json toBinary(std::string_view bytes) { return json::binary({ bytes.begin(), bytes.end() }); }

    json answerDocument(const KeptAnswer& answer)
    {
        return { { "outcome", toString(answer.outcome) }, { "status", static_cast<std::uint64_t>(answer.httpStatus) },
            { "type", toBinary(answer.contentType) }, { "body", toBinary(answer.body) },
            { "request", answer.requestId } };
    }

    json itemDocument(const OutcomeItem& item)
    {
        json document { { "life", item.life }, { "customer", item.customer.value } };
        if (item.serial)
            document["serial"] = *item.serial;
        if (item.forgotten)
            document["forgotten"] = *item.forgotten;
        if (item.number) {
            document["number"] = *item.number;
            document["hash"] = item.bodyHash;
        }
        if (item.answer)
            document["answer"] = answerDocument(*item.answer);
        return document;
    }

    json partDocument(std::uint64_t exportHash, std::size_t index, std::size_t count, json lives, json items)
    {
        return { { "version", kVersion }, { "export", exportHash }, { "part", index }, { "parts", count },
            { "lives", std::move(lives) }, { "items", std::move(items) } };
    }

    json livesDocument(const std::vector<ExportedLife>& lives)
    {
        json document = json::array();
        for (const ExportedLife& it : lives) {
            document.push_back(
                { { "vm", it.life.vm.value }, { "incarnation", it.life.incarnation }, { "closed", it.closed } });
        }
        return document;
    }

    // Reads an object whose fields are all known, and remembers the first fault.
    class FieldReader {
    public:
        FieldReader(const json& object, std::string_view where, absl::Status& fault)
            : m_object(object)
            , m_where(where)
            , m_fault(fault)
        {
            if (!object.is_object())
                fail("");
        }

        bool has(const char* name) const { return m_object.is_object() && m_object.contains(name); }

        std::uint64_t number(const char* name, std::uint64_t most = UINT64_MAX)
        {
            const json* const field = take(name);
            if (!field || !field->is_number_unsigned() || field->get<std::uint64_t>() > most)
                return fail(name), 0;
            return field->get<std::uint64_t>();
        }

        std::optional<std::uint64_t> optionalNumber(const char* name)
        {
            return has(name) ? std::optional(number(name)) : std::nullopt;
        }

        std::string text(const char* name)
        {
            const json* const field = take(name);
            if (!field || !field->is_string())
                return fail(name), std::string();
            return field->get<std::string>();
        }

        std::string bytes(const char* name)
        {
            const json* const field = take(name);
            if (!field || !field->is_binary())
                return fail(name), std::string();
            return { field->get_binary().begin(), field->get_binary().end() };
        }

        bool flag(const char* name)
        {
            const json* const field = take(name);
            if (!field || !field->is_boolean())
                return fail(name), false;
            return field->get<bool>();
        }

        const json& array(const char* name)
        {
            static const json empty = json::array();
            const json* const field = take(name);
            if (!field || !field->is_array())
                return fail(name), empty;
            return *field;
        }

        const json& object(const char* name)
        {
            static const json empty = json::object();
            const json* const field = take(name);
            return field ? *field : empty;
        }

        void fail(std::string_view name)
        {
            if (m_fault.ok()) {
                m_fault = makeError(ErrorKind::BadRequest,
                    "the outcome part's field " + std::string(m_where) + "." + std::string(name)
                        + " is missing or of another form",
                    "let both routers run the same release");
            }
        }

        // Refused rather than passed over: a field of a later release may carry a mark that must be obeyed.
        void expectNoMore()
        {
            if (m_object.is_object() && m_taken != m_object.size())
                fail("*");
        }

    private:
        const json* take(const char* name)
        {
            if (!has(name))
                return nullptr;
            ++m_taken;
            return &m_object[name];
        }

        const json& m_object;
        std::string_view m_where;
        absl::Status& m_fault;
        std::size_t m_taken = 0;
    };

    Outcome readOutcome(FieldReader& fields)
    {
        constexpr std::array kOutcomes { Outcome::Completed, Outcome::NotRun, Outcome::Unknown, Outcome::Incomplete };
        const std::string text = fields.text("outcome");
        for (const Outcome outcome : kOutcomes) {
            if (toString(outcome) == text)
                return outcome;
        }
        fields.fail("outcome");
        return Outcome::Unknown;
    }

    KeptAnswer readAnswer(const json& document, absl::Status& fault)
    {
        constexpr std::uint64_t kMostStatus = 999;
        FieldReader fields(document, "items.answer", fault);
        KeptAnswer answer;
        answer.outcome = readOutcome(fields);
        answer.httpStatus = static_cast<int>(fields.number("status", kMostStatus));
        answer.contentType = fields.bytes("type");
        answer.body = fields.bytes("body");
        answer.requestId = fields.text("request");
        fields.expectNoMore();
        return answer;
    }

    OutcomeItem readItem(const json& document, std::size_t lives, absl::Status& fault)
    {
        FieldReader fields(document, "items", fault);
        OutcomeItem item;
        item.life = fields.number("life");
        item.customer.value = fields.text("customer");
        item.serial = fields.optionalNumber("serial");
        item.number = fields.optionalNumber("number");
        if (item.life >= lives)
            fields.fail("life");
        if (item.number && !item.serial)
            fields.fail("serial");
        if (item.number)
            item.bodyHash = fields.number("hash");
        else
            item.forgotten = fields.number("forgotten");
        if (item.number && fields.has("answer"))
            item.answer = readAnswer(fields.object("answer"), fault);
        fields.expectNoMore();
        return item;
    }

    ExportedLife readLife(const json& document, absl::Status& fault)
    {
        FieldReader fields(document, "lives", fault);
        ExportedLife life;
        life.life.vm.value = fields.text("vm");
        life.life.incarnation = fields.number("incarnation");
        life.closed = fields.flag("closed");
        fields.expectNoMore();
        return life;
    }

} // namespace

std::vector<std::string> encodeParts(
    const std::vector<ExportedLife>& lives, const std::vector<OutcomeItem>& items, std::size_t mostBytes)
{
    // The item list's own head grows with its length; this much covers any.
    constexpr std::size_t kListHeadBytes = 16;
    const json livesList = livesDocument(lives);
    const std::size_t frame
        = encodeCbor(partDocument(UINT64_MAX, kMostParts, kMostParts, livesList, json::array())).size()
        + kListHeadBytes;

    std::vector<json> lists(1, json::array());
    std::size_t used = frame;
    std::uint64_t hash = stableHash(encodeCbor(livesList));
    for (const OutcomeItem& item : items) {
        json document = itemDocument(item);
        std::string bytes = encodeCbor(document);
        if (frame + bytes.size() > mostBytes && document.erase("answer") > 0)
            bytes = encodeCbor(document);
        hash = stableHash(bytes, hash);
        if (used + bytes.size() > mostBytes && !lists.back().empty()) {
            lists.push_back(json::array());
            used = frame;
        }
        used += bytes.size();
        lists.back().push_back(std::move(document));
    }

    std::vector<std::string> parts;
    parts.reserve(lists.size());
    for (json& list : lists)
        parts.push_back(encodeCbor(partDocument(hash, parts.size(), lists.size(), livesList, std::move(list))));
    return parts;
}

absl::StatusOr<OutcomePart> decodePart(std::string_view bytes)
{
    const auto document = decodeCbor(bytes);
    if (!document.ok())
        return document.status();
    absl::Status fault;
    FieldReader fields(*document, "part", fault);
    OutcomePart part;
    if (fields.number("version") != kVersion)
        fields.fail("version");
    part.exportHash = fields.number("export");
    part.count = fields.number("parts", kMostParts);
    part.index = fields.number("part");
    if (part.index >= part.count)
        fields.fail("part");
    const json& lives = fields.array("lives");
    if (lives.empty() || lives.size() > kMostLives)
        fields.fail("lives");
    for (const json& life : lives)
        part.lives.push_back(readLife(life, fault));
    for (const json& item : fields.array("items")) {
        part.items.push_back(readItem(item, part.lives.size(), fault));
        if (!fault.ok())
            break;
    }
    fields.expectNoMore();
    if (!fault.ok())
        return fault;
    return part;
}

} // namespace sagechute::delivery
