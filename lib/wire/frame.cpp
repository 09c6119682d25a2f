/// \file
/// Encoding of frames and hello messages.
#include "frame.hpp"

#include "codec.hpp"
#include "hawthornbeam/wire/messages.hpp"

namespace hawthornbeam::wire
{

namespace
{

using output_archive = bounded_output<std::uint32_t>;
using input_archive = bounded_input<std::uint32_t>;

/// First field of a hello; tells the inner protocol from others.
constexpr std::uint64_t magic = 0x6861'7774'6265'616dULL;

} // namespace

std::string encode_frame(const frame& value)
{
    std::string bytes(length_bytes, '\0');
    frame_kind kind = value.kind;
    output_archive archive(bytes);
    enumeration(archive, kind, frame_kind::probe_answer);
    archive(value.id);
    if (kind == frame_kind::request)
        archive(value.deadline_ms);
    bytes += value.body;
    const std::size_t length = bytes.size() - length_bytes;
    for (std::size_t i = 0; i < length_bytes; ++i)
        bytes[i] = static_cast<char>(length >> (8 * (length_bytes - 1 - i)) & 0xFFU);
    return bytes;
}

result<frame> decode_frame(std::string_view bytes)
{
    try
    {
        frame value;
        input_archive archive(bytes);
        enumeration(archive, value.kind, frame_kind::probe_answer);
        archive(value.id);
        if (value.kind == frame_kind::request)
            archive(value.deadline_ms);
        value.body = bytes.substr(bytes.size() - archive.remaining());
        return value;
    }
    catch (const std::exception& fault)
    {
        return make_error(error_code::invalid_input,
                          std::string("malformed frame: ") + fault.what());
    }
}

std::string encode_hello(const hello& value)
{
    std::string bytes;
    output_archive archive(bytes);
    archive(magic, value.version, value.id, value.session);
    return bytes;
}

result<hello> decode_hello(std::string_view bytes)
{
    try
    {
        hello value;
        std::uint64_t sent_magic = 0;
        input_archive archive(bytes);
        archive(sent_magic);
        if (sent_magic != magic)
            return make_error(error_code::invalid_input,
                              "the peer does not speak the inner protocol");
        archive(value.version);
        if (value.version != protocol_version)
            return value;
        archive(value.id, value.session);
        archive.finish();
        return value;
    }
    catch (const std::exception& fault)
    {
        return make_error(error_code::invalid_input,
                          std::string("malformed hello: ") + fault.what());
    }
}

std::size_t read_length(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_bytes; ++i)
        length = length << 8U | static_cast<unsigned char>(bytes[i]);
    return length;
}

} // namespace hawthornbeam::wire
