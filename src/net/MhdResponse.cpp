#include "net/MhdResponse.h"

namespace sagechute::net {

namespace {

    constexpr std::size_t streamBlockBytes = 16 << 10;

    struct ResponseDeleter {
        void operator()(MHD_Response* response) const { MHD_destroy_response(response); }
    };
    using ResponsePointer = std::unique_ptr<MHD_Response, ResponseDeleter>;

    void freeBody(void* cls) { delete static_cast<std::string*>(cls); }

    using ExchangePointer = std::shared_ptr<Exchange>;

    ssize_t readStream(void* cls, std::uint64_t, char* buf, std::size_t most)
    {
        return (*static_cast<ExchangePointer*>(cls))->read(buf, most);
    }

    void freeStream(void* cls) { delete static_cast<ExchangePointer*>(cls); }

    MHD_Result queue(MHD_Connection* connection, const ServerResponse& head, const ResponsePointer& response)
    {
        if (!response)
            return MHD_NO;
        // A field with a line break in it is refused by the library and left out, so that no caller's text can add a
        // header.
        for (const auto& field : head.headers)
            MHD_add_response_header(response.get(), field.name.c_str(), field.value.c_str());
        return MHD_queue_response(connection, static_cast<unsigned>(head.status), response.get());
    }

} // namespace

MHD_Result queueWhole(MHD_Connection* connection, ServerResponse whole)
{
    auto body = std::make_unique<std::string>(std::move(whole.body));
    ResponsePointer response(
        MHD_create_response_from_buffer_with_free_callback_cls(body->size(), body->data(), &freeBody, body.get()));
    if (response)
        static_cast<void>(body.release());
    return queue(connection, whole, response);
}

MHD_Result queueStream(MHD_Connection* connection, const ServerResponse& head, ExchangePointer exchange)
{
    auto source = std::make_unique<ExchangePointer>(std::move(exchange));
    ResponsePointer response(
        MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes, &readStream, source.get(), &freeStream));
    if (response)
        static_cast<void>(source.release());
    return queue(connection, head, response);
}

} // namespace sagechute::net
