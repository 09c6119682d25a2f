/// \file
/// HTTP/JSON implementation of kv_service.
#include "hawthornbeam/platform/http_kv_service.hpp"

#include "lib/platform/json_call.hpp"

#include <array>
#include <cassert>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

constexpr std::size_t cause_count = 4;

kv_entry decode_entry(const json& entry)
{
    return kv_entry{text_at(entry, "key"), bytes_at(entry, "value"),
                    kv_revision(unsigned_at(entry, "revision"))};
}

std::vector<kv_entry> decode_entries(const json& entries)
{
    std::vector<kv_entry> decoded;
    decoded.reserve(entries.size());
    for (const json& entry : entries)
        decoded.push_back(decode_entry(entry));
    return decoded;
}

std::optional<kv_entry> decode_read(const json& response)
{
    const json& entry = response.at("entry");
    if (entry.is_null())
        return std::nullopt;
    return decode_entry(entry);
}

kv_revision decode_revision(const json& response)
{
    return kv_revision(unsigned_at(response, "revision"));
}

kv_changes decode_changes(const json& response)
{
    return kv_changes{decode_entries(array_at(response, "changed")),
                      kv_revision(unsigned_at(response, "seen")),
                      flag_at(response, "skipped")};
}

} // namespace

class http_kv_service::implementation
{
public:
    implementation(event_loop& loop, const logger& log, std::string base_url,
                   http_kv_options options)
        : base_url_(std::move(base_url)), options_(options),
          client_(loop, log, {options.max_connections})
    {
    }

    http_request request(const char* method, const std::string& path) const
    {
        return http_request{method, base_url_ + path, {}, options_.timeout};
    }
    http_request key_request(const char* method, const std::string& key,
                             kv_revision expected) const
    {
        return request(method, fmt::format("/kv/{}?revision={}", percent_encode(key),
                                           expected.value()));
    }

    template <class T>
    void call(kv_cause cause, http_request outgoing_request, call_effect effect,
              std::function<T(const json&)> decode, callback<T> done)
    {
        kv_traffic& traffic = traffic_of(cause);
        ++traffic.calls;
        traffic.bytes_sent += outgoing_request.body.size();
        // client_ is destroyed before traffic_ and then runs no further callbacks, so the
        // captured reference stays valid.
        call_json<T>(
            client_, std::move(outgoing_request), effect, std::move(decode),
            [&traffic, done = std::move(done)](result<T> response)
            {
                ++traffic.ended;
                if (!response && response.error().code != error_code::conflict)
                    ++traffic.failures;
                done(std::move(response));
            },
            [&traffic](std::size_t bytes) { traffic.bytes_received += bytes; });
    }

    kv_traffic& traffic_of(kv_cause cause)
    {
        const std::size_t index = static_cast<std::size_t>(cause);
        assert(index < cause_count && "kv_cause value out of range");
        return traffic_[index];
    }

    const http_kv_options& options() const { return options_; }

private:
    std::string base_url_;
    http_kv_options options_;
    std::array<kv_traffic, cause_count> traffic_{};
    http_client client_;
};

http_kv_service::http_kv_service(event_loop& loop, const logger& log,
                                 std::string base_url, http_kv_options options)
    : implementation_(
          std::make_unique<implementation>(loop, log, std::move(base_url), options))
{
}

http_kv_service::~http_kv_service() = default;

void http_kv_service::read(kv_cause cause, const std::string& key,
                           callback<std::optional<kv_entry>> done)
{
    implementation_->call<std::optional<kv_entry>>(
        cause, implementation_->request("GET", "/kv/" + percent_encode(key)),
        call_effect::read, decode_read, std::move(done));
}

void http_kv_service::list(kv_cause cause, const std::string& prefix,
                           callback<std::vector<kv_entry>> done)
{
    implementation_->call<std::vector<kv_entry>>(
        cause, implementation_->request("GET", "/kv?prefix=" + percent_encode(prefix)),
        call_effect::read,
        [](const json& response)
        { return decode_entries(array_at(response, "entries")); },
        std::move(done));
}

void http_kv_service::write(kv_cause cause, const std::string& key, std::string value,
                            kv_revision expected, callback<kv_revision> done)
{
    http_request request = implementation_->key_request("PUT", key, expected);
    request.body = std::move(value);
    implementation_->call<kv_revision>(cause, std::move(request), call_effect::write,
                                       decode_revision, std::move(done));
}

void http_kv_service::remove(kv_cause cause, const std::string& key, kv_revision expected,
                             callback<bool> done)
{
    implementation_->call<bool>(
        cause, implementation_->key_request("DELETE", key, expected), call_effect::write,
        [](const json& response) { return flag_at(response, "removed"); },
        std::move(done));
}

void http_kv_service::watch(kv_cause cause, const std::string& prefix, kv_revision after,
                            duration wait, callback<kv_changes> done)
{
    const std::int64_t wait_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    http_request request = implementation_->request(
        "GET", fmt::format("/watch?prefix={}&after={}&wait_ms={}", percent_encode(prefix),
                           after.value(), wait_ms));
    request.timeout = wait + implementation_->options().wait_margin;
    implementation_->call<kv_changes>(cause, std::move(request), call_effect::read,
                                      decode_changes, std::move(done));
}

const kv_traffic& http_kv_service::traffic(kv_cause cause) const
{
    return implementation_->traffic_of(cause);
}

} // namespace hawthornbeam
