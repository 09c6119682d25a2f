/// \file
/// HTTP transport based on libsoup.
#include "hawthornbeam/cli/transport.hpp"

#include <fmt/format.h>
#include <libsoup/soup.h>

namespace hawthornbeam
{

namespace
{

struct object_unref
{
    void operator()(gpointer object) const { g_object_unref(object); }
};
template <class T>
using object_pointer = std::unique_ptr<T, object_unref>;

struct bytes_unref
{
    void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};

struct error_free
{
    void operator()(GError* fault) const { g_error_free(fault); }
};

/// Returns true for errors that occur before any byte of the request is sent.
bool is_connect_error(const GError& fault)
{
    if (fault.domain == G_RESOLVER_ERROR)
        return true;
    if (fault.domain != G_IO_ERROR)
        return false;
    return fault.code == G_IO_ERROR_CONNECTION_REFUSED ||
           fault.code == G_IO_ERROR_HOST_UNREACHABLE ||
           fault.code == G_IO_ERROR_NETWORK_UNREACHABLE ||
           fault.code == G_IO_ERROR_HOST_NOT_FOUND;
}

std::string header(SoupMessageHeaders* headers, const char* name)
{
    const char* value = soup_message_headers_get_one(headers, name);
    return value == nullptr ? "" : value;
}

class soup_transport final : public api_transport
{
public:
    explicit soup_transport(duration timeout) : session_(soup_session_new())
    {
        const std::chrono::seconds timeout_seconds =
            std::chrono::ceil<std::chrono::seconds>(timeout);
        soup_session_set_timeout(session_.get(),
                                 static_cast<guint>(timeout_seconds.count()));
    }

    result<api_response> send(const std::string& address,
                              const api_request& request) override
    {
        const std::string url = fmt::format("http://{}{}", address, request.path);
        const object_pointer<SoupMessage> message(
            soup_message_new(request.method.c_str(), url.c_str()));
        if (!message)
            return make_error(
                error_code::invalid_input,
                fmt::format("\"{}\" is no address (expected IP:PORT)", address));
        fill_request(*message, request);
        GError* fault = nullptr;
        const std::unique_ptr<GBytes, bytes_unref> body(
            soup_session_send_and_read(session_.get(), message.get(), nullptr, &fault));
        const std::unique_ptr<GError, error_free> owned(fault);
        if (!body)
            return make_error(is_connect_error(*fault) ? error_code::unavailable
                                                       : error_code::outcome_unknown,
                              fault->message);
        return read_response(*message, body.get());
    }

private:
    static void fill_request(SoupMessage& message, const api_request& request)
    {
        // The instance may close a reused connection while the request is in flight;
        // libsoup would then resend the request automatically.
        soup_message_add_flags(&message, SOUP_MESSAGE_NEW_CONNECTION);
        soup_message_add_flags(&message, SOUP_MESSAGE_NO_REDIRECT);
        SoupMessageHeaders* headers = soup_message_get_request_headers(&message);
        for (const std::pair<std::string, std::string>& one : request.headers)
            soup_message_headers_replace(headers, one.first.c_str(), one.second.c_str());
        if (request.body.empty())
            return;
        const std::unique_ptr<GBytes, bytes_unref> body(
            g_bytes_new(request.body.data(), request.body.size()));
        soup_message_set_request_body_from_bytes(&message, "application/json",
                                                 body.get());
    }

    static api_response read_response(SoupMessage& message, GBytes* body)
    {
        api_response response;
        response.status = static_cast<int>(soup_message_get_status(&message));
        gsize size = 0;
        const char* data = static_cast<const char*>(g_bytes_get_data(body, &size));
        if (size > 0)
            response.body.assign(data, size);
        SoupMessageHeaders* headers = soup_message_get_response_headers(&message);
        response.etag = header(headers, "ETag");
        response.retry_after = header(headers, "Retry-After");
        return response;
    }

    object_pointer<SoupSession> session_;
};

} // namespace

std::unique_ptr<api_transport> make_http_transport(duration timeout)
{
    return std::make_unique<soup_transport>(timeout);
}

} // namespace hawthornbeam
